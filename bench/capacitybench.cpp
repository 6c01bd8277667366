// Slopes for docs/CAPACITY.md: processor time, memory, peer bytes and platform calls of a node.
#include "arbutuspier/entrynode.h"
#include "model/simulation.h"
#include "net/peercodec.h"

#include <malloc.h>

#include <cmath>
#include <cstdio>
#include <ctime>

namespace arbutuspier::bench {
namespace {

using namespace model;

constexpr double kNanosecond = 1e-9;
constexpr double kMicroseconds = 1e6;

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNanosecond;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

NodeSettings settingsFor(std::size_t upstreams, std::size_t peers)
{
    NodeSettings settings;
    settings.self = {VmId{1}, "zone-0"};
    settings.incarnation = Incarnation{1};
    for (std::uint64_t i = 2; i < peers + 2; ++i)
        settings.peers.push_back({VmId{i}, "zone-" + std::to_string(i % 5)});
    for (std::uint64_t i = 1; i <= upstreams; ++i)
        settings.upstreams.push_back({UpstreamId{i}, "engine", RequestKind::Prompt,
                                      "model-" + std::to_string(i % 5),
                                      "zone-" + std::to_string(i % 5), 400'000, true});
    return settings;
}

/// One node driven by hand: every command is dropped but those the caller looks at.
class Driver
{
public:
    Driver(std::size_t upstreams, std::size_t peers)
        : m_node(EntryNode::make(settingsFor(upstreams, peers)))
        , m_upstreams(upstreams)
    {
    }

    Commands feed(const Event &event) { return m_node->handle(event, m_now, WallTime{}); }
    void advance(Duration by) { m_now += by; }

    void reportAll()
    {
        for (std::uint64_t i = 1; i <= m_upstreams; ++i) {
            LoadReport report;
            report.upstream = UpstreamId{i};
            report.incarnation = Incarnation{7};
            report.freeTokens = 400'000;
            feed(report);
        }
    }

    /// A short prompt's whole life. Returns false if it was not sent.
    bool serveOne(std::uint64_t number, const std::string &team)
    {
        RequestSpec spec;
        spec.team = team;
        spec.className = "ask";
        spec.target = "model-" + std::to_string(number % 5);
        spec.promptTokens = 2'000;
        spec.maxTokens = 100;
        spec.prefixBlocks = {number};
        spec.fingerprint = Fingerprint{number + 1};
        AttemptId attempt;
        for (const Command &command : feed(CallerRequest{RequestId{number + 1}, spec})) {
            if (const auto *open = std::get_if<OpenStream>(&command))
                attempt = open->attempt;
        }
        if (!attempt.isValid())
            return false;
        feed(StreamFirstToken{attempt});
        feed(StreamDone{attempt, 100, 0, 200, {}});
        return true;
    }

private:
    std::unique_ptr<EntryNode> m_node;
    std::size_t m_upstreams;
    TimePoint m_now{std::chrono::seconds{1'000}};
};

void measureRequests()
{
    std::printf("processor time of the core, by upstreams watched (380 peers known)\n");
    std::printf("%10s %14s %14s %14s\n", "upstreams", "us/request", "us/report", "us/tick");
    for (std::size_t upstreams : {15, 60, 250, 500, 2'500}) {
        Driver driver(upstreams, 379);
        driver.reportAll();
        constexpr int kRequests = 4'000;
        const double begin = cpuSeconds();
        int sent = 0;
        for (int i = 0; i < kRequests; ++i) {
            sent += driver.serveOne(static_cast<std::uint64_t>(i), "team") ? 1 : 0;
            driver.advance(std::chrono::milliseconds{20});
        }
        const double requests = (cpuSeconds() - begin) / std::max(sent, 1);
        const double beginReports = cpuSeconds();
        constexpr int kRounds = 10;
        for (int i = 0; i < kRounds; ++i)
            driver.reportAll();
        const double reports =
            (cpuSeconds() - beginReports) / (kRounds * static_cast<double>(upstreams));
        constexpr int kTicks = 2'000;
        const double beginTicks = cpuSeconds();
        for (int i = 0; i < kTicks; ++i) {
            driver.advance(kTickInterval);
            driver.feed(Tick{});
        }
        const double ticks = (cpuSeconds() - beginTicks) / kTicks;
        std::printf("%10zu %14.2f %14.3f %14.2f\n", upstreams, requests * kMicroseconds,
                    reports * kMicroseconds, ticks * kMicroseconds);
    }
}

void measureMemory()
{
    std::printf("\nmemory of the core, bytes of heap\n");
    const std::size_t before = heapBytes();
    {
        Driver small(15, 3);
        const std::size_t smallBytes = heapBytes() - before;
        Driver upstreams(2'515, 3);
        const std::size_t perUpstream = (heapBytes() - before - 2 * smallBytes) / 2'500;
        std::printf(
            "  node with 15 upstreams, 3 peers: %zu\n  per upstream, empty cache index: %zu\n",
            smallBytes, perUpstream);
    }
    const std::size_t beforePeers = heapBytes();
    Driver few(15, 3);
    const std::size_t fewBytes = heapBytes() - beforePeers;
    const std::size_t beforeMany = heapBytes();
    Driver many(15, 383);
    std::printf("  per peer: %zu\n", (heapBytes() - beforeMany - fewBytes) / 380);
    FairQueue queue;
    const std::size_t beforeTeams = heapBytes();
    constexpr std::uint64_t kTeams = 20'000;
    for (std::uint64_t i = 0; i < kTeams; ++i)
        queue.push(RequestId{i + 1}, "ask", "team-" + std::to_string(i), LengthClass::Short, 100,
                   1);
    std::printf("  per active team with one queued request: %zu\n",
                (heapBytes() - beforeTeams) / kTeams);
    PrefixIndex index(100'000);
    const std::size_t beforeBlocks = heapBytes();
    for (std::uint64_t i = 0; i < 10'000; ++i)
        index.expect(std::span<const std::uint64_t>(&i, 1));
    std::printf("  per prefix block: %zu\n", (heapBytes() - beforeBlocks) / 10'000);
    LimitsTable table(LimitsOptions{}, TableOpId{1});
    const std::size_t beforeRows = heapBytes();
    LimitsSnapshot snapshot;
    snapshot.version = 1;
    for (std::uint64_t i = 0; i < kTeams; ++i)
        snapshot.rows.push_back({"team-" + std::to_string(i), "ask", 1, 1'000, 10, 0});
    table.offer(std::move(snapshot));
    std::printf("  per row of the limits table: %zu\n", (heapBytes() - beforeRows) / kTeams);
    ReservationRegistry holdings(VmId{1}, Incarnation{1}, ReservationRegistryOptions{});
    const std::size_t beforeHoldings = heapBytes();
    for (std::uint64_t i = 1; i <= 10'000; ++i)
        holdings.add(ReservationId{i}, UpstreamId{1}, TimePoint{}, Fingerprint{i});
    std::printf("  per holding: %zu\n", (heapBytes() - beforeHoldings) / 10'000);
    Driver busy(250, 3);
    busy.reportAll();
    const std::size_t beforeRequests = heapBytes();
    constexpr std::uint64_t kRequests = 2'000;
    for (std::uint64_t i = 0; i < kRequests; ++i) {
        RequestSpec spec;
        spec.team = "team";
        spec.className = "ask";
        spec.target = "model-1";
        spec.promptTokens = 2'000;
        spec.maxTokens = 100;
        spec.fingerprint = Fingerprint{i + 1};
        spec.timeLimit = std::chrono::seconds{100};
        busy.feed(CallerRequest{RequestId{i + 1}, spec});
    }
    std::printf("  per request in care: %zu\n", (heapBytes() - beforeRequests) / kRequests);
}

struct Traffic
{
    double bytesPerNode = 0;
    double messagesPerNode = 0;
    double writesPerSecond = 0;
    double readsPerSecond = 0;
};

Traffic measureTraffic(std::size_t vms, double requestsPerNode)
{
    SimulationOptions options;
    options.keepsTrace = false;
    for (std::uint64_t i = 0; i < vms; ++i)
        options.vms.push_back({VmId{i + 1}, "zone-" + std::to_string(i % 5)});
    for (std::uint64_t i = 0; i < 15; ++i)
        options.upstreams.push_back({UpstreamId{i + 1}, "engine", RequestKind::Prompt, "m",
                                     "zone-" + std::to_string(i % 5), 400'000, true});
    options.reportInterval = std::chrono::seconds{1};
    Simulation simulation(options);
    double bytes = 0;
    double messages = 0;
    bool isCounting = false;
    simulation.onPeerSent = [&](const PeerMessage &message) {
        if (!isCounting)
            return;
        // A WebSocket frame from a client adds its header and mask.
        constexpr double kFrameBytes = 8;
        bytes += static_cast<double>(encodePeerMessage(message).size()) + kFrameBytes;
        ++messages;
    };
    constexpr double kWarm = 10;
    constexpr double kLength = 20;
    if (requestsPerNode > 0) {
        const double rate = requestsPerNode * static_cast<double>(vms);
        for (double at = 1; at < kWarm + kLength; at += 1 / rate) {
            simulation.at(fromSeconds(at), [&simulation, vms, at] {
                const auto number = static_cast<std::uint64_t>(at * 1'000);
                RequestSpec spec;
                spec.team = "team-" + std::to_string(number % 20'000);
                spec.className = "ask";
                spec.target = "m";
                spec.promptTokens = 200;
                spec.maxTokens = 5;
                spec.fingerprint = Fingerprint{number + 1};
                spec.timeLimit = std::chrono::seconds{20};
                simulation.submit(VmId{number % vms + 1}, spec);
            });
        }
    }
    simulation.runUntil(fromSeconds(kWarm));
    isCounting = true;
    const std::uint64_t writes = simulation.table().writes();
    const std::uint64_t reads = simulation.table().reads();
    simulation.runUntil(fromSeconds(kWarm + kLength));
    const double nodes = static_cast<double>(vms);
    return {bytes / kLength / nodes, messages / kLength / nodes,
            static_cast<double>(simulation.table().writes() - writes) / kLength,
            static_cast<double>(simulation.table().reads() - reads) / kLength};
}

void printTraffic(double requestsPerNode)
{
    std::printf("\npeer traffic and platform calls at %.1f requests/s a node\n", requestsPerNode);
    std::printf("%6s %16s %14s %14s %14s\n", "VMs", "bytes/s a node", "msgs/s a node",
                "writes/s all", "reads/s all");
    std::vector<std::pair<double, double>> points;
    for (std::size_t vms : {4, 16, 64, 128}) {
        const Traffic traffic = measureTraffic(vms, requestsPerNode);
        points.emplace_back(static_cast<double>(vms), traffic.bytesPerNode);
        std::printf("%6zu %16.0f %14.2f %14.2f %14.2f\n", vms, traffic.bytesPerNode,
                    traffic.messagesPerNode, traffic.writesPerSecond, traffic.readsPerSecond);
    }
    // Least squares of bytes = a + b * VMs, and the worst distance from it.
    double sx = 0, sy = 0, sxx = 0, sxy = 0;
    const auto n = static_cast<double>(points.size());
    for (const auto &[x, y] : points) {
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    const double b = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double a = (sy - b * sx) / n;
    double worst = 0;
    for (const auto &[x, y] : points)
        worst = std::max(worst, std::abs(a + b * x - y) / y);
    std::printf("  fit: %.0f + %.2f x VMs bytes/s, worst error %.0f%%; at 380 VMs: %.0f bytes/s\n",
                a, b, worst * 100, a + b * 380);
}

} // namespace
} // namespace arbutuspier::bench

int main()
{
    arbutuspier::bench::measureRequests();
    arbutuspier::bench::measureMemory();
    arbutuspier::bench::printTraffic(0);
    arbutuspier::bench::printTraffic(2.9);
    return 0;
}
