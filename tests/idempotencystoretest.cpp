// Tests for the idempotency store: single keys, and a search over every order of the steps of two
// VMs with the same key.
#include "arbutuspier/idempotencystore.h"
#include "allorders.h"
#include "model/tablemodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace arbutuspier;

namespace {

constexpr Fingerprint kBody{7};
const WallTime kNow{std::chrono::seconds{1'000'000}};

TimePoint at(int milliseconds)
{
    return TimePoint{std::chrono::seconds{100} + std::chrono::milliseconds{milliseconds}};
}

/// One VM's idempotency store and the actions that it has requested.
struct Vm
{
    explicit Vm(std::uint64_t number)
        : ledger(IdempotencyOptions{}, TableOpId{number << 32})
        , random(number)
        , attempt{number}
    {
    }

    void collect()
    {
        for (IdempotencyStore::Action &action : ledger.takeActions()) {
            if (auto *call = std::get_if<IdempotencyStore::Call>(&action))
                calls.push_back(*call);
            else if (std::holds_alternative<IdempotencyStore::SendNow>(action))
                ++sends;
            else if (auto *replay = std::get_if<IdempotencyStore::Replay>(&action))
                replays.push_back(*replay);
            else
                refusals.push_back(std::get<IdempotencyStore::Reject>(action));
        }
    }
    void begin(Fingerprint body = kBody)
    {
        ledger.begin(RequestId{attempt.value}, attempt, "saw/order-1", kNow, body, kNow);
        collect();
    }
    IdempotencyStore::Call takeCall()
    {
        IdempotencyStore::Call call = calls.front();
        calls.erase(calls.begin());
        return call;
    }
    void reply(const IdempotencyStore::Call &call, const TableOutcome &outcome,
               TimePoint now = at(0))
    {
        ledger.onTableReply(call.op, outcome, now, random);
        collect();
    }
    /// Executes the next call at the table service and delivers its reply.
    void serve(model::TableModel &table, TimePoint now = at(0))
    {
        const IdempotencyStore::Call call = takeCall();
        reply(call, table.apply(call.request, now), now);
    }

    IdempotencyStore ledger;
    Random random;
    AttemptId attempt;
    std::vector<IdempotencyStore::Call> calls;
    int sends = 0;
    std::vector<IdempotencyStore::Replay> replays;
    std::vector<IdempotencyStore::Reject> refusals;
};

} // namespace

TEST_GROUP(AKey)
{
    model::TableModel table{model::TableModelOptions{1e6, 1e6}};
    Vm first{1};
    Vm second{2};
};

TEST(AKey, isRecordedBeforeItIsSent)
{
    first.begin();
    LONGS_EQUAL(0, first.sends);
    first.serve(table);
    LONGS_EQUAL(1, first.sends);
    LONGS_EQUAL(1, table.rowCount());
}

TEST(AKey, isRefusedWhenTheStoreIsDown)
{
    first.begin();
    first.reply(first.takeCall(), TableUnavailable{});
    LONGS_EQUAL(0, first.sends);
    CHECK(first.refusals.front().verdict == Verdict::NotRun);
    CHECK(first.refusals.front().reason == Reason::StoreUnavailable);
}

TEST(AKey, isRefusedWhenItIsTooOld)
{
    first.ledger.begin(RequestId{1}, AttemptId{1}, "k", kNow - std::chrono::hours{13}, kBody, kNow);
    first.collect();
    CHECK(first.refusals.front().reason == Reason::KeyExpired);
    CHECK(first.calls.empty());
}

TEST_GROUP_BASE(AKeyWhoseReplyWasLost,
                TEST_GROUP_CppUTestGroupAKey){void setup() override{first.begin();
const IdempotencyStore::Call call = first.takeCall();
table.apply(call.request, at(0));
first.reply(call, TableUnknown{});
}
}
;

TEST(AKeyWhoseReplyWasLost, isReadBackAndSentOnce)
{
    first.serve(table);
    LONGS_EQUAL(1, first.sends);
}

TEST(AKeyWhoseReplyWasLost, isGivenBackIfItsTimeRunsOut)
{
    CHECK(first.ledger.abandon(RequestId{1}) == Verdict::NotRun);
    first.collect();
    first.calls.erase(first.calls.begin());
    first.serve(table);
    first.serve(table);
    second.begin();
    second.serve(table);
    second.serve(table);
    LONGS_EQUAL(0, first.sends);
    LONGS_EQUAL(1, second.sends);
}

TEST_GROUP_BASE(AKeyThatRan, TEST_GROUP_CppUTestGroupAKey){void setup() override{first.begin();
first.serve(table);
first.ledger.onRan(first.attempt, 201, "booked");
first.collect();
first.serve(table);
}
}
;

TEST(AKeyThatRan, isAnsweredWithTheFirstAnswer)
{
    second.begin();
    second.serve(table);
    LONGS_EQUAL(0, second.sends);
    LONGS_EQUAL(201, second.replays.front().status);
    STRCMP_EQUAL("booked", second.replays.front().result.c_str());
}

TEST(AKeyThatRan, isRefusedWithAnotherBody)
{
    second.begin(Fingerprint{8});
    second.serve(table);
    CHECK(second.refusals.front().reason == Reason::KeyReused);
    CHECK(second.refusals.front().verdict == Verdict::NotRun);
}

TEST(AKeyThatRan, leavesNothingUnsettled)
{
    LONGS_EQUAL(0, first.ledger.pendingAttemptCount());
}

TEST_GROUP_BASE(AKeyInFlight, TEST_GROUP_CppUTestGroupAKey){void setup() override{first.begin();
first.serve(table);
second.begin();
second.serve(table);
}
}
;

TEST(AKeyInFlight, makesARepeatWait)
{
    LONGS_EQUAL(0, second.sends);
    CHECK(second.refusals.empty());
}

TEST(AKeyInFlight, answersARepeatWhenItIsDone)
{
    first.ledger.onRan(first.attempt, 200, "booked");
    first.collect();
    first.serve(table);
    second.ledger.tick(at(1'000));
    second.collect();
    second.serve(table, at(1'000));
    LONGS_EQUAL(1, second.replays.size());
}

TEST(AKeyInFlight, mayHaveRunIfTheRepeatsTimeRunsOut)
{
    CHECK(second.ledger.abandon(RequestId{2}) == Verdict::MayHaveRun);
}

TEST(AKeyInFlight, canBeUsedAgainIfTheUpstreamRefused)
{
    first.ledger.onNotRun(first.attempt);
    first.collect();
    first.serve(table);
    second.ledger.tick(at(1'000));
    second.collect();
    second.serve(table, at(1'000));
    second.serve(table, at(1'000));
    LONGS_EQUAL(1, second.sends);
}

// --- every order of two VMs' steps ---

namespace {

/// An event from the VM's environment. `vm` is 0 or 1.
struct Move
{
    enum Kind { Effect, Reply, LoseReply, LateEffect, Tick, Abandon, Crash, Finish } kind;
    int vm;
};

/// Two VMs that process the same key, after a list of moves.
class Replay
{
public:
    explicit Replay(const std::vector<Move> &moves)
    {
        vms[0].begin();
        vms[1].begin();
        for (const Move &move : moves)
            play(move);
    }

    std::vector<Move> possible() const
    {
        std::vector<Move> moves;
        for (int vm = 0; vm < 2; ++vm) {
            if (!late[vm].empty())
                moves.push_back({Move::LateEffect, vm});
            if (isCrashed[vm])
                continue;
            const bool hasCall = !vms[vm].calls.empty();
            const bool isDone = isEffective[vm];
            if (hasCall && !isDone)
                moves.push_back({Move::Effect, vm});
            if (hasCall && isDone)
                moves.push_back({Move::Reply, vm});
            if (hasCall && !isLost[vm])
                moves.push_back({Move::LoseReply, vm});
            if (!hasCall && !isAbandoned[vm] && vms[vm].sends == 0 && vms[vm].refusals.empty()
                && vms[vm].replays.empty())
                moves.push_back({Move::Tick, vm});
            if (!isAbandoned[vm] && vms[vm].sends == 0)
                moves.push_back({Move::Abandon, vm});
            if (vms[vm].sends == 1 && !isFinished[vm])
                moves.push_back({Move::Finish, vm});
            moves.push_back({Move::Crash, vm});
        }
        return moves;
    }

    /// Returns a description of the fault in this state; empty if there is none.
    std::string fault() const { return vms[0].sends + vms[1].sends > 1 ? "sent twice" : ""; }

    /// Two replays with equal states behave alike from then on.
    std::string state() const
    {
        std::string text;
        for (const auto &[key, row] : table.rows())
            text += std::to_string(row.version) + row.value;
        for (int vm = 0; vm < 2; ++vm) {
            text += '|' + std::to_string(vms[vm].sends) + std::to_string(isCrashed[vm])
                + std::to_string(isEffective[vm]) + std::to_string(isLost[vm])
                + std::to_string(isAbandoned[vm]) + std::to_string(isFinished[vm])
                + std::to_string(vms[vm].refusals.size()) + std::to_string(vms[vm].replays.size());
            for (const auto &call : vms[vm].calls) {
                if (const auto *write = std::get_if<TableTransaction>(&call.request))
                    text +=
                        "w" + std::to_string(write->writes[0].expected) + write->writes[0].value;
                else
                    text += "r";
            }
            for (const auto &write : late[vm])
                text += "l" + std::to_string(write.writes[0].expected) + write.writes[0].value;
        }
        return text;
    }

private:
    /// A write whose reply is no longer awaited may still take effect at any later time.
    void keepForLater(int vm, const IdempotencyStore::Call &call)
    {
        if (const auto *write = std::get_if<TableTransaction>(&call.request))
            late[vm].push_back(*write);
    }

    void play(const Move &move)
    {
        const int vm = move.vm;
        const TimePoint now = at(1'000 * ++m_step);
        switch (move.kind) {
        case Move::Effect:
            outcome[vm] = table.apply(vms[vm].calls.front().request, now);
            isEffective[vm] = true;
            return;
        case Move::Reply: {
            const IdempotencyStore::Call call = vms[vm].takeCall();
            isEffective[vm] = false;
            vms[vm].reply(call, outcome[vm], now);
            return;
        }
        case Move::LoseReply: {
            const IdempotencyStore::Call call = vms[vm].takeCall();
            if (!isEffective[vm])
                keepForLater(vm, call);
            isEffective[vm] = false;
            isLost[vm] = true;
            vms[vm].reply(call, TableUnknown{}, now);
            return;
        }
        case Move::Tick:
            vms[vm].ledger.tick(now);
            vms[vm].collect();
            return;
        case Move::Abandon:
            isAbandoned[vm] = true;
            vms[vm].ledger.abandon(RequestId{vms[vm].attempt.value});
            vms[vm].collect();
            // The call in flight may still reach the table service, but its reply is no longer
            // awaited.
            if (vms[vm].calls.size() > 1) {
                const IdempotencyStore::Call call = vms[vm].takeCall();
                if (!isEffective[vm])
                    keepForLater(vm, call);
            }
            isEffective[vm] = false;
            return;
        case Move::LateEffect:
            table.apply(late[vm].front(), now);
            late[vm].erase(late[vm].begin());
            return;
        case Move::Crash:
            isCrashed[vm] = true;
            if (!vms[vm].calls.empty() && !isEffective[vm])
                keepForLater(vm, vms[vm].calls.front());
            return;
        case Move::Finish:
            isFinished[vm] = true;
            vms[vm].ledger.onRan(vms[vm].attempt, 200, "done");
            vms[vm].collect();
            return;
        }
    }

    model::TableModel table{model::TableModelOptions{1e9, 1e9}};
    Vm vms[2] = {Vm{1}, Vm{2}};
    TableOutcome outcome[2];
    bool isEffective[2] = {};
    bool isLost[2] = {};
    bool isCrashed[2] = {};
    bool isAbandoned[2] = {};
    bool isFinished[2] = {};
    std::vector<TableTransaction> late[2];
    int m_step = 0;
};

} // namespace

TEST_GROUP(TwoVmsWithOneKey){};

TEST(TwoVmsWithOneKey, sendAtMostOnceInEveryOrderOfSteps)
{
    constexpr std::size_t kDepth = 14;
    const auto result = searchAllOrders<Replay, Move>(kDepth);
    printSearch("at-most-once record", result, kDepth);
    STRCMP_EQUAL("", result.fault.c_str());
    CHECK(result.states > 100);
}

TEST(TwoVmsWithOneKey, keepTheirRowsReadable)
{
    const bool isGood = rc::check("a row survives its encoding",
                                  [](std::uint64_t attempt, const std::string &result) {
                                      IdempotencyRecord row;
                                      row.state = IdempotencyRecord::State::Done;
                                      row.attempt = AttemptId{attempt};
                                      row.fingerprint = kBody;
                                      row.status = 200;
                                      std::string ascii;
                                      for (char c : result)
                                          ascii += static_cast<char>(c & 0x7f);
                                      row.result = ascii;
                                      const auto back = IdempotencyRecord::decode(row.encode());
                                      RC_ASSERT(back.has_value());
                                      RC_ASSERT(back->result == ascii);
                                      RC_ASSERT(back->attempt == row.attempt);
                                  });
    CHECK(isGood);
}

TEST(TwoVmsWithOneKey, refuseRowsThatAreNone)
{
    const bool isGood = rc::check("any text decodes or is refused",
                                  [](const std::string &text) { IdempotencyRecord::decode(text); });
    CHECK(isGood);
    CHECK_FALSE(IdempotencyRecord::decode("{\"state\":\"sent\"}").has_value());
    CHECK_FALSE(IdempotencyRecord::decode("[]").has_value());
}
