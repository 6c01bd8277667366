// Measures how CPU time, memory, peer traffic and platform calls of a node grow with the size of
// the fleet. docs/CAPACITY.md uses the results.
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

constexpr double kSecondsPerNanosecond = 1e-9;
constexpr double kMicrosecondsPerSecond = 1e6;

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec)
        + static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

NodeSettings makeNodeSettings(std::size_t upstreams, std::size_t peers)
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

/// Feeds events to one node without any I/O. Its commands are only returned to the caller, not
/// carried out.
class NodeDriver
{
public:
    NodeDriver(std::size_t upstreams, std::size_t peers)
        : m_node(EntryNode::make(makeNodeSettings(upstreams, peers)))
        , m_upstreams(upstreams)
    {
    }

    Commands feed(const Event &event) { return m_node->handle(event, m_now, WallTime{}); }
    void advance(Duration duration) { m_now += duration; }

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

    /// Serves one short prompt from its arrival to the end of its stream. Returns false if the node
    /// didn't send it to an upstream.
    bool serveShortPrompt(std::uint64_t number, const std::string &team)
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
    std::printf("CPU time of the core by number of upstreams in use (380 peers known)\n");
    std::printf("%10s %14s %14s %14s\n", "upstreams", "us/request", "us/report", "us/tick");
    for (std::size_t upstreams : {15, 60, 250, 500, 2'500}) {
        NodeDriver nodeDriver(upstreams, 379);
        nodeDriver.reportAll();
        constexpr int kRequests = 4'000;
        const double requestsStart = cpuSeconds();
        int sent = 0;
        for (int i = 0; i < kRequests; ++i) {
            sent += nodeDriver.serveShortPrompt(static_cast<std::uint64_t>(i), "team") ? 1 : 0;
            nodeDriver.advance(std::chrono::milliseconds{20});
        }
        const double secondsPerRequest = (cpuSeconds() - requestsStart) / std::max(sent, 1);
        const double reportsStart = cpuSeconds();
        constexpr int kRounds = 10;
        for (int i = 0; i < kRounds; ++i)
            nodeDriver.reportAll();
        const double secondsPerReport =
            (cpuSeconds() - reportsStart) / (kRounds * static_cast<double>(upstreams));
        constexpr int kTicks = 2'000;
        const double ticksStart = cpuSeconds();
        for (int i = 0; i < kTicks; ++i) {
            nodeDriver.advance(kTickInterval);
            nodeDriver.feed(Tick{});
        }
        const double secondsPerTick = (cpuSeconds() - ticksStart) / kTicks;
        std::printf(
            "%10zu %14.2f %14.3f %14.2f\n", upstreams, secondsPerRequest * kMicrosecondsPerSecond,
            secondsPerReport * kMicrosecondsPerSecond, secondsPerTick * kMicrosecondsPerSecond);
    }
}

void measureMemory()
{
    std::printf("\nmemory of the core in bytes of heap\n");
    const std::size_t before = heapBytes();
    {
        NodeDriver smallNode(15, 3);
        const std::size_t smallBytes = heapBytes() - before;
        NodeDriver manyUpstreams(2'515, 3);
        const std::size_t perUpstream = (heapBytes() - before - 2 * smallBytes) / 2'500;
        std::printf(
            "  node with 15 upstreams, 3 peers: %zu\n  per upstream, empty cache index: %zu\n",
            smallBytes, perUpstream);
    }
    const std::size_t beforePeers = heapBytes();
    NodeDriver fewPeers(15, 3);
    const std::size_t fewPeersBytes = heapBytes() - beforePeers;
    const std::size_t beforeManyPeers = heapBytes();
    NodeDriver manyPeers(15, 383);
    std::printf("  per peer: %zu\n", (heapBytes() - beforeManyPeers - fewPeersBytes) / 380);
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
        index.addExpected(std::span<const std::uint64_t>(&i, 1));
    std::printf("  per prefix block: %zu\n", (heapBytes() - beforeBlocks) / 10'000);
    LimitsTable table(LimitsOptions{}, TableOpId{1});
    const std::size_t beforeRows = heapBytes();
    LimitsSnapshot snapshot;
    snapshot.version = 1;
    for (std::uint64_t i = 0; i < kTeams; ++i)
        snapshot.rows.push_back({"team-" + std::to_string(i), "ask", 1, 1'000, 10, 0});
    table.activateIfNewer(std::move(snapshot));
    std::printf("  per row of the limits table: %zu\n", (heapBytes() - beforeRows) / kTeams);
    ReservationRegistry reservations(VmId{1}, Incarnation{1}, ReservationRegistryOptions{});
    const std::size_t beforeReservations = heapBytes();
    for (std::uint64_t i = 1; i <= 10'000; ++i)
        reservations.add(ReservationId{i}, UpstreamId{1}, TimePoint{}, Fingerprint{i});
    std::printf("  per reservation: %zu\n", (heapBytes() - beforeReservations) / 10'000);
    NodeDriver busyDriver(250, 3);
    busyDriver.reportAll();
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
        busyDriver.feed(CallerRequest{RequestId{i + 1}, spec});
    }
    std::printf("  per active request: %zu\n", (heapBytes() - beforeRequests) / kRequests);
}

struct Traffic
{
    double bytesPerSecondPerNode = 0;
    double messagesPerSecondPerNode = 0;
    double writesPerSecond = 0;
    double readsPerSecond = 0;
};

Traffic measureTraffic(std::size_t vms, double requestsPerSecondPerNode)
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
        // Header and mask of a WebSocket frame sent by a client.
        constexpr double kFrameOverheadBytes = 8;
        bytes += static_cast<double>(encodePeerMessage(message).size()) + kFrameOverheadBytes;
        ++messages;
    };
    constexpr double kWarmupSeconds = 10;
    constexpr double kMeasuredSeconds = 20;
    if (requestsPerSecondPerNode > 0) {
        const double rate = requestsPerSecondPerNode * static_cast<double>(vms);
        for (double arrivalSeconds = 1; arrivalSeconds < kWarmupSeconds + kMeasuredSeconds;
             arrivalSeconds += 1 / rate) {
            simulation.at(fromSeconds(arrivalSeconds), [&simulation, vms, arrivalSeconds] {
                const auto number = static_cast<std::uint64_t>(arrivalSeconds * 1'000);
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
    simulation.runUntil(fromSeconds(kWarmupSeconds));
    isCounting = true;
    const std::uint64_t writes = simulation.table().writes();
    const std::uint64_t reads = simulation.table().reads();
    simulation.runUntil(fromSeconds(kWarmupSeconds + kMeasuredSeconds));
    const double nodes = static_cast<double>(vms);
    return {bytes / kMeasuredSeconds / nodes, messages / kMeasuredSeconds / nodes,
            static_cast<double>(simulation.table().writes() - writes) / kMeasuredSeconds,
            static_cast<double>(simulation.table().reads() - reads) / kMeasuredSeconds};
}

void printTraffic(double requestsPerSecondPerNode)
{
    std::printf("\npeer traffic and platform calls at %.1f requests/s per node\n",
                requestsPerSecondPerNode);
    std::printf("%6s %16s %14s %14s %14s\n", "VMs", "bytes/s a node", "msgs/s a node",
                "writes/s all", "reads/s all");
    std::vector<std::pair<double, double>> points;
    for (std::size_t vms : {4, 16, 64, 128}) {
        const Traffic traffic = measureTraffic(vms, requestsPerSecondPerNode);
        points.emplace_back(static_cast<double>(vms), traffic.bytesPerSecondPerNode);
        std::printf("%6zu %16.0f %14.2f %14.2f %14.2f\n", vms, traffic.bytesPerSecondPerNode,
                    traffic.messagesPerSecondPerNode, traffic.writesPerSecond,
                    traffic.readsPerSecond);
    }
    // Least-squares fit of bytes = intercept + slope * VMs, and the largest relative error of the
    // points.
    double sumX = 0, sumY = 0, sumXx = 0, sumXy = 0;
    const auto pointCount = static_cast<double>(points.size());
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
    }
    const double slope = (pointCount * sumXy - sumX * sumY) / (pointCount * sumXx - sumX * sumX);
    const double intercept = (sumY - slope * sumX) / pointCount;
    double maxRelativeError = 0;
    for (const auto &[x, y] : points)
        maxRelativeError = std::max(maxRelativeError, std::abs(intercept + slope * x - y) / y);
    std::printf("  fit: %.0f + %.2f x VMs bytes/s, worst error %.0f%%; at 380 VMs: %.0f bytes/s\n",
                intercept, slope, maxRelativeError * 100, intercept + slope * 380);
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
