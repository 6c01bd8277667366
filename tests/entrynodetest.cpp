// Entry nodes in a small simulated fleet: fleet-wide limits, admission, outages.
#include "model/simulation.h"
#include "model/traceauditor.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace arbutuspier;
using namespace arbutuspier::model;

namespace {

const std::vector<std::string> kZones = {"north", "south", "islands"};

SimulationOptions fleetOptions(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    for (std::uint64_t i = 0; i < 4; ++i)
        options.vms.push_back({VmId{i + 1}, kZones[i % kZones.size()]});
    for (std::uint64_t i = 0; i < 6; ++i)
        options.upstreams.push_back({UpstreamId{i + 1}, "engine-" + std::to_string(i + 1),
                                     RequestKind::Prompt, "grain", kZones[i % kZones.size()],
                                     400'000, true});
    return options;
}

RequestSpec promptSpec(std::uint64_t number, double timeLimitSeconds = 30)
{
    RequestSpec spec;
    spec.team = "saw";
    spec.className = "ask";
    spec.target = "grain";
    spec.promptTokens = 1'500;
    spec.maxTokens = 100;
    spec.fingerprint = Fingerprint{number + 1};
    spec.timeLimit = fromSeconds(timeLimitSeconds);
    return spec;
}

} // namespace

TEST_GROUP(AFleet)
{
    Simulation simulation{fleetOptions(3)};

    void submitAt(double seconds, std::uint64_t number)
    {
        simulation.at(fromSeconds(seconds), [this, number] {
            simulation.submit(VmId{number % 4 + 1}, promptSpec(number));
        });
    }
    std::size_t count(Verdict verdict, Reason reason)
    {
        const auto &ended = simulation.endedRequests();
        return static_cast<std::size_t>(
            std::count_if(ended.begin(), ended.end(), [&](const RequestEnded &e) {
                return e.verdict == verdict && e.reason == reason;
            }));
    }
    void checkGuarantees()
    {
        simulation.finish();
        for (const Violation &violation : TraceAuditor().audit(simulation.trace()))
            FAIL(violation.description.c_str());
    }
};

TEST_GROUP_BASE(AFleetWithALimit, TEST_GROUP_CppUTestGroupAFleet){
    void setup() override{simulation.at(fromSeconds(1), [this] {
        LimitsSnapshot edit{0, "limit", "operator", {{"saw", "ask", 1, 0, 4, 0}}};
        simulation.sendOperatorEvent(VmId{1}, LimitsEdit{edit});
    });
}
std::size_t running() const
{
    std::size_t streams = 0;
    for (std::uint64_t id = 1; id <= 6; ++id)
        streams += const_cast<Simulation &>(simulation).engine(UpstreamId{id})->streams();
    return streams;
}
}
;

TEST(AFleetWithALimit, neverRunsMoreThanTheLimitOverAllVms)
{
    std::size_t maxRunning = 0;
    for (std::uint64_t i = 0; i < 200; ++i)
        submitAt(8 + 0.02 * static_cast<double>(i), i);
    for (int i = 0; i < 2'000; ++i)
        simulation.at(fromSeconds(8 + 0.01 * i),
                      [&] { maxRunning = std::max(maxRunning, running()); });
    simulation.runUntil(std::chrono::seconds{60});
    CHECK(maxRunning >= 3);
    CHECK(maxRunning <= 4);
    checkGuarantees();
}

TEST(AFleetWithALimit, reportsOverLimitForRequestsThatWaitTooLongForTheLimit)
{
    for (std::uint64_t i = 0; i < 100; ++i)
        submitAt(8, i);
    simulation.runUntil(std::chrono::seconds{60});
    CHECK(count(Verdict::NotRun, Reason::OverLimit) > 0);
    CHECK(count(Verdict::Ran, Reason::None) > 0);
    checkGuarantees();
}

TEST(AFleetWithALimit, movesSharesToTheVmThatHasTheDemand)
{
    std::size_t maxRunning = 0;
    for (std::uint64_t i = 0; i < 400; ++i)
        simulation.at(fromSeconds(8 + 0.05 * static_cast<double>(i)),
                      [this, i] { simulation.submit(VmId{1}, promptSpec(i)); });
    for (int i = 0; i < 1'000; ++i)
        simulation.at(fromSeconds(15 + 0.01 * i),
                      [&] { maxRunning = std::max(maxRunning, running()); });
    simulation.runUntil(std::chrono::seconds{60});
    CHECK(maxRunning >= 3);
    CHECK(maxRunning <= 4);
    checkGuarantees();
}

TEST(AFleet, servesPromptsThroughAnHourWithoutThePlatform)
{
    SimulationOptions options = fleetOptions(4);
    options.keepsTrace = false;
    Simulation outage(options);
    outage.at(fromSeconds(5), [&] { outage.tableFaults.isDown = true; });
    outage.at(fromSeconds(3'605), [&] { outage.tableFaults.isDown = false; });
    for (std::uint64_t i = 0; i < 1'200; ++i)
        outage.at(fromSeconds(4 + 3 * static_cast<double>(i)),
                  [&outage, i] { outage.submit(VmId{i % 4 + 1}, promptSpec(i)); });
    std::uint64_t readsBefore = 0;
    outage.at(fromSeconds(3'604), [&] { readsBefore = outage.table().reads(); });
    outage.runUntil(fromSeconds(3'610));
    const auto &ended = outage.endedRequests();
    CHECK(std::all_of(ended.begin(), ended.end(),
                      [](const RequestEnded &e) { return e.verdict == Verdict::Ran; }));
    // In the first five seconds after the outage each VM reads the table only a few times.
    CHECK(outage.table().reads() - readsBefore < 100);
}

TEST(AFleet, servesItsZoneDuringAPartitionFromOtherZonesAndPlatform)
{
    const auto setPartitioned = [this](bool isActive) {
        simulation.setZonePartition("north", "south", isActive);
        simulation.setZonePartition("north", "islands", isActive);
        simulation.setPlatformPartition("north", isActive);
    };
    simulation.at(fromSeconds(5), [setPartitioned] { setPartitioned(true); });
    for (std::uint64_t i = 0; i < 40; ++i)
        simulation.at(fromSeconds(10 + 0.3 * static_cast<double>(i)),
                      [this, i] { simulation.submit(VmId{i % 2 == 0 ? 1u : 4u}, promptSpec(i)); });
    simulation.at(fromSeconds(30), [setPartitioned] { setPartitioned(false); });
    simulation.runUntil(std::chrono::seconds{60});
    LONGS_EQUAL(40, count(Verdict::Ran, Reason::None));
    checkGuarantees();
}

TEST(AFleet, rejectsOnArrivalWhatCannotMeetItsDeadlineWithARetryAfter)
{
    Duration retryAfter{};
    simulation.onCommand = [&](VmId, const Command &command) {
        if (const auto *reject = std::get_if<RejectRequest>(&command))
            retryAfter = reject->retryAfter;
    };
    for (std::uint64_t i = 0; i < 600; ++i)
        submitAt(5 + 0.001 * static_cast<double>(i), i);
    simulation.runUntil(std::chrono::seconds{60});
    CHECK(count(Verdict::NotRun, Reason::CannotMeetDeadline) > 0);
    CHECK(retryAfter > Duration::zero());
    checkGuarantees();
}

TEST_GROUP(ASuspectCall)
{
    std::unique_ptr<EntryNode> node = makeNode();
    const Fingerprint fingerprint{7};
    TimePoint now{std::chrono::seconds{100}};

    static std::unique_ptr<EntryNode> makeNode()
    {
        NodeSettings settings;
        settings.self = {VmId{1}, "north"};
        settings.incarnation = Incarnation{1};
        settings.peers = {{VmId{2}, "south"}};
        settings.upstreams = {
            {UpstreamId{1}, "desk-1", RequestKind::ServiceCall, "orders", "north", 0, false}};
        return EntryNode::make(std::move(settings));
    }
    /// Handles an event, answers the table calls that it leads to, and returns the attempt that it
    /// started, if any.
    std::optional<AttemptId> handle(const Event &event)
    {
        now += kTickInterval;
        std::optional<AttemptId> started;
        const Commands commands =
            node->handle(event, now, WallTime{std::chrono::seconds{1'000'000}});
        for (const Command &command : commands) {
            if (const auto *open = std::get_if<OpenStream>(&command))
                started = open->attempt;
            if (const auto *call = std::get_if<TableCall>(&command)) {
                const auto later = handle(TableReply{call->op, TableRows{}});
                started = later ? later : started;
            }
        }
        return started;
    }
    /// A peer reports a crash; then a call with the fingerprint is started and ends with the
    /// status.
    void endCallWith(int status)
    {
        PeerMessage message;
        message.from = VmId{2};
        message.incarnation = Incarnation{1};
        message.body = SuspectNotice{fingerprint, {99}};
        handle(PeerReceived{message});
        RequestSpec spec;
        spec.kind = RequestKind::ServiceCall;
        spec.team = "saw";
        spec.className = "ask";
        spec.target = "orders";
        spec.fingerprint = fingerprint;
        std::optional<AttemptId> attempt = handle(CallerRequest{RequestId{1}, spec});
        constexpr int kTicks = 400;
        for (int i = 0; i < kTicks && !attempt; ++i)
            attempt = handle(Tick{});
        CHECK(attempt.has_value());
        handle(StreamDone{*attempt, 0, 0, status, "result"});
    }
};

// Guards against a suspicion that ended with a response that shows no execution.
TEST(ASuspectCall, staysASuspectAfterAnErrorResponse)
{
    endCallWith(500);
    LONGS_EQUAL(1, node->status(now).suspects.size());
}

TEST(ASuspectCall, isClearedByASuccessfulResponse)
{
    endCallWith(200);
    LONGS_EQUAL(0, node->status(now).suspects.size());
}
