// The names are used between VMs only; callers and replicas never see them.
#include "gateway/relayhead.h"

#include <boost/beast/core/string.hpp>

#include <charconv>

namespace arbutuspier {

namespace {

namespace beast = boost::beast;

constexpr const char *kConfigVersion = "Relay-Config-Version";
constexpr const char *kReachedAttempts = "Relay-Reached-Attempts";
constexpr const char *kPeerUnable = "Relay-Peer-Unable";

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

void setRelayReport(platform::Fields &fields, const RelayReport &report)
{
    fields.set(kReachedAttempts, std::to_string(report.reachedAttempts));
    if (report.isPeerUnable)
        fields.set(kPeerUnable, "1");
}

std::optional<RelayReport> takeRelayReport(platform::Fields &fields)
{
    const auto attempts = takeNumber<std::uint32_t>(fields, kReachedAttempts);
    const bool isPeerUnable = fields.erase(kPeerUnable) != 0;
    return attempts ? std::optional(RelayReport{*attempts, isPeerUnable}) : std::nullopt;
}

} // namespace arbutuspier
