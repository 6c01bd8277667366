// Stand-ins for what the daemon and the gate meet: --role engine, service, platform, store,
// replica.
#include "engineserver.h"
#include "platformserver.h"
#include "replicaserver.h"
#include "serviceserver.h"
#include "storeserver.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(role, "", "engine, service, platform, store or replica");
DEFINE_string(ip, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on");
DEFINE_uint64(memory_tokens, 400'000, "engine: tokens of KV cache");
DEFINE_double(prefill_us, 40, "engine: microseconds of prefill a token");
DEFINE_double(step_ms, 6, "engine: milliseconds a step takes at the least");
DEFINE_bool(checks_fence, true, "engine: refuses orders with an old fencing number");
DEFINE_uint32(report_lag_ms, 50, "engine: age of the load it reports");
DEFINE_uint32(store_port, 0, "replica: port of the store on the same IP number");
DEFINE_string(id, "", "replica: its id");
DEFINE_string(service, "assist", "replica: the service it belongs to");
DEFINE_string(zone, "north", "replica: its zone");
DEFINE_uint32(events, 10, "replica: events of a stream");
DEFINE_uint32(work_ms, 20, "service: milliseconds of work for each call");
DEFINE_double(writes_per_second, 300, "platform: writes it takes");
DEFINE_double(reads_per_second, 2000, "platform: reads it takes");
DEFINE_uint32(list_lag_ms, 2000, "platform: lag of the list of VMs");

namespace arbutuspier::standin {
namespace {

constexpr double kMicrosecond = 1e-6;
constexpr double kMillisecond = 1e-3;
constexpr int kBadUsage = 2;

template <class Server, class Options>
int runServer(Options options)
{
    asio::io_context context(1);
    Server server(context, std::move(options));
    if (!server.start())
        return 1;
    context.run();
    return 0;
}

int run()
{
    const Address listen{FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port)};
    if (FLAGS_role == "engine") {
        EngineServerOptions options;
        options.listen = listen;
        options.engine.memoryTokens = FLAGS_memory_tokens;
        options.engine.secondsPerToken = FLAGS_prefill_us * kMicrosecond;
        options.engine.stepBaseSeconds = FLAGS_step_ms * kMillisecond;
        options.engine.checksFence = FLAGS_checks_fence;
        options.reportLag = std::chrono::milliseconds{FLAGS_report_lag_ms};
        return runServer<EngineServer>(std::move(options));
    }
    if (FLAGS_role == "service") {
        ServiceServerOptions options;
        options.listen = listen;
        options.workTime = std::chrono::milliseconds{FLAGS_work_ms};
        return runServer<ServiceServer>(std::move(options));
    }
    if (FLAGS_role == "platform") {
        PlatformServerOptions options;
        options.listen = listen;
        options.table = {FLAGS_writes_per_second, FLAGS_reads_per_second};
        options.listLag = std::chrono::milliseconds{FLAGS_list_lag_ms};
        return runServer<PlatformServer>(std::move(options));
    }
    if (FLAGS_role == "store")
        return runServer<StoreServer>(StoreServerOptions{listen});
    if (FLAGS_role == "replica") {
        ReplicaServerOptions options;
        options.listen = listen;
        options.store = {FLAGS_ip, static_cast<std::uint16_t>(FLAGS_store_port)};
        options.id = FLAGS_id;
        options.service = FLAGS_service;
        options.zone = FLAGS_zone;
        options.events = FLAGS_events;
        return runServer<ReplicaServer>(std::move(options));
    }
    std::cerr << "standin: --role must be engine, service, platform, store or replica\n";
    return kBadUsage;
}

} // namespace
} // namespace arbutuspier::standin

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("a stand-in for an engine, a plain service or the platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return arbutuspier::standin::run();
}
