// Finds the ends of server-sent events, whose lines end with LF or with CR and LF.
#pragma once

#include <cstddef>
#include <string_view>

namespace arbutuspier {

/// Returns where the first event that ends at or after `from` is over: after the empty line that
/// ends it. std::string_view::npos if that line isn't complete.
inline std::size_t endOfEvent(std::string_view bytes, std::size_t from)
{
    std::size_t lineEnd = bytes.find('\n', from);
    while (lineEnd != std::string_view::npos) {
        const std::string_view next = bytes.substr(lineEnd + 1);
        if (next.starts_with("\n"))
            return lineEnd + 2;
        if (next.starts_with("\r\n"))
            return lineEnd + 3;
        lineEnd = bytes.find('\n', lineEnd + 1);
    }
    return std::string_view::npos;
}

} // namespace arbutuspier
