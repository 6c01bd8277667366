// arbutuspier-gate: the gateway, which accepts callers' requests and forwards them to replicas.
#include "gateway/gateway.h"
#include "gateway/ratelimitedlogsink.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <unistd.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(config, "", "TOML file with the settings; default: $ARBUTUSPIER_CONFIG");
DEFINE_bool(check, false, "check the settings, print all errors and exit");

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;

std::string settingsFile()
{
    if (!FLAGS_config.empty())
        return FLAGS_config;
    const char *fromEnvironment = std::getenv("ARBUTUSPIER_CONFIG");
    return fromEnvironment ? fromEnvironment : "";
}

int serve(arbutuspier::GatewaySettings settings, const std::string &file)
{
    const arbutuspier::SystemClock clock;
    arbutuspier::RateLimitedLogSink log(STDOUT_FILENO, {}, clock);
    google::AddLogSink(&log);
    arbutuspier::Gateway gateway(std::move(settings), file, clock);
    const auto listening = gateway.listen();
    if (!listening) {
        std::cerr << "arbutuspier-gate: " << listening.error().message << '\n';
        return kExitCannotListen;
    }
    gateway.run();
    google::RemoveLogSink(&log);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("gateway of arbutuspier between callers and replicas\n"
                            "  arbutuspier-gate --config gate.toml\n"
                            "  arbutuspier-gate --config gate.toml --check");
    // Messages go only to the sink on standard output: glog writes no log files, and copies nothing
    // but fatal messages to stderr.
    google::InitGoogleLogging(argv[0]);
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR})
        google::SetLogDestination(severity, "");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string file = settingsFile();
    if (file.empty()) {
        std::cerr
            << "arbutuspier-gate: no settings file; use --config FILE or set ARBUTUSPIER_CONFIG\n";
        return kExitBadSettings;
    }
    auto settings = arbutuspier::loadGatewaySettings(file);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return kExitBadSettings;
    }
    if (FLAGS_check) {
        std::cout << file << ": settings are valid\n";
        return EXIT_SUCCESS;
    }
    return serve(std::move(*settings), file);
}
