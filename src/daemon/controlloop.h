// The control thread: owns the EntryNode, feeds it events and carries out its commands.
#pragma once

#include "arbutuspier/entrynode.h"
#include "metrics/metricsregistry.h"
#include "net/asiotypes.h"
#include "net/eventsink.h"
#include "net/peerlink.h"
#include "net/platformclient.h"
#include "net/sessionregistry.h"
#include "net/upstreamcontrol.h"
#include "settings/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace arbutuspier {

class ControlLoop final : public EventSink
{
public:
    /// `context` is run by one thread only.
    ControlLoop(asio::io_context &context, const Settings &settings, SessionRegistry &hub,
                MetricsRegistry &metrics, Incarnation incarnation);

    /// False if the core refuses the settings.
    bool start();
    void post(Event event) override;
    PeerLink &peers() { return m_peers; }

    // The rest is for the control thread only.

    void handle(const Event &event);
    NodeStatus status() const;
    const LimitsSnapshot &limits() const { return m_node->limits(); }
    std::vector<LimitsDelta> limitsHistory() const { return m_node->limitsHistory(); }
    /// Calls back once the edit is settled.
    void edit(LimitsSnapshot edit, std::function<void(const EditResult &)> done);
    /// Called once when nothing is in flight and nothing is held after a drain.
    std::function<void()> onExitReady;

private:
    Task<void> tick();
    void carryOut(Command &command);
    void open(OpenStream &command);
    void withSession(RequestId request, std::function<void(CallerSession &)> action);
    /// An attempt that ended needs no cancelling any more.
    void forgetAttempt(const Event &event);

    asio::io_context &m_context;
    const Settings &m_settings;
    SessionRegistry &m_hub;
    MetricsRegistry &m_metrics;
    Incarnation m_incarnation;
    SystemClock m_clock;
    PlatformClient m_platform;
    UpstreamControl m_upstreams;
    PeerLink m_peers;
    std::unique_ptr<EntryNode> m_node;
    std::map<std::string, std::function<void(const EditResult &)>> m_edits;
};

} // namespace arbutuspier
