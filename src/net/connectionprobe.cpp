// A listen queue accepts connections for a process that is about to end, so the probe also waits
// whether the connection stays open.
#include "net/connectionprobe.h"

#include "net/httpchannel.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <array>

namespace arbutuspier {

namespace {

/// A probe connection that is open for this long was accepted by a running process.
constexpr Duration kProbeHoldTime = std::chrono::milliseconds{50};

} // namespace

Task<ProbeResult> probeConnection(asio::any_io_executor executor, Address address)
{
    beast::tcp_stream stream(executor);
    stream.expires_after(kProbeTimeout);
    const auto [connectError] = co_await stream.async_connect(endpointOf(address), kAwait);
    if (connectError)
        co_return ProbeResult::Unreachable;
    std::array<char, 1> unexpected{};
    stream.expires_after(kProbeHoldTime);
    const auto [readError, size] =
        co_await stream.async_read_some(asio::buffer(unexpected), kAwait);
    const bool staysOpen = !readError || readError == beast::error::timeout;
    co_return staysOpen ? ProbeResult::StaysOpen : ProbeResult::ClosedAtOnce;
}

} // namespace arbutuspier
