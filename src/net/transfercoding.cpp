// Trailers are taken to be rare: a body with any isn't recognized.
#include "net/transfercoding.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <charconv>
#include <cstddef>
#include <optional>

namespace arbutuspier {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view kLineEnd = "\r\n";

/// Removes the line that states the size of a chunk. Returns nullopt if there is none.
std::optional<std::size_t> takeChunkSize(std::string_view &body)
{
    constexpr int kHexadecimal = 16;
    const std::string_view line = body.substr(0, body.find(kLineEnd));
    std::size_t size = 0;
    const char *const end = line.data() + line.size();
    const auto [rest, error] = std::from_chars(line.data(), end, size, kHexadecimal);
    const bool isSize = !line.empty() && error == std::errc{} && rest == end;
    if (!isSize || line.size() + kLineEnd.size() > body.size())
        return std::nullopt;
    body.remove_prefix(line.size() + kLineEnd.size());
    return size;
}

} // namespace

bool canDecodeBody(const http::fields &fields)
{
    const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
    for (auto field = begin; field != end; ++field) {
        if (!beast::iequals(field->value(), "chunked"))
            return false;
    }
    return true;
}

bool isInChunks(std::string_view body)
{
    while (const std::optional<std::size_t> size = takeChunkSize(body)) {
        if (*size == 0)
            return body == kLineEnd;
        const bool isWhole = body.size() > *size && body.substr(*size).starts_with(kLineEnd);
        if (!isWhole)
            return false;
        body.remove_prefix(*size + kLineEnd.size());
    }
    return false;
}

} // namespace arbutuspier
