// Tests for the limits table: edits, races between operators, lost replies, and that no VM returns
// to a lower version.
#include "arbutuspier/limitstable.h"
#include "allorders.h"
#include "model/tablemodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace arbutuspier;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint{std::chrono::seconds{100} + std::chrono::milliseconds{milliseconds}};
}

LimitsSnapshot editOf(std::uint64_t base, const std::string &id, std::uint32_t weight)
{
    LimitsSnapshot edit;
    edit.version = base;
    edit.editId = id;
    edit.editor = "operator-" + id;
    edit.rows = {{"saw", "ask", weight, 0, 0, 0}};
    return edit;
}

struct Vm
{
    explicit Vm(std::uint64_t number)
        : limits(LimitsOptions{}, TableOpId{number << 32})
        , random(number)
    {
    }

    void collect()
    {
        for (LimitsTable::Action &action : limits.takeActions()) {
            if (auto *call = std::get_if<LimitsTable::Call>(&action))
                calls.push_back(*call);
            else if (auto *editResult = std::get_if<EditResult>(&action))
                editResults.push_back(*editResult);
            else
                activatedVersions.push_back(std::get<LimitsTable::Activated>(action).version);
        }
    }
    void executeOneCall(model::TableModel &table, TimePoint now, bool losesReply = false)
    {
        const LimitsTable::Call call = calls.front();
        calls.erase(calls.begin());
        TableOutcome outcome = table.apply(call.request, now);
        if (losesReply)
            outcome = TableUnknown{};
        limits.onTableReply(call.op, outcome, now, random);
        collect();
    }
    void executeAllCalls(model::TableModel &table, TimePoint now)
    {
        while (!calls.empty())
            executeOneCall(table, now);
    }
    void edit(const LimitsSnapshot &snapshot, TimePoint now = at(0))
    {
        limits.startEdit(snapshot, now);
        collect();
    }
    void tick(TimePoint now)
    {
        limits.tick(now, random);
        collect();
    }

    LimitsTable limits;
    Random random;
    std::vector<LimitsTable::Call> calls;
    std::vector<EditResult> editResults;
    std::vector<std::uint64_t> activatedVersions;
};

} // namespace

TEST_GROUP(ALimitsTable)
{
    model::TableModel table{model::TableModelOptions{1e6, 1e6}};
    Vm first{1};
    Vm second{2};
};

TEST(ALimitsTable, startsWithTheBuiltInDefault)
{
    LONGS_EQUAL(0, first.limits.version());
    LONGS_EQUAL(1, first.limits.row("anyone", "ask").weight);
}

TEST(ALimitsTable, fallsBackToTheDefaultRowOfTheClass)
{
    LimitsSnapshot snapshot;
    snapshot.version = 1;
    snapshot.rows = {{"*", "ask", 2, 0, 5, 0}, {"saw", "ask", 4, 0, 0, 0}};
    first.limits.activateIfNewer(snapshot);
    LONGS_EQUAL(2, first.limits.row("other", "ask").weight);
    LONGS_EQUAL(4, first.limits.row("saw", "ask").weight);
}

TEST_GROUP_BASE(ALimitsTableWithAnEdit, TEST_GROUP_CppUTestGroupALimitsTable){
    void setup() override{first.edit(editOf(0, "one", 3));
first.executeAllCalls(table, at(0));
}
}
;

TEST(ALimitsTableWithAnEdit, activatesItAtOnce)
{
    CHECK(first.editResults.front().outcome == EditOutcome::Accepted);
    LONGS_EQUAL(1, first.limits.version());
    LONGS_EQUAL(3, first.limits.row("saw", "ask").weight);
}

TEST(ALimitsTableWithAnEdit, isActivatedByAnotherVmWithItsNextPoll)
{
    second.tick(at(10));
    second.executeAllCalls(table, at(10));
    LONGS_EQUAL(1, second.limits.version());
}

TEST(ALimitsTableWithAnEdit, rejectsAnEditOfAStaleVersion)
{
    second.edit(editOf(0, "two", 9));
    second.executeAllCalls(table, at(10));
    second.tick(at(400));
    second.executeAllCalls(table, at(400));
    CHECK(second.editResults.front().outcome == EditOutcome::Conflict);
    STRCMP_EQUAL("operator-one", second.editResults.front().current.editor.c_str());
    LONGS_EQUAL(3, second.limits.row("saw", "ask").weight);
}

TEST(ALimitsTableWithAnEdit, ignoresASnapshotThatIsNotNewer)
{
    LimitsSnapshot old;
    old.version = 1;
    old.rows = {{"saw", "ask", 77, 0, 0, 0}};
    first.limits.activateIfNewer(old);
    LONGS_EQUAL(3, first.limits.row("saw", "ask").weight);
}

TEST(ALimitsTableWithAnEdit, isActivatedFromAPeersSnapshot)
{
    second.limits.activateIfNewer(first.limits.snapshot());
    LONGS_EQUAL(1, second.limits.version());
}

TEST_GROUP_BASE(ALimitsTableWhoseReplyWasLost, TEST_GROUP_CppUTestGroupALimitsTable){
    void setup() override{first.edit(editOf(0, "one", 3));
first.executeOneCall(table, at(0));
first.executeOneCall(table, at(0), true);
}
}
;

TEST(ALimitsTableWhoseReplyWasLost, findsThatItsEditWasWritten)
{
    CHECK(first.editResults.empty());
    first.tick(at(1'000));
    first.executeAllCalls(table, at(1'000));
    CHECK(first.editResults.front().outcome == EditOutcome::Accepted);
    LONGS_EQUAL(1, first.limits.version());
}

TEST(ALimitsTableWhoseReplyWasLost, reportsAnUnknownOutcomeIfTheStoreStaysUnresponsive)
{
    first.tick(at(11'000));
    CHECK(first.editResults.front().outcome == EditOutcome::Unknown);
}

TEST(ALimitsTable, catchesUpOverManyEditsThroughABaseRow)
{
    for (std::uint32_t i = 0; i < 100; ++i) {
        first.edit(editOf(i, "edit-" + std::to_string(i), i + 1));
        first.executeAllCalls(table, at(0));
    }
    LONGS_EQUAL(100, first.limits.version());
    second.tick(at(0));
    second.executeAllCalls(table, at(0));
    LONGS_EQUAL(100, second.limits.version());
    LONGS_EQUAL(100, second.limits.row("saw", "ask").weight);
}

TEST(ALimitsTable, convergesToOneVersionForAnyOrderOfEdits)
{
    const bool hasPassed = rc::check("edits race on two VMs", [] {
        model::TableModel table{model::TableModelOptions{1e9, 1e9}};
        Vm vms[2] = {Vm{1}, Vm{2}};
        std::uint64_t highest[2] = {0, 0};
        std::size_t accepted = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        int now = 0;
        int edits = 0;
        for (int step : steps) {
            now += 300;
            Vm &vm = vms[step % 2];
            switch (step / 2) {
            case 0:
                vm.edit(editOf(vm.limits.version(), std::to_string(edits++), 5), at(now));
                break;
            case 1:
                vm.tick(at(now));
                break;
            case 2:
                if (!vm.calls.empty())
                    vm.executeOneCall(table, at(now));
                break;
            case 3:
                if (!vm.calls.empty())
                    vm.executeOneCall(table, at(now), true);
                break;
            }
            for (int i = 0; i < 2; ++i) {
                RC_ASSERT(vms[i].limits.version() >= highest[i]);
                highest[i] = vms[i].limits.version();
            }
        }
        for (int round = 0; round < 60; ++round) {
            now += 1'000;
            for (Vm &vm : vms) {
                vm.tick(at(now));
                vm.executeAllCalls(table, at(now));
            }
        }
        for (const Vm &vm : vms) {
            for (const EditResult &editResult : vm.editResults)
                accepted += editResult.outcome == EditOutcome::Accepted ? 1 : 0;
        }
        RC_ASSERT(vms[0].limits.version() == vms[1].limits.version());
        // Each version is exactly one edit, so no accepted edit may be lost or counted twice.
        RC_ASSERT(vms[0].limits.version() >= accepted);
    });
    CHECK(hasPassed);
}

// --- every order of the steps of two operators' edits ---

namespace {

struct Move
{
    enum Kind { Effect, Reply, LoseReply, LateEffect, Tick, Crash } kind;
    int vm;
};

/// Two VMs, each with an operator's edit of the same version, after a list of moves.
class Replay
{
public:
    explicit Replay(const std::vector<Move> &moves)
    {
        for (int vm = 0; vm < 2; ++vm)
            vms[vm].edit(editOf(0, std::to_string(vm), static_cast<std::uint32_t>(vm) + 2));
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
            if (hasCall && !hasTakenEffect[vm])
                moves.push_back({Move::Effect, vm});
            if (hasCall && hasTakenEffect[vm])
                moves.push_back({Move::Reply, vm});
            if (hasCall && lostReplies[vm] < 2)
                moves.push_back({Move::LoseReply, vm});
            if (!hasCall && ticks[vm] < 4)
                moves.push_back({Move::Tick, vm});
            moves.push_back({Move::Crash, vm});
        }
        return moves;
    }

    /// Returns a description of the fault in this state; empty if there is none.
    std::string fault() const
    {
        int accepted = 0;
        for (const Vm &vm : vms) {
            for (const EditResult &editResult : vm.editResults)
                accepted += editResult.outcome == EditOutcome::Accepted ? 1 : 0;
            for (std::size_t i = 1; i < vm.activatedVersions.size(); ++i) {
                if (vm.activatedVersions[i] <= vm.activatedVersions[i - 1])
                    return "a VM returned to a lower version";
            }
        }
        // Both edits are based on version 0, so at most one of them may be accepted.
        if (accepted > 1 || storedVersion() > 1)
            return "two edits of one version were accepted";
        return accepted > 0 && storedVersion() == 0 ? "an accepted edit is not stored" : "";
    }

    std::string state() const
    {
        std::string text;
        for (const auto &[key, row] : table.rows())
            text += key + std::to_string(row.version) + row.value;
        for (int vm = 0; vm < 2; ++vm) {
            text += '|' + std::to_string(vms[vm].limits.version()) + std::to_string(isCrashed[vm])
                + std::to_string(hasTakenEffect[vm]) + std::to_string(lostReplies[vm])
                + std::to_string(ticks[vm]) + 'a';
            for (const EditResult &editResult : vms[vm].editResults)
                text += std::to_string(static_cast<int>(editResult.outcome));
            for (const LimitsTable::Call &call : vms[vm].calls)
                text += describe(call.request);
            for (const TableTransaction &write : lateWrites[vm])
                text += 'l' + describe(write);
        }
        return text;
    }

private:
    std::uint64_t storedVersion() const
    {
        auto it = table.rows().find("limits/head");
        return it == table.rows().end() ? 0 : LimitsHead::decode(it->second.value)->version;
    }
    static std::string describe(const TableRequest &request)
    {
        if (const auto *read = std::get_if<TableRead>(&request))
            return 'r' + read->key;
        const ConditionalWrite &write = std::get<TableTransaction>(request).writes.back();
        return 'w' + std::to_string(write.expected) + write.value;
    }
    void keepLateWrite(int vm)
    {
        if (const auto *write = std::get_if<TableTransaction>(&vms[vm].calls.front().request))
            lateWrites[vm].push_back(*write);
    }
    void applyMove(const Move &move)
    {
        const int vm = move.vm;
        const TimePoint now = at(700 * ++m_step);
        switch (move.kind) {
        case Move::Effect:
            outcome[vm] = table.apply(vms[vm].calls.front().request, now);
            hasTakenEffect[vm] = true;
            return;
        case Move::Reply:
        case Move::LoseReply: {
            const bool isLost = move.kind == Move::LoseReply;
            if (isLost && !hasTakenEffect[vm])
                keepLateWrite(vm);
            const LimitsTable::Call call = vms[vm].calls.front();
            vms[vm].calls.erase(vms[vm].calls.begin());
            hasTakenEffect[vm] = false;
            lostReplies[vm] += isLost ? 1 : 0;
            vms[vm].limits.onTableReply(
                call.op, isLost ? TableOutcome(TableUnknown{}) : outcome[vm], now, vms[vm].random);
            vms[vm].collect();
            return;
        }
        case Move::LateEffect:
            table.apply(lateWrites[vm].front(), now);
            lateWrites[vm].erase(lateWrites[vm].begin());
            return;
        case Move::Tick:
            ++ticks[vm];
            vms[vm].tick(now);
            return;
        case Move::Crash:
            isCrashed[vm] = true;
            if (!vms[vm].calls.empty() && !hasTakenEffect[vm])
                keepLateWrite(vm);
            return;
        }
    }

    model::TableModel table{model::TableModelOptions{1e9, 1e9}};
    Vm vms[2] = {Vm{1}, Vm{2}};
    TableOutcome outcome[2];
    bool hasTakenEffect[2] = {};
    bool isCrashed[2] = {};
    int lostReplies[2] = {};
    int ticks[2] = {};
    std::vector<TableTransaction> lateWrites[2];
    int m_step = 0;
};

} // namespace

TEST(ALimitsTable, acceptsAtMostOneOfTwoEditsInEveryOrderOfSteps)
{
    constexpr std::size_t kDepth = 14;
    const auto result = searchAllOrders<Replay, Move>(kDepth);
    printSearch("limits table", result, kDepth);
    STRCMP_EQUAL("", result.fault.c_str());
    CHECK(result.states > 100);
}

TEST_GROUP(ALimitsCsv){};

TEST(ALimitsCsv, survivesFormattingAndParsing)
{
    const std::vector<LimitRow> rows = {{"saw", "ask", 3, 5, 7, 900}, {"*", "ask", 1, 0, 0, 0}};
    const auto back = parseLimitsCsv(formatLimitsCsv(rows));
    CHECK(back.has_value());
    CHECK(*back == rows);
}

TEST(ALimitsCsv, reportsEveryError)
{
    const auto rows = parseLimitsCsv("team,class,weight,token_rate,concurrency,deadline_ms\n"
                                     "saw,ask,0,x,1,1\nsaw,ask,1,1,1,1\nshort,line\n");
    CHECK(rows.has_error());
    const std::string &message = rows.error().message;
    CHECK(message.find("line 2: weight") != std::string::npos);
    CHECK(message.find("line 2: token_rate") != std::string::npos);
    CHECK(message.find("line 3: duplicate row for this team and class") != std::string::npos);
    CHECK(message.find("line 4: expected 6 columns, found 2") != std::string::npos);
}

TEST(ALimitsCsv, showsCellsThatDiffer)
{
    const std::vector<LimitRow> before = {{"saw", "ask", 1, 0, 0, 0}};
    const std::vector<LimitRow> after = {{"saw", "ask", 2, 0, 0, 0}};
    const auto changes = diffRows(before, after);
    LONGS_EQUAL(1, changes.size());
    STRCMP_EQUAL("weight", changes[0].column.c_str());
    STRCMP_EQUAL("2", changes[0].after.c_str());
}

TEST(ALimitsCsv, parsesAnyTextWithoutCrashing)
{
    const bool hasPassed = rc::check("any text is parsed or rejected",
                                     [](const std::string &text) { parseLimitsCsv(text); });
    CHECK(hasPassed);
}
