// The gateway process between callers and replicas: connects its components, starts and drains
// them.
#pragma once

#include "gateway/callerconnection.h"
#include "gateway/gatewaystate.h"
#include "gateway/peermessenger.h"
#include "gateway/statusserver.h"
#include "gateway/storewatcher.h"
#include "gateway/suspecttable.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

class Gateway
{
public:
    Gateway(GatewaySettings settings, std::string settingsFile, const Clock &clock);

    /// Opens all ports. The error names the first one that can't be opened.
    Result<bool> listen();
    /// Serves until SIGTERM or SIGINT, then drains and returns.
    void run();

private:
    /// Whether the load balancer may send new connections.
    bool isReady() const;
    StatusResponse readinessResponse(std::string_view path) const;
    /// Serves this VM's snapshot of the store. It contains the teams' API keys and must be served
    /// on the peer port only.
    StatusResponse snapshotResponse(std::string_view path);
    std::string metricsText();
    Task<void> acceptCallers();
    /// Accepts connections of peers that relay requests to this VM, and closes those of others.
    Task<void> acceptRelays();
    void serve(Tcp::socket socket, CallerConnection::Origin origin);
    Task<void> tick();
    Task<void> drain();
    Task<void> watchSignals();
    void beginDrain();
    void reloadSettings();
    void closeIdleCallers();
    /// The connections of callers and peers that are open.
    std::vector<std::shared_ptr<CallerConnection>> callerConnections() const;
    /// Detects that the VM was suspended since the last tick, and then discards idle connections
    /// and stale store data.
    void detectSuspension(TimePoint now);

    GatewaySettings m_settings;
    std::string m_settingsFile;
    const Clock &m_clock;
    asio::io_context m_context{1};
    GatewayState m_state;
    StoreWatcher m_storeWatcher;
    PeerMessenger m_messenger;
    SuspectTable m_suspectTable;
    StatusServer m_readinessServer;
    StatusServer m_snapshotServer;
    StatusServer m_metricsServer;
    std::unique_ptr<Tcp::acceptor> m_callerAcceptor;
    /// Null if this VM takes part in no relaying.
    std::unique_ptr<Tcp::acceptor> m_relayAcceptor;
    std::vector<std::weak_ptr<CallerConnection>> m_callerConnections;
    asio::signal_set m_signals;
    bool m_wasReady = false;
    TimePoint m_lastTick{};
    /// Reading of the boot clock, which also runs while the VM is suspended.
    std::chrono::nanoseconds m_bootClockAtLastTick{};
};

} // namespace arbutuspier
