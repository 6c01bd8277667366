// An entry node whose upstream sends neither output nor load reports for some seconds and goes on.
#include "arbutuspier/entrynode.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

using namespace arbutuspier;

TEST_GROUP(ASilentUpstream)
{
    std::unique_ptr<EntryNode> node = makeNode();
    TimePoint now{std::chrono::seconds{100}};
    std::size_t finished = 0;
    std::size_t rejected = 0;
    std::optional<AttemptId> attempt;

    static std::unique_ptr<EntryNode> makeNode()
    {
        NodeSettings settings;
        settings.self = {VmId{1}, "north"};
        settings.incarnation = Incarnation{1};
        settings.upstreams = {
            {UpstreamId{1}, "desk-1", RequestKind::ServiceCall, "orders", "north", 0, false}};
        return EntryNode::make(std::move(settings));
    }

    void handle(const Event &event)
    {
        now += kTickInterval;
        const Commands commands =
            node->handle(event, now, WallTime{std::chrono::seconds{1'000'000}});
        for (const Command &command : commands) {
            if (const auto *open = std::get_if<OpenStream>(&command))
                attempt = open->attempt;
            finished += std::holds_alternative<FinishRequest>(command) ? 1 : 0;
            rejected += std::holds_alternative<RejectRequest>(command) ? 1 : 0;
            if (const auto *call = std::get_if<TableCall>(&command))
                handle(TableReply{call->op, TableRows{}});
        }
    }

    void startCall()
    {
        RequestSpec spec;
        spec.kind = RequestKind::ServiceCall;
        spec.isRetryable = true;
        spec.team = "saw";
        spec.className = "ask";
        spec.target = "orders";
        spec.fingerprint = Fingerprint{7};
        spec.timeLimit = std::chrono::seconds{60};
        handle(CallerRequest{RequestId{1}, spec});
        constexpr int kTicks = 400;
        for (int i = 0; i < kTicks && !attempt; ++i)
            handle(Tick{});
        CHECK(attempt.has_value());
    }

    void beSilentFor(Duration duration)
    {
        const TimePoint end = now + duration;
        while (now < end) {
            handle(LoadReportMissing{UpstreamId{1}});
            handle(Tick{});
        }
    }
};

// Guards against a call given up at an upstream that goes on after a short silence.
TEST(ASilentUpstream, finishesItsCallAfterAShortSilence)
{
    startCall();
    const AttemptId first = *attempt;
    beSilentFor(std::chrono::milliseconds{1600});
    handle(StreamDone{first, 0, 0, 200, "result"});
    LONGS_EQUAL(1, finished);
    LONGS_EQUAL(0, rejected);
}

// Guards against a call given up although no other upstream takes it.
TEST(ASilentUpstream, finishesItsCallIfThereIsNoOther)
{
    startCall();
    const AttemptId first = *attempt;
    beSilentFor(std::chrono::seconds{5});
    handle(StreamDone{first, 0, 0, 200, "result"});
    LONGS_EQUAL(1, finished);
    LONGS_EQUAL(0, rejected);
}
