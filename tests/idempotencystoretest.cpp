// Tests for the idempotency store: single keys, and a search over every order of the steps of two
// VMs with the same key.
#include "arbutuspier/idempotencystore.h"
#include "allorders.h"
#include "model/tablemodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace arbutuspier;

namespace {

constexpr Fingerprint kFingerprint{7};
const WallTime kNow{std::chrono::seconds{1'000'000}};

TimePoint at(int milliseconds)
{
    return TimePoint{std::chrono::seconds{100} + std::chrono::milliseconds{milliseconds}};
}

/// One VM's idempotency store and the actions that it has requested.
struct Vm
{
    explicit Vm(std::uint64_t number)
        : store(IdempotencyOptions{}, TableOpId{number << 32})
        , random(number)
        , attempt{number}
    {
    }

    void collect()
    {
        for (IdempotencyStore::Action &action : store.takeActions()) {
            if (auto *call = std::get_if<IdempotencyStore::Call>(&action))
                calls.push_back(*call);
            else if (std::holds_alternative<IdempotencyStore::SendNow>(action))
                ++sends;
            else if (auto *replay = std::get_if<IdempotencyStore::Replay>(&action))
                replays.push_back(*replay);
            else
                rejections.push_back(std::get<IdempotencyStore::Reject>(action));
        }
    }
    void begin(Fingerprint fingerprint = kFingerprint)
    {
        store.begin(RequestId{attempt.value}, attempt, "saw/order-1", kNow, fingerprint, kNow);
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
        store.onTableReply(call.op, outcome, now, random);
        collect();
    }
    /// Executes the next call at the table service and delivers its reply.
    void executeNextCall(model::TableModel &table, TimePoint now = at(0))
    {
        const IdempotencyStore::Call call = takeCall();
        reply(call, table.apply(call.request, now), now);
    }

    IdempotencyStore store;
    Random random;
    AttemptId attempt;
    std::vector<IdempotencyStore::Call> calls;
    int sends = 0;
    std::vector<IdempotencyStore::Replay> replays;
    std::vector<IdempotencyStore::Reject> rejections;
};

} // namespace

TEST_GROUP(AKey)
{
    model::TableModel table{model::TableModelOptions{1e6, 1e6}};
    Vm first{1};
    Vm second{2};
};

TEST(AKey, isRecordedBeforeTheCallIsSent)
{
    first.begin();
    LONGS_EQUAL(0, first.sends);
    first.executeNextCall(table);
    LONGS_EQUAL(1, first.sends);
    LONGS_EQUAL(1, table.rowCount());
}

TEST(AKey, isRejectedWhenTheTableServiceIsUnavailable)
{
    first.begin();
    first.reply(first.takeCall(), TableUnavailable{});
    LONGS_EQUAL(0, first.sends);
    CHECK(first.rejections.front().verdict == Verdict::NotRun);
    CHECK(first.rejections.front().reason == Reason::StoreUnavailable);
}

TEST(AKey, isRejectedWhenItIsTooOld)
{
    first.store.begin(RequestId{1}, AttemptId{1}, "k", kNow - std::chrono::hours{13}, kFingerprint,
                      kNow);
    first.collect();
    CHECK(first.rejections.front().reason == Reason::KeyExpired);
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
    first.executeNextCall(table);
    LONGS_EQUAL(1, first.sends);
}

TEST(AKeyWhoseReplyWasLost, isReleasedIfItsRequestIsAbandoned)
{
    CHECK(first.store.abandon(RequestId{1}) == Verdict::NotRun);
    first.collect();
    first.calls.erase(first.calls.begin());
    first.executeNextCall(table);
    first.executeNextCall(table);
    second.begin();
    second.executeNextCall(table);
    second.executeNextCall(table);
    LONGS_EQUAL(0, first.sends);
    LONGS_EQUAL(1, second.sends);
}

TEST_GROUP_BASE(AKeyThatRan, TEST_GROUP_CppUTestGroupAKey){void setup() override{first.begin();
first.executeNextCall(table);
first.store.onRan(first.attempt, 201, "booked");
first.collect();
first.executeNextCall(table);
}
}
;

TEST(AKeyThatRan, isAnsweredWithTheStoredResult)
{
    second.begin();
    second.executeNextCall(table);
    LONGS_EQUAL(0, second.sends);
    LONGS_EQUAL(201, second.replays.front().httpStatus);
    STRCMP_EQUAL("booked", second.replays.front().result.c_str());
}

TEST(AKeyThatRan, isRejectedWithAnotherFingerprint)
{
    second.begin(Fingerprint{8});
    second.executeNextCall(table);
    CHECK(second.rejections.front().reason == Reason::KeyReused);
    CHECK(second.rejections.front().verdict == Verdict::NotRun);
}

TEST(AKeyThatRan, leavesNoPendingAttempt)
{
    LONGS_EQUAL(0, first.store.pendingAttemptCount());
}

TEST_GROUP_BASE(AKeyInFlight, TEST_GROUP_CppUTestGroupAKey){void setup() override{first.begin();
first.executeNextCall(table);
second.begin();
second.executeNextCall(table);
}
}
;

TEST(AKeyInFlight, makesARetryWait)
{
    LONGS_EQUAL(0, second.sends);
    CHECK(second.rejections.empty());
}

TEST(AKeyInFlight, answersARetryWhenItIsDone)
{
    first.store.onRan(first.attempt, 200, "booked");
    first.collect();
    first.executeNextCall(table);
    second.store.tick(at(1'000));
    second.collect();
    second.executeNextCall(table, at(1'000));
    LONGS_EQUAL(1, second.replays.size());
}

TEST(AKeyInFlight, mayHaveRunIfTheRetryIsAbandoned)
{
    CHECK(second.store.abandon(RequestId{2}) == Verdict::MayHaveRun);
}

TEST(AKeyInFlight, canBeUsedAgainIfTheUpstreamRefused)
{
    first.store.onNotRun(first.attempt);
    first.collect();
    first.executeNextCall(table);
    second.store.tick(at(1'000));
    second.collect();
    second.executeNextCall(table, at(1'000));
    second.executeNextCall(table, at(1'000));
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
            applyMove(move);
    }

    std::vector<Move> possibleMoves() const
    {
        std::vector<Move> moves;
        for (int vm = 0; vm < 2; ++vm) {
            if (!lateWrites[vm].empty())
                moves.push_back({Move::LateEffect, vm});
            if (isCrashed[vm])
                continue;
            const bool hasCall = !vms[vm].calls.empty();
            const bool isDone = hasTakenEffect[vm];
            if (hasCall && !isDone)
                moves.push_back({Move::Effect, vm});
            if (hasCall && isDone)
                moves.push_back({Move::Reply, vm});
            if (hasCall && !hasLostReply[vm])
                moves.push_back({Move::LoseReply, vm});
            if (!hasCall && !isAbandoned[vm] && vms[vm].sends == 0 && vms[vm].rejections.empty()
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
                + std::to_string(hasTakenEffect[vm]) + std::to_string(hasLostReply[vm])
                + std::to_string(isAbandoned[vm]) + std::to_string(isFinished[vm])
                + std::to_string(vms[vm].rejections.size())
                + std::to_string(vms[vm].replays.size());
            for (const auto &call : vms[vm].calls) {
                if (const auto *write = std::get_if<TableTransaction>(&call.request))
                    text +=
                        "w" + std::to_string(write->writes[0].expected) + write->writes[0].value;
                else
                    text += "r";
            }
            for (const auto &write : lateWrites[vm])
                text += "l" + std::to_string(write.writes[0].expected) + write.writes[0].value;
        }
        return text;
    }

private:
    /// A write whose reply is no longer awaited may still take effect at any later time.
    void keepLateWrite(int vm, const IdempotencyStore::Call &call)
    {
        if (const auto *write = std::get_if<TableTransaction>(&call.request))
            lateWrites[vm].push_back(*write);
    }

    void applyMove(const Move &move)
    {
        const int vm = move.vm;
        const TimePoint now = at(1'000 * ++m_step);
        switch (move.kind) {
        case Move::Effect:
            outcome[vm] = table.apply(vms[vm].calls.front().request, now);
            hasTakenEffect[vm] = true;
            return;
        case Move::Reply: {
            const IdempotencyStore::Call call = vms[vm].takeCall();
            hasTakenEffect[vm] = false;
            vms[vm].reply(call, outcome[vm], now);
            return;
        }
        case Move::LoseReply: {
            const IdempotencyStore::Call call = vms[vm].takeCall();
            if (!hasTakenEffect[vm])
                keepLateWrite(vm, call);
            hasTakenEffect[vm] = false;
            hasLostReply[vm] = true;
            vms[vm].reply(call, TableUnknown{}, now);
            return;
        }
        case Move::Tick:
            vms[vm].store.tick(now);
            vms[vm].collect();
            return;
        case Move::Abandon:
            isAbandoned[vm] = true;
            vms[vm].store.abandon(RequestId{vms[vm].attempt.value});
            vms[vm].collect();
            // The call in flight may still reach the table service, but its reply is no longer
            // awaited.
            if (vms[vm].calls.size() > 1) {
                const IdempotencyStore::Call call = vms[vm].takeCall();
                if (!hasTakenEffect[vm])
                    keepLateWrite(vm, call);
            }
            hasTakenEffect[vm] = false;
            return;
        case Move::LateEffect:
            table.apply(lateWrites[vm].front(), now);
            lateWrites[vm].erase(lateWrites[vm].begin());
            return;
        case Move::Crash:
            isCrashed[vm] = true;
            if (!vms[vm].calls.empty() && !hasTakenEffect[vm])
                keepLateWrite(vm, vms[vm].calls.front());
            return;
        case Move::Finish:
            isFinished[vm] = true;
            vms[vm].store.onRan(vms[vm].attempt, 200, "done");
            vms[vm].collect();
            return;
        }
    }

    model::TableModel table{model::TableModelOptions{1e9, 1e9}};
    Vm vms[2] = {Vm{1}, Vm{2}};
    TableOutcome outcome[2];
    bool hasTakenEffect[2] = {};
    bool hasLostReply[2] = {};
    bool isCrashed[2] = {};
    bool isAbandoned[2] = {};
    bool isFinished[2] = {};
    std::vector<TableTransaction> lateWrites[2];
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

TEST(TwoVmsWithOneKey, decodeTheRecordsTheyEncode)
{
    const bool hasPassed = rc::check("a record is unchanged by encoding and decoding",
                                     [](std::uint64_t attempt, const std::string &result) {
                                         IdempotencyRecord row;
                                         row.state = IdempotencyRecord::State::Done;
                                         row.attempt = AttemptId{attempt};
                                         row.fingerprint = kFingerprint;
                                         row.httpStatus = 200;
                                         std::string ascii;
                                         for (char c : result)
                                             ascii += static_cast<char>(c & 0x7f);
                                         row.result = ascii;
                                         const auto back = IdempotencyRecord::decode(row.encode());
                                         RC_ASSERT(back.has_value());
                                         RC_ASSERT(back->result == ascii);
                                         RC_ASSERT(back->attempt == row.attempt);
                                     });
    CHECK(hasPassed);
}

TEST(TwoVmsWithOneKey, rejectTextsThatAreNotRecords)
{
    const bool hasPassed =
        rc::check("any text is decoded or rejected",
                  [](const std::string &text) { IdempotencyRecord::decode(text); });
    CHECK(hasPassed);
    CHECK_FALSE(IdempotencyRecord::decode("{\"state\":\"sent\"}").has_value());
    CHECK_FALSE(IdempotencyRecord::decode("[]").has_value());
}
