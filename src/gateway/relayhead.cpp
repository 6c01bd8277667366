// The names are used between VMs only; callers and replicas never see them.
#include "gateway/relayhead.h"

#include <boost/beast/core/string.hpp>

#include <charconv>

namespace arbutuspier {

namespace {

namespace beast = boost::beast;

constexpr const char *kConfigVersion = "Relay-Config-Version";
constexpr const char *kReachedAttempts = "Relay-Reached-Attempts";

template <class Number>
std::optional<Number> takeNumber(platform::Fields &fields, const char *name)
{
    const beast::string_view text = fields[name];
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = !text.empty() && error == std::errc{} && end == text.data() + text.size();
    fields.erase(name);
    return isNumber ? std::optional(number) : std::nullopt;
}

} // namespace

void setRelayHead(platform::Fields &fields, const RelayHead &head)
{
    fields.set(kConfigVersion, std::to_string(head.configVersion));
    fields.set(kReachedAttempts, std::to_string(head.reachedAttempts));
}

std::optional<RelayHead> takeRelayHead(platform::Fields &fields)
{
    const auto version = takeNumber<std::uint64_t>(fields, kConfigVersion);
    const auto attempts = takeNumber<std::uint32_t>(fields, kReachedAttempts);
    return version && attempts ? std::optional(RelayHead{*version, *attempts}) : std::nullopt;
}

void setRelayedAttempts(platform::Fields &fields, std::uint32_t reachedAttempts)
{
    fields.set(kReachedAttempts, std::to_string(reachedAttempts));
}

std::optional<std::uint32_t> takeRelayedAttempts(platform::Fields &fields)
{
    return takeNumber<std::uint32_t>(fields, kReachedAttempts);
}

} // namespace arbutuspier
