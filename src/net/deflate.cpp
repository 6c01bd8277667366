// Uses the streams that Boost.Beast has for compressed WebSocket messages.
#include "net/deflate.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace arbutuspier {

namespace zlib = boost::beast::zlib;

namespace {

/// The fastest level that finds the repeated member names of JSON rows across whole rows.
constexpr int kLevel = 3;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kInflateStep = 65'536;

} // namespace

std::string deflated(std::string_view bytes)
{
    zlib::deflate_stream stream;
    stream.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    params.next_out = out.data();
    params.avail_out = out.size();
    boost::beast::error_code error;
    // The buffer is large enough, so that one call ends the stream.
    stream.write(params, zlib::Flush::finish, error);
    // Bytes that are no whole stream are recognised by who reads them.
    // The decoder of Beast reads a byte beyond the end of a short stream.
    out.resize(params.total_out + 1, '\0');
    out.shrink_to_fit();
    return out;
}

std::optional<std::string> inflated(std::string_view bytes, std::size_t maxBytes)
{
    zlib::inflate_stream stream;
    std::string out;
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    boost::beast::error_code error;
    while (!error) {
        if (out.size() > maxBytes)
            return std::nullopt;
        const std::size_t begin = out.size();
        out.resize(begin + std::min(kInflateStep, maxBytes + 1 - begin));
        params.next_out = out.data() + begin;
        params.avail_out = out.size() - begin;
        stream.write(params, zlib::Flush::sync, error);
        out.resize(params.total_out);
        const bool isStuck = !error && out.size() == begin;
        if (isStuck)
            return std::nullopt;
    }
    const bool isWhole = error == zlib::error::end_of_stream && out.size() <= maxBytes;
    return isWhole ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace arbutuspier
