// Owns the EntryNode on the control thread: passes events to it and executes its commands.
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
    /// `context` must be run by one thread only, the control thread.
    ControlLoop(asio::io_context &context, const Settings &settings, SessionRegistry &sessions,
                MetricsRegistry &metrics, Incarnation incarnation);

    /// Returns false if EntryNode rejects the settings.
    bool start();
    void post(Event event) override;
    PeerLink &peers() { return m_peers; }

    // The public members below may be used on the control thread only.

    void handle(const Event &event);
    NodeStatus status() const;
    const LimitsSnapshot &limits() const { return m_node->limits(); }
    std::vector<LimitsDelta> limitsHistory() const { return m_node->limitsHistory(); }
    /// Submits an edit of the limits and calls `done` once with its outcome.
    void submitEdit(LimitsSnapshot edit, std::function<void(const EditResult &)> done);
    /// Called once after a drain, when no request is in flight and no memory is reserved.
    std::function<void()> onExitReady;

private:
    Task<void> tick();
    void execute(Command &command);
    void openStream(OpenStream &command);
    /// Runs `action` on the session's thread if the request still has a session.
    void postToSession(RequestId request, std::function<void(CallerSession &)> action);
    /// Removes the attempt that `event` ends, as it needs no cancellation any more.
    void removeEndedAttempt(const Event &event);

    asio::io_context &m_context;
    const Settings &m_settings;
    SessionRegistry &m_sessions;
    MetricsRegistry &m_metrics;
    Incarnation m_incarnation;
    SystemClock m_clock;
    PlatformClient m_platform;
    UpstreamControl m_upstreams;
    PeerLink m_peers;
    std::unique_ptr<EntryNode> m_node;
    /// Callbacks of edits without an outcome yet, by edit id.
    std::map<std::string, std::function<void(const EditResult &)>> m_editCallbacks;
};

} // namespace arbutuspier
