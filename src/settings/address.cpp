// Only numeric IPv4 addresses are accepted: no part of the system resolves host names.
#include "settings/settings.h"

#include <limits>

namespace arbutuspier {

bool parseAddress(std::string_view text, Address &out)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    std::uint32_t port = 0;
    for (char c : text.substr(colon + 1)) {
        if (c < '0' || c > '9')
            return false;
        port = port * 10 + static_cast<std::uint32_t>(c - '0');
        if (port > std::numeric_limits<std::uint16_t>::max())
            return false;
    }
    int octets = 1;
    int value = -1;
    for (char c : text.substr(0, colon)) {
        if (c == '.') {
            if (value < 0)
                return false;
            ++octets;
            value = -1;
            continue;
        }
        if (c < '0' || c > '9')
            return false;
        value = (value < 0 ? 0 : value * 10) + (c - '0');
        if (value > std::numeric_limits<std::uint8_t>::max())
            return false;
    }
    constexpr int kOctets = 4;
    if (octets != kOctets || value < 0 || port == 0)
        return false;
    out = {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
    return true;
}

} // namespace arbutuspier
