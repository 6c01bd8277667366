// How long prompts wait that need several replicas, at a crest that leaves no room at once.
#include "arbutuspier/roomwait.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kReplicas = 60;

PromptShape prompt(std::uint64_t tokens)
{
    PromptShape shape;
    shape.promptTokens = tokens;
    shape.outputTokens = 960;
    shape.objective = seconds{4};
    shape.timeLeft = seconds{15};
    return shape;
}

EngineFigures engine()
{
    EngineFigures figures;
    figures.memoryTokens = 315'000;
    figures.prefillTokensPerMs = 177;
    figures.pairMsPerMillion = 0.184;
    return figures;
}

} // namespace

TEST_GROUP(APromptLargerThanAReplica){};

TEST(APromptLargerThanAReplica, waitsUntilOnlyIdleReplicasWouldServeItInTime)
{
    const PromptShape shape = prompt(350'000);
    CHECK(needsSeveralReplicas(engine(), shape));
    // A prefill of 13.2 s on 17 replicas.
    const double wait = toSeconds(maxRoomWait(engine(), shape, kReplicas, {}));
    DOUBLES_EQUAL(4 - 13.2 / 17, wait, 0.05);
    // Fewer replicas need more time.
    CHECK(maxRoomWait(engine(), shape, 6, {}) < maxRoomWait(engine(), shape, kReplicas, {}));
}

TEST(APromptLargerThanAReplica, waitsOnlyAMomentIfItIsLateEvenOnIdleReplicas)
{
    const PromptShape shape = prompt(700'000);
    DOUBLES_EQUAL(0.6, toSeconds(maxRoomWait(engine(), shape, 4, {})), 0.01);
}

TEST(APromptLargerThanAReplica, isPlacedByWhatIsLeftOfItsObjective)
{
    const PromptShape later = afterWait(prompt(350'000), seconds{3});
    CHECK(later.objective == seconds{1});
    CHECK(later.timeLeft == seconds{12});
    CHECK(afterWait(prompt(350'000), seconds{9}).objective == milliseconds{400});
}
