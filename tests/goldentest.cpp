// Golden sessions: traces of simulated sessions, compared with the files in tests/golden. Run the
// tests with ARBUTUSPIER_UPDATE_GOLDEN=1 to update these files, and review their changes.
#include "model/simulation.h"
#include "model/traceauditor.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace arbutuspier;
using namespace arbutuspier::model;

namespace {

const std::vector<std::string> kZones = {"north", "south", "islands"};

SimulationOptions smallFleet(std::uint64_t memoryTokens = 400'000)
{
    SimulationOptions options;
    options.seed = 11;
    for (std::uint64_t i = 0; i < 4; ++i)
        options.vms.push_back({VmId{i + 1}, kZones[i % kZones.size()]});
    for (std::uint64_t i = 0; i < 9; ++i)
        options.upstreams.push_back({UpstreamId{i + 1}, "engine-" + std::to_string(i + 1),
                                     RequestKind::Prompt, "grain", kZones[i % kZones.size()],
                                     memoryTokens, i % 2 == 0});
    for (std::uint64_t i = 0; i < 2; ++i)
        options.upstreams.push_back({UpstreamId{i + 101}, "vouchers-" + std::to_string(i + 1),
                                     RequestKind::ServiceCall, "vouchers", kZones[i], 0, false});
    return options;
}

RequestSpec promptSpec(std::uint64_t number, std::uint64_t tokens = 1'500,
                       std::uint64_t outputTokens = 20)
{
    RequestSpec spec;
    spec.team = "saw";
    spec.className = "ask";
    spec.target = "grain";
    spec.promptTokens = tokens;
    spec.maxTokens = outputTokens;
    spec.fingerprint = Fingerprint{number};
    spec.timeLimit = std::chrono::seconds{60};
    return spec;
}

RequestSpec voucherSpec(const std::string &key)
{
    RequestSpec spec;
    spec.kind = RequestKind::ServiceCall;
    spec.team = "counter";
    spec.className = "voucher";
    spec.target = "vouchers";
    spec.isRetryable = false;
    spec.idempotencyKey = key;
    spec.keyIssuedAt = WallTime{} + std::chrono::seconds{1'000};
    spec.fingerprint = Fingerprint{5'000};
    spec.timeLimit = std::chrono::seconds{6};
    return spec;
}

LimitsSnapshot limitsEdit(std::uint64_t base, const std::string &id, std::uint32_t weight)
{
    return {base, id, "operator", {{"saw", "ask", weight, 0, 0, 0}}};
}

} // namespace

TEST_GROUP(GoldenSession){void runToEnd(Simulation & simulation,
                                        double seconds){simulation.runUntil(fromSeconds(seconds));
simulation.finish();
}

void compareWithGolden(const Simulation &simulation, const std::string &name)
{
    for (const Violation &violation : TraceAuditor().audit(simulation.trace()))
        FAIL(violation.description.c_str());
    std::string text;
    for (const TraceEntry &entry : simulation.trace())
        text += describe(entry) + '\n';
    const std::string file = std::string(ARBUTUSPIER_SOURCE_DIR) + "/tests/golden/" + name + ".txt";
    if (std::getenv("ARBUTUSPIER_UPDATE_GOLDEN")) {
        std::ofstream(file) << text;
        return;
    }
    std::ifstream in(file);
    std::ostringstream golden;
    golden << in.rdbuf();
    STRCMP_EQUAL(golden.str().c_str(), text.c_str());
}
}
;

TEST(GoldenSession, ofRequestsThatMeetTheirDeadlines)
{
    Simulation simulation(smallFleet());
    for (std::uint64_t i = 0; i < 6; ++i)
        simulation.at(fromSeconds(1 + 0.1 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, promptSpec(i + 1)); });
    simulation.at(fromSeconds(2), [&simulation] {
        RequestSpec unservable = promptSpec(9, 300'000);
        unservable.timeLimit = std::chrono::seconds{1};
        simulation.submit(VmId{1}, unservable);
    });
    runToEnd(simulation, 20);
    compareWithGolden(simulation, "in-time");
}

TEST(GoldenSession, ofAParallelGroupMemberCrashWithoutLeakedMemory)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1),
                  [&simulation] { simulation.submit(VmId{1}, promptSpec(1, 900'000)); });
    simulation.at(fromSeconds(9), [&simulation] {
        for (std::uint64_t id : {1, 4, 7}) {
            if (simulation.engine(UpstreamId{id})->streams() > 0) {
                simulation.crashUpstream(UpstreamId{id});
                return;
            }
        }
    });
    runToEnd(simulation, 120);
    compareWithGolden(simulation, "gang-member-dies");
}

TEST(GoldenSession, ofAResponseResumedAfterAnEngineCrash)
{
    Simulation simulation(smallFleet());
    RequestId request;
    simulation.at(fromSeconds(1),
                  [&] { request = simulation.submit(VmId{1}, promptSpec(1, 2'000, 200)); });
    simulation.at(fromSeconds(2), [&simulation] {
        for (std::uint64_t id = 1; id <= 9; ++id) {
            if (simulation.engine(UpstreamId{id})->streams() > 0)
                simulation.crashUpstream(UpstreamId{id});
        }
    });
    runToEnd(simulation, 30);
    CHECK(simulation.response(request)->verdict == Verdict::Ran);
    compareWithGolden(simulation, "resumed-answer");
}

TEST(GoldenSession, ofACallThatIsNotRunWhileTheStoreIsDown)
{
    Simulation simulation(smallFleet());
    RequestId call;
    RequestId prompt;
    simulation.at(fromSeconds(1), [&] {
        simulation.tableFaults.isDown = true;
        call = simulation.submit(VmId{1}, voucherSpec("voucher-1"));
        prompt = simulation.submit(VmId{1}, promptSpec(1));
    });
    runToEnd(simulation, 20);
    CHECK(simulation.response(call)->verdict == Verdict::NotRun);
    CHECK(simulation.response(prompt)->verdict == Verdict::Ran);
    LONGS_EQUAL(0, simulation.runCountOfKey("counter/voucher-1"));
    compareWithGolden(simulation, "store-down");
}

TEST(GoldenSession, ofACallSentTwiceWhileATableReplyIsLost)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1), [&simulation] {
        simulation.tableFaults.lostReplies = 1;
        simulation.submit(VmId{1}, voucherSpec("voucher-1"));
        simulation.submit(VmId{2}, voucherSpec("voucher-1"));
    });
    runToEnd(simulation, 20);
    LONGS_EQUAL(1, simulation.runCountOfKey("counter/voucher-1"));
    compareWithGolden(simulation, "voucher-twice");
}

TEST(GoldenSession, ofADrainingUpstream)
{
    Simulation simulation(smallFleet());
    for (std::uint64_t i = 0; i < 40; ++i)
        simulation.at(fromSeconds(1 + 0.2 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, promptSpec(i + 1)); });
    simulation.at(fromSeconds(2), [&simulation] { simulation.drainUpstream(UpstreamId{1}); });
    runToEnd(simulation, 30);
    compareWithGolden(simulation, "upstream-leaves");
}

TEST(GoldenSession, ofADrainingVm)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1),
                  [&simulation] { simulation.submit(VmId{1}, promptSpec(1, 2'000, 200)); });
    simulation.at(fromSeconds(1.5), [&simulation] { simulation.drainVm(VmId{1}); });
    simulation.at(fromSeconds(1.6), [&simulation] { simulation.submit(VmId{1}, promptSpec(2)); });
    runToEnd(simulation, 30);
    compareWithGolden(simulation, "vm-drains");
}

TEST(GoldenSession, ofConcurrentLimitsEdits)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1), [&simulation] {
        simulation.sendOperatorEvent(VmId{1}, LimitsEdit{limitsEdit(0, "first", 2)});
        simulation.sendOperatorEvent(VmId{2}, LimitsEdit{limitsEdit(0, "second", 5)});
    });
    simulation.at(fromSeconds(5), [&simulation] { simulation.startVm(VmId{3}); });
    runToEnd(simulation, 30);
    LONGS_EQUAL(2, simulation.editResults().size());
    compareWithGolden(simulation, "edits-race");
}

TEST(GoldenSession, ofARequestThatCrashesEnginesBesideHarmlessOnes)
{
    Simulation simulation(smallFleet());
    simulation.addCrashingFingerprint(Fingerprint{666});
    std::vector<RequestId> harmlessRequests;
    for (std::uint64_t i = 0; i < 20; ++i)
        simulation.at(fromSeconds(1 + 0.02 * i), [&simulation, &harmlessRequests, i] {
            harmlessRequests.push_back(
                simulation.submit(VmId{i % 4 + 1}, promptSpec(i + 1, 1'500, 60)));
        });
    for (double t : {1.1, 2.0, 4.0, 8.0})
        simulation.at(fromSeconds(t),
                      [&simulation] { simulation.submit(VmId{1}, promptSpec(666)); });
    runToEnd(simulation, 60);
    for (RequestId harmlessRequest : harmlessRequests)
        CHECK(simulation.response(harmlessRequest)->verdict == Verdict::Ran);
    compareWithGolden(simulation, "request-kills");
}

// --- Workloads described by users ---

TEST(GoldenSession, ofAShiftStartBurstAfterALongPrompt)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(0.5),
                  [&simulation] { simulation.submit(VmId{2}, promptSpec(900, 250'000)); });
    for (std::uint64_t i = 0; i < 60; ++i)
        simulation.at(fromSeconds(2 + 0.03 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, promptSpec(i + 1)); });
    runToEnd(simulation, 60);
    compareWithGolden(simulation, "coop-shift-start");
}

TEST(GoldenSession, ofLongPromptsFollowedByABurstAndVouchers)
{
    Simulation simulation(smallFleet());
    for (std::uint64_t i = 0; i < 3; ++i)
        simulation.at(fromSeconds(0.5 + i), [&simulation, i] {
            simulation.submit(VmId{i + 1}, promptSpec(800 + i, i == 2 ? 800'000 : 200'000));
        });
    for (std::uint64_t i = 0; i < 60; ++i)
        simulation.at(fromSeconds(5 + 0.03 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, promptSpec(i + 1)); });
    for (std::uint64_t i = 0; i < 4; ++i)
        simulation.at(fromSeconds(5.5 + 0.2 * i), [&simulation, i] {
            simulation.submit(VmId{i + 1}, voucherSpec("voucher-" + std::to_string(i)));
        });
    runToEnd(simulation, 120);
    compareWithGolden(simulation, "hrubes-recall");
}
