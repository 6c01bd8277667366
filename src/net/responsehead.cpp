// The bytes of a head are read and looked at before they are parsed, as the parser joins folded
// lines.
#include "net/responsehead.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kReadBytes = 16 * 1024;

std::string_view contentOf(const beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

} // namespace

bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos
        || head.find("\r\n\t") != std::string_view::npos;
}

Task<HeadBytes> receiveHeadBytes(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                 std::size_t maxBytes)
{
    std::size_t searched = 0;
    while (true) {
        const std::string_view content = contentOf(buffer);
        const std::size_t end = content.find(kHeadEnd, searched);
        if (end != std::string_view::npos)
            co_return HeadBytes{{}, content.substr(0, end + kHeadEnd.size())};
        if (content.size() > maxBytes)
            co_return HeadBytes{http::error::header_limit, {}};
        searched = content.size() - std::min(content.size(), kHeadEnd.size() - 1);
        const std::size_t room = std::min(kReadBytes, buffer.max_size() - buffer.size());
        const auto [error, size] = co_await stream.async_read_some(buffer.prepare(room), kAwait);
        buffer.commit(size);
        const bool isCut = error == asio::error::eof && buffer.size() > 0;
        if (error)
            co_return HeadBytes{isCut ? http::error::partial_message : error, {}};
    }
}

} // namespace arbutuspier
