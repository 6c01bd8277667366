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
    spec.isRetryable = false;
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
    void play(Simulation & world, double seconds){world.runUntil(fromSeconds(seconds));
world.finish();
}

void compare(const Simulation &world, const std::string &name)
{
    for (const Violation &violation : TraceAuditor().audit(world.trace()))
        FAIL(violation.what.c_str());
    std::string text;
    for (const TraceEntry &entry : world.trace())
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
    Simulation world(smallFleet());
    for (std::uint64_t i = 0; i < 6; ++i)
        world.at(fromSeconds(1 + 0.1 * i),
                 [&world, i] { world.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    world.at(fromSeconds(2), [&world] {
        RequestSpec hopeless = ask(9, 300'000);
        hopeless.timeLimit = std::chrono::seconds{1};
        world.submit(VmId{1}, hopeless);
    });
    play(world, 20);
    compare(world, "in-time");
}

TEST(AGoldenSession, ofAGangWhoseEngineDiesWithoutMemoryLost)
{
    Simulation world(smallFleet());
    world.at(fromSeconds(1), [&world] { world.submit(VmId{1}, ask(1, 900'000)); });
    world.at(fromSeconds(9), [&world] {
        for (std::uint64_t id : {1, 4, 7}) {
            if (world.engine(UpstreamId{id})->streams() > 0) {
                world.killUpstream(UpstreamId{id});
                return;
            }
        }
    });
    play(world, 120);
    compare(world, "gang-member-dies");
}

TEST(AGoldenSession, ofAnAnswerResumedAfterAnEngineDied)
{
    Simulation world(smallFleet());
    RequestId request;
    world.at(fromSeconds(1), [&] { request = world.submit(VmId{1}, ask(1, 2'000, 200)); });
    world.at(fromSeconds(2), [&world] {
        for (std::uint64_t id = 1; id <= 9; ++id) {
            if (world.engine(UpstreamId{id})->streams() > 0)
                world.killUpstream(UpstreamId{id});
        }
    });
    play(world, 30);
    CHECK(world.answer(request)->verdict == Verdict::Ran);
    compare(world, "resumed-answer");
}

TEST(AGoldenSession, ofACallThatIsNotRunWhileTheStoreIsDown)
{
    Simulation world(smallFleet());
    RequestId call;
    RequestId prompt;
    world.at(fromSeconds(1), [&] {
        world.tableFaults.isDown = true;
        call = world.submit(VmId{1}, voucher("voucher-1"));
        prompt = world.submit(VmId{1}, ask(1));
    });
    play(world, 20);
    CHECK(world.answer(call)->verdict == Verdict::NotRun);
    CHECK(world.answer(prompt)->verdict == Verdict::Ran);
    LONGS_EQUAL(0, world.runsOfKey("counter/voucher-1"));
    compare(world, "store-down");
}

TEST(AGoldenSession, ofAVoucherSentTwiceWhileARreplyIsLost)
{
    Simulation world(smallFleet());
    world.at(fromSeconds(1), [&world] {
        world.tableFaults.lostReplies = 1;
        world.submit(VmId{1}, voucher("voucher-1"));
        world.submit(VmId{2}, voucher("voucher-1"));
    });
    play(world, 20);
    LONGS_EQUAL(1, world.runsOfKey("counter/voucher-1"));
    compare(world, "voucher-twice");
}

TEST(AGoldenSession, ofAnUpstreamThatLeaves)
{
    Simulation world(smallFleet());
    for (std::uint64_t i = 0; i < 40; ++i)
        world.at(fromSeconds(1 + 0.2 * i),
                 [&world, i] { world.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    world.at(fromSeconds(2), [&world] { world.leaveUpstream(UpstreamId{1}); });
    play(world, 30);
    compare(world, "upstream-leaves");
}

TEST(AGoldenSession, ofAVmThatShutsDown)
{
    Simulation world(smallFleet());
    world.at(fromSeconds(1), [&world] { world.submit(VmId{1}, ask(1, 2'000, 200)); });
    world.at(fromSeconds(1.5), [&world] { world.drainVm(VmId{1}); });
    world.at(fromSeconds(1.6), [&world] { world.submit(VmId{1}, ask(2)); });
    play(world, 30);
    compare(world, "vm-drains");
}

TEST(AGoldenSession, ofTwoOperatorsWhoEditAtOnce)
{
    Simulation world(smallFleet());
    world.at(fromSeconds(1), [&world] {
        world.tell(VmId{1}, LimitsEdit{edit(0, "first", 2)});
        world.tell(VmId{2}, LimitsEdit{edit(0, "second", 5)});
    });
    world.at(fromSeconds(5), [&world] { world.startVm(VmId{3}); });
    play(world, 30);
    LONGS_EQUAL(2, world.editAnswers().size());
    compare(world, "edits-race");
}

TEST(AGoldenSession, ofARequestThatKillsAndInnocentsBesideIt)
{
    Simulation world(smallFleet());
    world.setPoison(Fingerprint{666});
    std::vector<RequestId> innocents;
    for (std::uint64_t i = 0; i < 20; ++i)
        world.at(fromSeconds(1 + 0.02 * i), [&world, &innocents, i] {
            innocents.push_back(world.submit(VmId{i % 4 + 1}, ask(i + 1, 1'500, 60)));
        });
    for (double t : {1.1, 2.0, 4.0, 8.0})
        world.at(fromSeconds(t), [&world] { world.submit(VmId{1}, ask(666)); });
    play(world, 60);
    for (RequestId innocent : innocents)
        CHECK(world.answer(innocent)->verdict == Verdict::Ran);
    compare(world, "request-kills");
}

// --- the firms' own stories ---

TEST(AGoldenSession, ofAMorningShiftAtTheCoop)
{
    Simulation world(smallFleet());
    world.at(fromSeconds(0.5), [&world] { world.submit(VmId{2}, ask(900, 250'000)); });
    for (std::uint64_t i = 0; i < 60; ++i)
        world.at(fromSeconds(2 + 0.03 * i),
                 [&world, i] { world.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    play(world, 60);
    compare(world, "coop-shift-start");
}

TEST(AGoldenSession, ofARecallNoticeAtHrubes)
{
    Simulation world(smallFleet());
    for (std::uint64_t i = 0; i < 3; ++i)
        world.at(fromSeconds(0.5 + i), [&world, i] {
            world.submit(VmId{i + 1}, ask(800 + i, i == 2 ? 800'000 : 200'000));
        });
    for (std::uint64_t i = 0; i < 60; ++i)
        world.at(fromSeconds(5 + 0.03 * i),
                 [&world, i] { world.submit(VmId{i % 4 + 1}, ask(i + 1)); });
    for (std::uint64_t i = 0; i < 4; ++i)
        world.at(fromSeconds(5.5 + 0.2 * i), [&world, i] {
            world.submit(VmId{i + 1}, voucher("voucher-" + std::to_string(i)));
        });
    play(world, 120);
    compare(world, "hrubes-recall");
}
