// arbutuspierd, the entry daemon: the process of one entry VM.
#include "arbutuspier/upstreamsubset.h"
#include "daemon/adminserver.h"
#include "daemon/controlloop.h"
#include "kernel/logline.h"
#include "metrics/metricsregistry.h"
#include "net/httpfrontend.h"
#include "net/sessionregistry.h"
#include "settings/settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <thread>

DEFINE_string(config, "", "TOML file with the settings of this VM");
DEFINE_bool(print_settings_reference, false, "print the reference table of all settings and exit");
DEFINE_bool(check, false, "check the settings, list every mistake and exit");

namespace arbutuspier {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
/// Request ids start at the incarnation (milliseconds since 1970) shifted by this, so that no two
/// incarnations use the same ids.
constexpr unsigned kRequestIdShift = 20;
/// After a drain, callers have this long to read the rest of their responses.
constexpr Duration kLastResponseTimeout = std::chrono::seconds{60};
/// The daemon exits only after no request was open for this long, so that requests that were on
/// their way when the drain began still get their rejection.
constexpr Duration kIdleTimeBeforeExit = std::chrono::milliseconds{300};

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

class Daemon
{
public:
    explicit Daemon(Settings settings)
        : m_settings(std::move(settings))
        , m_incarnation{static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count())}
        , m_control(m_context, m_settings, m_sessions, m_metrics, m_incarnation)
        , m_frontend(m_settings, m_control, m_sessions, m_metrics,
                     m_incarnation.value << kRequestIdShift)
        , m_admin(m_context, m_settings, m_control)
        , m_signals(m_context, SIGTERM, SIGINT)
    {
    }

    int run();

private:
    bool listen();
    void beginDrain();
    Task<void> exitAfterLastResponses();

    Settings m_settings;
    Incarnation m_incarnation;
    asio::io_context m_context{1};
    std::vector<std::unique_ptr<asio::io_context>> m_trafficContexts;
    SessionRegistry m_sessions;
    MetricsRegistry m_metrics;
    ControlLoop m_control;
    HttpFrontend m_frontend;
    AdminServer m_admin;
    asio::signal_set m_signals;
    bool m_isDraining = false;
};

bool Daemon::listen()
{
    for (const Result<bool> &result : {m_frontend.listen(*m_trafficContexts.front()),
                                       m_admin.listen(), m_control.peers().listen()}) {
        if (result)
            continue;
        std::cerr << "arbutuspierd: " << result.error().message << '\n';
        return false;
    }
    return true;
}

void Daemon::beginDrain()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_frontend.setDraining();
    m_control.handle(DrainRequest{});
}

Task<void> Daemon::exitAfterLastResponses()
{
    asio::steady_timer timer(m_context);
    const TimePoint deadline = std::chrono::steady_clock::now() + kLastResponseTimeout;
    TimePoint idleSince = std::chrono::steady_clock::now();
    while (true) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (m_sessions.size() > 0)
            idleSince = now;
        if (now >= deadline || now >= idleSince + kIdleTimeBeforeExit)
            break;
        timer.expires_after(kTickInterval);
        co_await timer.async_wait(kAwait);
    }
    LOG(INFO) << LogLine("drain_done").text();
    for (auto &context : m_trafficContexts)
        context->stop();
    m_context.stop();
}

int Daemon::run()
{
    std::vector<asio::io_context *> trafficContexts;
    std::vector<WorkGuard> guards;
    for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i) {
        m_trafficContexts.push_back(std::make_unique<asio::io_context>(1));
        trafficContexts.push_back(m_trafficContexts.back().get());
        guards.emplace_back(m_trafficContexts.back()->get_executor());
    }
    if (!listen())
        return kExitCannotListen;
    m_admin.onDrain = [this] { beginDrain(); };
    m_control.onExitReady = [this] {
        asio::co_spawn(m_context, exitAfterLastResponses(), asio::detached);
    };
    m_signals.async_wait([this](ErrorCode error, int) {
        if (!error)
            beginDrain();
    });
    if (!m_control.start()) {
        std::cerr << "arbutuspierd: the settings name a VM or upstream with an invalid or repeated "
                     "id, or an upstream without a target\n";
        return kExitBadSettings;
    }
    asio::co_spawn(m_context, m_admin.accept(), asio::detached);
    asio::co_spawn(*m_trafficContexts.front(), m_frontend.accept(trafficContexts), asio::detached);
    LOG(INFO) << LogLine("started")
                     .add("vm", m_settings.self.id.value)
                     .add("zone", m_settings.self.zone)
                     .add("listen", m_settings.listen.text())
                     .add("incarnation", m_incarnation.value)
                     .text();
    std::vector<std::thread> threads;
    for (asio::io_context *context : trafficContexts)
        threads.emplace_back([context] { context->run(); });
    m_context.run();
    for (std::thread &thread : threads)
        thread.join();
    return 0;
}

} // namespace
} // namespace arbutuspier

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("one entry VM of arbutuspier\n  arbutuspierd --config vm.toml\n"
                            "  arbutuspierd --config vm.toml --check");
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_print_settings_reference) {
        std::cout << arbutuspier::settingsReference();
        return 0;
    }
    if (FLAGS_config.empty()) {
        std::cerr << "arbutuspierd: --config FILE is required; see --helpshort\n";
        return arbutuspier::kExitBadSettings;
    }
    auto settings = arbutuspier::loadSettings(FLAGS_config);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return arbutuspier::kExitBadSettings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_config << ": no mistakes found\n";
        return 0;
    }
    settings->upstreams = arbutuspier::chooseUpstreamSubset(
        settings->upstreams, settings->self.id, settings->self.zone, settings->maxSubsetSize);
    arbutuspier::Daemon daemon(std::move(*settings));
    return daemon.run();
}
