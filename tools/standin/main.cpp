// Simulators of the servers that the entry daemon and the gateway talk to. --role chooses one:
// engine, service, platform, store, replica or link.
#include "engineserver.h"
#include "linkserver.h"
#include "platformserver.h"
#include "replicaserver.h"
#include "serviceserver.h"
#include "storeserver.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(role, "", "engine, service, platform, store, replica or link");
DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on");
DEFINE_uint64(memory_tokens, 400'000, "engine: size of the KV cache in tokens");
DEFINE_double(prefill_us, 40, "engine: prefill time per token in microseconds");
DEFINE_double(step_ms, 6, "engine: minimum time of an engine step in milliseconds");
DEFINE_bool(checks_fence, true, "engine: refuse orders with a stale fencing token");
DEFINE_uint32(report_lag_ms, 50, "engine: age of the reported load in milliseconds");
DEFINE_uint32(store_port, 0, "replica: port of the metadata store on the same IP address");
DEFINE_string(id, "", "replica: instance id");
DEFINE_string(service, "assist", "replica: name of its service");
DEFINE_string(zone, "north", "replica: availability zone");
DEFINE_string(crash_on, "", "replica: text in a request's body that crashes the replica");
DEFINE_uint32(crash_delay_ms, 0, "replica: time before such a request crashes it");
DEFINE_string(
    crash_on_part, "",
    "replica: comma-separated ids of prompt parts; a prompt that holds one of them before "
    "its last part crashes the replica when its stream would begin");
DEFINE_uint64(spoiler_seed, 1,
              "replica: decides which responses are spoiled, once POST /spoil asked for it");
DEFINE_uint32(prefill_ms, 0, "replica: time before the first event of a stream in milliseconds");
DEFINE_uint32(
    replica_silence_ms, 0,
    "store: remove the entry of a replica that was silent for this long, in milliseconds; "
    "0 for never");
DEFINE_string(
    views, "",
    "store: comma-separated PORT:OFFSET; at that port, the offset is added to the ports of "
    "replicas");
DEFINE_uint32(first_link_port, 0, "link: port of the first link");
DEFINE_uint32(first_target_port, 0, "link: port on the same IP address that it leads to");
DEFINE_uint32(links, 1, "link: number of links, with successive ports");
DEFINE_uint32(events, 10, "replica: number of events in a stream");
DEFINE_uint32(work_ms, 20, "service: execution time of a call in milliseconds");
DEFINE_double(writes_per_second, 300, "platform: table writes accepted per second");
DEFINE_double(reads_per_second, 2000, "platform: table reads accepted per second");
DEFINE_uint32(list_lag_ms, 2000, "platform: delay of the VM list in milliseconds");

namespace arbutuspier::standin {
namespace {

constexpr double kSecondsPerMicrosecond = 1e-6;
constexpr double kSecondsPerMillisecond = 1e-3;
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

std::vector<StoreView> parseViews(const std::string &text)
{
    std::vector<StoreView> views;
    std::vector<std::string> items;
    boost::split(items, text, boost::is_any_of(","));
    for (const std::string &item : items) {
        const std::size_t colon = item.find(':');
        if (colon == std::string::npos)
            continue;
        views.push_back({static_cast<std::uint16_t>(std::stoul(item.substr(0, colon))),
                         static_cast<std::uint16_t>(std::stoul(item.substr(colon + 1)))});
    }
    return views;
}

int run()
{
    const Address listen{FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port)};
    if (FLAGS_role == "engine") {
        EngineServerOptions options;
        options.listen = listen;
        options.engine.memoryTokens = FLAGS_memory_tokens;
        options.engine.secondsPerToken = FLAGS_prefill_us * kSecondsPerMicrosecond;
        options.engine.stepBaseSeconds = FLAGS_step_ms * kSecondsPerMillisecond;
        options.engine.checksFence = FLAGS_checks_fence;
        options.reportLag = std::chrono::milliseconds{FLAGS_report_lag_ms};
        return runServer<EngineServer>(std::move(options));
    }
    if (FLAGS_role == "service") {
        ServiceServerOptions options;
        options.listen = listen;
        options.executionTime = std::chrono::milliseconds{FLAGS_work_ms};
        return runServer<ServiceServer>(std::move(options));
    }
    if (FLAGS_role == "platform") {
        PlatformServerOptions options;
        options.listen = listen;
        options.table = {FLAGS_writes_per_second, FLAGS_reads_per_second};
        options.vmListDelay = std::chrono::milliseconds{FLAGS_list_lag_ms};
        return runServer<PlatformServer>(std::move(options));
    }
    if (FLAGS_role == "store") {
        StoreServerOptions options;
        options.listen = listen;
        options.replicaSilence = std::chrono::milliseconds{FLAGS_replica_silence_ms};
        options.views = parseViews(FLAGS_views);
        return runServer<StoreServer>(std::move(options));
    }
    if (FLAGS_role == "link") {
        LinkServerOptions options;
        options.control = listen;
        options.listenPort = static_cast<std::uint16_t>(FLAGS_first_link_port);
        options.targetPort = static_cast<std::uint16_t>(FLAGS_first_target_port);
        options.count = FLAGS_links;
        return runServer<LinkServer>(std::move(options));
    }
    if (FLAGS_role == "replica") {
        ReplicaServerOptions options;
        options.listen = listen;
        options.store = {FLAGS_ip, static_cast<std::uint16_t>(FLAGS_store_port)};
        options.id = FLAGS_id;
        options.service = FLAGS_service;
        options.zone = FLAGS_zone;
        options.eventsPerStream = FLAGS_events;
        options.crashText = FLAGS_crash_on;
        options.spoilerSeed = FLAGS_spoiler_seed;
        options.crashDelay = std::chrono::milliseconds{FLAGS_crash_delay_ms};
        options.prefill = std::chrono::milliseconds{FLAGS_prefill_ms};
        boost::split(options.crashParts, FLAGS_crash_on_part, boost::is_any_of(","));
        return runServer<ReplicaServer>(std::move(options));
    }
    std::cerr << "standin: --role must be engine, service, platform, store, replica or link\n";
    return kBadUsage;
}

} // namespace
} // namespace arbutuspier::standin

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "simulates an engine, a plain service, the platform, its metadata store, a replica or a "
        "VM's links");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return arbutuspier::standin::run();
}
