// Passes each command to the one component that executes it.
#include "daemon/controlloop.h"

#include "kernel/logline.h"
#include "net/callersession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <glog/logging.h>

namespace arbutuspier {

namespace {

constexpr Duration kStatusInterval = std::chrono::seconds{1};

void logRequestEnded(const RequestEnded &ended)
{
    LogLine line("request_ended");
    line.add("request", ended.request.value)
        .add("class", ended.className)
        .add("team", ended.team)
        .add("prompt_tokens", ended.promptTokens)
        .add("tokens", ended.tokens)
        .add("verdict", verdictName(ended.verdict))
        .add("reason", reasonName(ended.reason))
        .add("attempts", static_cast<std::uint64_t>(ended.attempts))
        .addSeconds("queued", toSeconds(ended.queueTime))
        .addSeconds("first_token", toSeconds(ended.timeToFirstToken))
        .addSeconds("total", toSeconds(ended.total));
    LOG(INFO) << line.text();
}

} // namespace

ControlLoop::ControlLoop(asio::io_context &context, const Settings &settings,
                         SessionRegistry &sessions, MetricsRegistry &metrics,
                         Incarnation incarnation)
    : m_context(context)
    , m_settings(settings)
    , m_sessions(sessions)
    , m_metrics(metrics)
    , m_incarnation(incarnation)
    , m_platform(context, settings.platform, *this)
    , m_upstreams(context, settings, *this)
    , m_peers(context, settings, *this)
{
}

bool ControlLoop::start()
{
    NodeSettings node;
    node.self = m_settings.self;
    node.incarnation = m_incarnation;
    node.peers = m_settings.peers;
    node.upstreams = m_settings.upstreams;
    node.seed = m_incarnation.value ^ m_settings.self.id.value;
    node.admission = m_settings.admission;
    m_node = EntryNode::make(std::move(node));
    if (!m_node)
        return false;
    m_platform.setSelf(m_settings.self.id, m_incarnation, m_settings.self.zone);
    m_upstreams.start();
    asio::co_spawn(m_context, m_platform.pollVmList(), asio::detached);
    asio::co_spawn(m_context, m_peers.accept(), asio::detached);
    asio::co_spawn(m_context, tick(), asio::detached);
    return true;
}

void ControlLoop::post(Event event)
{
    asio::post(m_context, [this, event = std::move(event)] { handle(event); });
}

void ControlLoop::handle(const Event &event)
{
    removeEndedAttempt(event);
    Commands commands = m_node->handle(event, m_clock.now(), m_clock.wallNow());
    for (Command &command : commands)
        execute(command);
}

Task<void> ControlLoop::tick()
{
    asio::steady_timer timer(m_context);
    TimePoint nextStatus = m_clock.now();
    while (true) {
        timer.expires_after(kTickInterval);
        co_await timer.async_wait(kAwait);
        handle(Tick{});
        if (m_clock.now() < nextStatus)
            continue;
        nextStatus = m_clock.now() + kStatusInterval;
        m_metrics.setStatus(status());
    }
}

NodeStatus ControlLoop::status() const
{
    return m_node->status(m_clock.now());
}

void ControlLoop::submitEdit(LimitsSnapshot edit, std::function<void(const EditResult &)> done)
{
    m_editCallbacks[edit.editId] = std::move(done);
    handle(LimitsEdit{std::move(edit)});
}

void ControlLoop::openStream(OpenStream &command)
{
    auto session = m_sessions.find(command.request);
    if (!session) {
        post(StreamFailed{command.attempt, FailureKind::NotSent, 0});
        return;
    }
    m_sessions.addAttempt(command.attempt, command.request);
    const Address address = m_settings.upstreamAddresses.at(command.upstream);
    asio::post(session->executor(), [session, address, command = std::move(command)]() mutable {
        session->startAttempt(std::move(command), address);
    });
}

void ControlLoop::postToSession(RequestId request, std::function<void(CallerSession &)> action)
{
    auto session = m_sessions.find(request);
    if (!session)
        return;
    asio::post(session->executor(), [session, action = std::move(action)] { action(*session); });
}

void ControlLoop::removeEndedAttempt(const Event &event)
{
    if (const auto *done = std::get_if<StreamDone>(&event))
        m_sessions.takeSessionByAttempt(done->attempt);
    else if (const auto *failed = std::get_if<StreamFailed>(&event))
        m_sessions.takeSessionByAttempt(failed->attempt);
}

void ControlLoop::execute(Command &command)
{
    struct Visitor
    {
        ControlLoop &loop;

        void operator()(OpenStream &c) const { loop.openStream(c); }
        void operator()(Reserve &c) const { loop.m_upstreams.reserve(c); }
        void operator()(Release &c) const
        {
            const AttemptId attempt{c.reservation.value};
            if (auto session = loop.m_sessions.takeSessionByAttempt(attempt)) {
                asio::post(session->executor(),
                           [session, attempt] { session->cancelAttempt(attempt); });
            }
            loop.m_upstreams.release(c);
        }
        void operator()(SendOrder &c) const
        {
            LOG(INFO) << LogLine("order_sent")
                             .add("upstream", c.upstream.value)
                             .add("fence", c.fence)
                             .add("state", c.state)
                             .text();
            loop.m_upstreams.order(c);
        }
        void operator()(TableCall &c) const { loop.m_platform.call(c); }
        void operator()(SendPeer &c) const { loop.m_peers.send(c.to, c.message); }
        void operator()(RejectRequest &c) const
        {
            loop.postToSession(c.request,
                               [problem = Problem{c.verdict, c.reason, {}, c.retryAfter}](
                                   CallerSession &session) { session.reject(problem); });
        }
        void operator()(FinishRequest &c) const
        {
            loop.postToSession(c.request, [](CallerSession &session) { session.finish(); });
        }
        void operator()(ReplayResponse &c) const
        {
            loop.postToSession(c.request,
                               [status = c.status, result = std::move(c.result)](
                                   CallerSession &session) { session.replay(status, result); });
        }
        void operator()(EditResult &c) const
        {
            auto it = loop.m_editCallbacks.find(c.editId);
            if (it == loop.m_editCallbacks.end())
                return;
            const auto done = std::move(it->second);
            loop.m_editCallbacks.erase(it);
            done(c);
        }
        void operator()(RequestEnded &c) const
        {
            loop.m_metrics.record(c);
            logRequestEnded(c);
        }
        void operator()(ExitReady &) const
        {
            if (loop.onExitReady)
                loop.onExitReady();
        }
        void operator()(LogRecord &c) const { LOG(INFO) << c.line; }
    };
    std::visit(Visitor{*this}, command);
}

} // namespace arbutuspier
