// Golden sessions: whole sessions in virtual time, compared line by line with tests/golden.
// Run the tests with ARBUTUSPIER_UPDATE_GOLDEN=1 to write them anew; read the difference then.
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

RequestSpec ask(std::uint64_t number, std::uint64_t tokens = 1'500, std::uint64_t answer = 20)
{
    RequestSpec spec;
    spec.team = "saw";
    spec.className = "ask";
    spec.target = "grain";
    spec.promptTokens = tokens;
    spec.maxTokens = answer;
    spec.fingerprint = Fingerprint{number};
    spec.timeLimit = std::chrono::seconds{60};
    return spec;
}

RequestSpec voucher(const std::string &key)
{
    RequestSpec spec;
    spec.kind = RequestKind::ServiceCall;
    spec.team = "counter";
    spec.className = "voucher";
    spec.target = "vouchers";
    spec.repeatable = false;
    spec.idempotencyKey = key;
    spec.keyIssuedAt = WallTime{} + std::chrono::seconds{1'000};
    spec.fingerprint = Fingerprint{5'000};
    spec.timeLimit = std::chrono::seconds{6};
    return spec;
}

LimitsSnapshot edit(std::uint64_t base, const std::string &id, std::uint32_t weight)
{
    return {base, id, "operator", {{"saw", "ask", weight, 0, 0, 0}}};
}

} // namespace

TEST_GROUP(AGoldenSession){
    void play(Simulation & simulation, double seconds){simulation.runUntil(fromSeconds(seconds));
simulation.finish();
}

void compare(const Simulation &simulation, const std::string &name)
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

TEST(AGoldenSession, ofRequestsThatEndInTime)
{
    Simulation simulation(smallFleet());
    for (std::uint64_t i = 0; i < 6; ++i)
        simulation.at(fromSeconds(1 + 0.1 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    simulation.at(fromSeconds(2), [&simulation] {
        RequestSpec hopeless = ask(9, 300'000);
        hopeless.timeLimit = std::chrono::seconds{1};
        simulation.submit(VmId{1}, hopeless);
    });
    play(simulation, 20);
    compare(simulation, "in-time");
}

TEST(AGoldenSession, ofAGangWhoseEngineDiesWithoutMemoryLost)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1), [&simulation] { simulation.submit(VmId{1}, ask(1, 900'000)); });
    simulation.at(fromSeconds(9), [&simulation] {
        for (std::uint64_t id : {1, 4, 7}) {
            if (simulation.engine(UpstreamId{id})->streams() > 0) {
                simulation.crashUpstream(UpstreamId{id});
                return;
            }
        }
    });
    play(simulation, 120);
    compare(simulation, "gang-member-dies");
}

TEST(AGoldenSession, ofAnAnswerResumedAfterAnEngineDied)
{
    Simulation simulation(smallFleet());
    RequestId request;
    simulation.at(fromSeconds(1),
                  [&] { request = simulation.submit(VmId{1}, ask(1, 2'000, 200)); });
    simulation.at(fromSeconds(2), [&simulation] {
        for (std::uint64_t id = 1; id <= 9; ++id) {
            if (simulation.engine(UpstreamId{id})->streams() > 0)
                simulation.crashUpstream(UpstreamId{id});
        }
    });
    play(simulation, 30);
    CHECK(simulation.answer(request)->verdict == Verdict::Ran);
    compare(simulation, "resumed-answer");
}

TEST(AGoldenSession, ofACallThatIsNotRunWhileTheStoreIsDown)
{
    Simulation simulation(smallFleet());
    RequestId call;
    RequestId prompt;
    simulation.at(fromSeconds(1), [&] {
        simulation.tableFaults.isDown = true;
        call = simulation.submit(VmId{1}, voucher("voucher-1"));
        prompt = simulation.submit(VmId{1}, ask(1));
    });
    play(simulation, 20);
    CHECK(simulation.answer(call)->verdict == Verdict::NotRun);
    CHECK(simulation.answer(prompt)->verdict == Verdict::Ran);
    LONGS_EQUAL(0, simulation.runCountOfKey("counter/voucher-1"));
    compare(simulation, "store-down");
}

TEST(AGoldenSession, ofAVoucherSentTwiceWhileARreplyIsLost)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1), [&simulation] {
        simulation.tableFaults.lostReplies = 1;
        simulation.submit(VmId{1}, voucher("voucher-1"));
        simulation.submit(VmId{2}, voucher("voucher-1"));
    });
    play(simulation, 20);
    LONGS_EQUAL(1, simulation.runCountOfKey("counter/voucher-1"));
    compare(simulation, "voucher-twice");
}

TEST(AGoldenSession, ofAnUpstreamThatLeaves)
{
    Simulation simulation(smallFleet());
    for (std::uint64_t i = 0; i < 40; ++i)
        simulation.at(fromSeconds(1 + 0.2 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    simulation.at(fromSeconds(2), [&simulation] { simulation.drainUpstream(UpstreamId{1}); });
    play(simulation, 30);
    compare(simulation, "upstream-leaves");
}

TEST(AGoldenSession, ofAVmThatShutsDown)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1),
                  [&simulation] { simulation.submit(VmId{1}, ask(1, 2'000, 200)); });
    simulation.at(fromSeconds(1.5), [&simulation] { simulation.drainVm(VmId{1}); });
    simulation.at(fromSeconds(1.6), [&simulation] { simulation.submit(VmId{1}, ask(2)); });
    play(simulation, 30);
    compare(simulation, "vm-drains");
}

TEST(AGoldenSession, ofTwoOperatorsWhoEditAtOnce)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(1), [&simulation] {
        simulation.sendOperatorEvent(VmId{1}, LimitsEdit{edit(0, "first", 2)});
        simulation.sendOperatorEvent(VmId{2}, LimitsEdit{edit(0, "second", 5)});
    });
    simulation.at(fromSeconds(5), [&simulation] { simulation.startVm(VmId{3}); });
    play(simulation, 30);
    LONGS_EQUAL(2, simulation.editResults().size());
    compare(simulation, "edits-race");
}

TEST(AGoldenSession, ofARequestThatKillsAndInnocentsBesideIt)
{
    Simulation simulation(smallFleet());
    simulation.addCrashingFingerprint(Fingerprint{666});
    std::vector<RequestId> innocents;
    for (std::uint64_t i = 0; i < 20; ++i)
        simulation.at(fromSeconds(1 + 0.02 * i), [&simulation, &innocents, i] {
            innocents.push_back(simulation.submit(VmId{i % 4 + 1}, ask(i + 1, 1'500, 60)));
        });
    for (double t : {1.1, 2.0, 4.0, 8.0})
        simulation.at(fromSeconds(t), [&simulation] { simulation.submit(VmId{1}, ask(666)); });
    play(simulation, 60);
    for (RequestId innocent : innocents)
        CHECK(simulation.answer(innocent)->verdict == Verdict::Ran);
    compare(simulation, "request-kills");
}

// --- the firms' own stories ---

TEST(AGoldenSession, ofAMorningShiftAtTheCoop)
{
    Simulation simulation(smallFleet());
    simulation.at(fromSeconds(0.5),
                  [&simulation] { simulation.submit(VmId{2}, ask(900, 250'000)); });
    for (std::uint64_t i = 0; i < 60; ++i)
        simulation.at(fromSeconds(2 + 0.03 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    play(simulation, 60);
    compare(simulation, "coop-shift-start");
}

TEST(AGoldenSession, ofARecallNoticeAtHrubes)
{
    Simulation simulation(smallFleet());
    for (std::uint64_t i = 0; i < 3; ++i)
        simulation.at(fromSeconds(0.5 + i), [&simulation, i] {
            simulation.submit(VmId{i + 1}, ask(800 + i, i == 2 ? 800'000 : 200'000));
        });
    for (std::uint64_t i = 0; i < 60; ++i)
        simulation.at(fromSeconds(5 + 0.03 * i),
                      [&simulation, i] { simulation.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    for (std::uint64_t i = 0; i < 4; ++i)
        simulation.at(fromSeconds(5.5 + 0.2 * i), [&simulation, i] {
            simulation.submit(VmId{i + 1}, voucher("voucher-" + std::to_string(i)));
        });
    play(simulation, 120);
    compare(simulation, "hrubes-recall");
}
