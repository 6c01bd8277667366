// What VMs know of the replicas when few of them read the list and pass on what is new.
#include "gateway/replicanews.h"
#include "../allorders.h"
#include "gateway/replicanoticecodec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

platform::StoreRevision revision(std::uint64_t number, std::uint64_t era = 0)
{
    return {era, number};
}

ReplicaRow ready(const std::string &id, std::int64_t startedAtMs = 1)
{
    return {id, ReplicaEntry{id, "s", "10.0.0.1:80", "z", 4, ReplicaState::Ready, startedAtMs}};
}

ReplicaRow removed(const std::string &id)
{
    return {id, std::nullopt};
}

} // namespace

TEST_GROUP(ReplicaNews)
{
    ReplicaNews news{ReplicaNewsOptions{}};
    TimePoint now = TimePoint{seconds{100}};

    void setup() override
    {
        news.reset(revision(10));
    }
    void advance(std::uint64_t to, const std::vector<ReplicaRow> &rows = {})
    {
        now += milliseconds{500};
        news.advance(revision(to), rows, now);
    }
};

TEST(ReplicaNews, goBackSomeSecondsSoThatOneLostNoticeIsNoLoss)
{
    advance(12, {ready("i-1")});
    advance(14);
    const ReplicaNotice notice = news.notice(now);
    CHECK(notice.from == revision(10));
    CHECK(notice.to == revision(14));
    LONGS_EQUAL(1, notice.rows.size());
}

TEST(ReplicaNews, hasTheLastRowOfEachReplica)
{
    advance(12, {ready("i-1"), ready("i-2")});
    advance(14, {removed("i-1")});
    const ReplicaNotice notice = news.notice(now);
    LONGS_EQUAL(2, notice.rows.size());
    STRCMP_EQUAL("i-1", notice.rows.back().id.c_str());
    CHECK(!notice.rows.back().entry.has_value());
}

TEST(ReplicaNews, goBackSomeSecondsHoweverOftenTheyWereTold)
{
    for (std::uint64_t to = 11; to <= 16; ++to) {
        advance(to, {ready("i-" + std::to_string(to))});
        news.notice(now);
        news.onHeard({revision(8), revision(to), {}, {}, {}});
    }
    CHECK(news.notice(now).from == revision(10));
}

TEST(ReplicaNews, forgetsWhatIsOld)
{
    advance(12, {ready("i-1")});
    now += seconds{7};
    advance(14);
    const ReplicaNotice notice = news.notice(now);
    CHECK(notice.from == revision(12));
    CHECK(notice.rows.empty());
}

TEST(ReplicaNews, leavesOutRowsThatAreTooManyForADatagram)
{
    std::vector<ReplicaRow> rows;
    for (int i = 0; i < 300; ++i)
        rows.push_back(ready("i-" + std::to_string(i)));
    advance(12, rows);
    const ReplicaNotice notice = news.notice(now);
    CHECK(notice.from == revision(12));
    CHECK(notice.rows.empty());
}

TEST(ReplicaNews, takesNoNoticeWithAHoleBeforeIt)
{
    CHECK(news.isComplete({revision(8), revision(12), {}, {}, {}}));
    CHECK(news.isComplete({revision(10), revision(12), {}, {}, {}}));
    CHECK(!news.isComplete({revision(11), revision(12), {}, {}, {}}));
}

TEST(ReplicaNews, takesNoNoticeOfARestoredStoreOrBeforeTheFirstList)
{
    CHECK(!news.isComplete({revision(8), revision(12, 1), {}, {}, {}}));
    const ReplicaNews empty{ReplicaNewsOptions{}};
    CHECK(!empty.isComplete({revision(0), revision(12), {}, {}, {}}));
}

TEST(ReplicaNews, beginsAnewWithACompleteList)
{
    advance(12, {ready("i-1")});
    news.reset(revision(20));
    const ReplicaNotice notice = news.notice(now);
    CHECK(notice.from == revision(20));
    CHECK(notice.rows.empty());
}

TEST_GROUP_BASE(ReplicaNewsOfManyReplicas, TEST_GROUP_CppUTestGroupReplicaNews){
    void setup() override{ReplicaNewsOptions options;
options.maxRepeatedRows = 0;
news = ReplicaNews(options);
news.reset(revision(10));
}
}
;

TEST(ReplicaNewsOfManyReplicas, leavesOutWhatSeveralNoticesHaveTold)
{
    advance(12, {ready("i-1")});
    LONGS_EQUAL(1, news.notice(now).rows.size());
    news.onHeard({revision(8), revision(13), {}, {ready("i-1")}, {}});
    LONGS_EQUAL(1, news.notice(now).rows.size());
    advance(14, {ready("i-2")});
    const ReplicaNotice notice = news.notice(now);
    CHECK(notice.from == revision(12));
    LONGS_EQUAL(1, notice.rows.size());
    STRCMP_EQUAL("i-2", notice.rows[0].id.c_str());
}

TEST(ReplicaNewsOfManyReplicas, tellsOnceItselfWhatOthersHaveTold)
{
    advance(12, {ready("i-1")});
    for (int i = 0; i < 5; ++i)
        news.onHeard({revision(8), revision(13), {}, {ready("i-1")}, {}});
    LONGS_EQUAL(1, news.notice(now).rows.size());
    CHECK(news.notice(now).rows.empty());
}

TEST(ReplicaNewsOfManyReplicas, countsNoNoticeThatHasOnlyPartOfAChange)
{
    advance(12, {ready("i-1"), ready("i-2")});
    for (int i = 0; i < 5; ++i)
        news.onHeard({revision(11), revision(13), {}, {ready("i-2")}, {}});
    LONGS_EQUAL(2, news.notice(now).rows.size());
    LONGS_EQUAL(2, news.notice(now).rows.size());
}

TEST(ReplicaNewsOfManyReplicas, sendsEachRowFewTimesWhenAFleetOfReplicasStarts)
{
    constexpr int kReaders = 6;
    std::vector<ReplicaNews> readers(kReaders, ReplicaNews(ReplicaNewsOptions{}));
    std::size_t notices = 0;
    for (ReplicaNews &reader : readers)
        reader.reset(revision(10));
    std::size_t rowsSent = 0;
    constexpr int kReplicas = 100;
    for (int i = 0; i < kReplicas; ++i) {
        now += milliseconds{50};
        readers[0].advance(revision(11 + i), {ready("i-" + std::to_string(i))}, now);
        const bool isPoll = i % 6 == 5 || i + 1 == kReplicas;
        if (!isPoll)
            continue;
        // One reader polls each 0.3 s, and all others hear what it sends.
        const ReplicaNotice notice = readers[0].notice(now);
        rowsSent += notice.rows.size();
        ++notices;
        for (int other = 1; other < kReaders; ++other) {
            CHECK(readers[other].isComplete(notice));
            readers[other].advance(notice.to, notice.rows, now);
            readers[other].onHeard(notice);
        }
        for (ReplicaNews &reader : readers)
            CHECK(reader.covered() == readers[0].covered());
    }
    const ReplicaNewsOptions options;
    CHECK(rowsSent <= 3 * kReplicas + notices * options.maxRepeatedRows);
}

TEST_GROUP(ReplicaNoticeCodec)
{
    ReplicaNotice notice{revision(7, 1),
                         revision(9, 1),
                         milliseconds{250},
                         {ready("i-1"), removed("i-2")},
                         {{"i-3", 5}}};
};

TEST(ReplicaNoticeCodec, decodesToWhatWasEncoded)
{
    const auto decoded = decodeReplicaNotice(encodeReplicaNotice(notice));
    CHECK(decoded.has_value());
    CHECK(decoded->from == notice.from);
    CHECK(decoded->to == notice.to);
    CHECK(decoded->graceLeft == notice.graceLeft);
    CHECK(decoded->rows[0].entry == notice.rows[0].entry);
    STRCMP_EQUAL("i-2", decoded->rows[1].id.c_str());
    CHECK(!decoded->rows[1].entry.has_value());
    CHECK(decoded->overdue == notice.overdue);
}

TEST(ReplicaNoticeCodec, rejectsMalformedBytes)
{
    const std::string bytes = encodeReplicaNotice(notice);
    CHECK(!decodeReplicaNotice("").has_value());
    CHECK(!decodeReplicaNotice(bytes.substr(0, bytes.size() - 1)).has_value());
    const bool holds = rc::check("mutated notices", [&bytes] {
        std::string mutated = bytes;
        const int edits = *rc::gen::inRange(1, 5);
        for (int i = 0; i < edits; ++i)
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] =
                *rc::gen::arbitrary<char>();
        decodeReplicaNotice(mutated);
    });
    CHECK(holds);
}

namespace {

constexpr std::size_t kVms = 3;
/// The first VMs read the list; the others read only what they have missed.
constexpr std::size_t kReaders = 2;
constexpr std::size_t kChanges = 4;
constexpr std::size_t kMaxInFlight = 2;
/// Number of steps within which the searches find a fault if a part of the mechanism is off.
constexpr std::size_t kFaultDepth = 9;

/// What a VM takes the replicas to be; a replica is present or not.
using Replicas = std::map<std::string, bool>;

struct Move
{
    enum Kind { Change, Read, Respond, Deliver, Lose, Forget } kind;
    std::size_t vm;
};

/// A list of two replicas that changes, two readers and a VM that lives on their notices.
/// `kChecksHoles`: VMs take no notice that leaves out something. `kTellsAllRemovals`: readers pass
/// on also that a replica has gone which they didn't know.
template <bool kChecksHoles, bool kTellsAllRemovals>
class Replay
{
public:
    explicit Replay(const std::vector<Move> &moves)
    {
        m_history.push_back({});
        for (Vm &vm : m_vms)
            vm.news.reset(revision(1));
        for (const Move &move : moves)
            apply(move);
    }

    std::vector<Move> possibleMoves() const
    {
        std::vector<Move> moves;
        if (m_history.size() <= kChanges)
            moves.push_back({Move::Change, 0});
        for (std::size_t i = 0; i < kVms; ++i) {
            const Vm &vm = m_vms[i];
            const bool mayRead = i < kReaders || vm.hasMissed;
            if (mayRead && !vm.response)
                moves.push_back({Move::Read, i});
            if (vm.response)
                moves.push_back({Move::Respond, i});
            if (!vm.inFlight.empty()) {
                moves.push_back({Move::Deliver, i});
                moves.push_back({Move::Lose, i});
            }
            if (i < kReaders && vm.remembers)
                moves.push_back({Move::Forget, i});
        }
        return moves;
    }

    std::string state() const
    {
        std::string text = std::to_string(m_history.size());
        for (const Vm &vm : m_vms) {
            text += '|' + std::to_string(vm.news.covered().number) + (vm.hasMissed ? "m" : "")
                + (vm.remembers ? "r" : "") + textOf(vm.replicas);
            if (vm.response)
                text += 'R' + std::to_string(vm.responseSince) + '-' + std::to_string(*vm.response);
            for (const ReplicaNotice &notice : vm.inFlight)
                text += 'N' + textOf(notice);
            ReplicaNews copy = vm.news;
            text += 'L' + textOf(copy.notice(vm.now));
        }
        return text;
    }

    /// Each VM has to know the list as it was at the revision up to which it knows everything.
    std::string fault() const
    {
        for (const Vm &vm : m_vms) {
            const Replicas &expected = m_history[vm.news.covered().number - 1];
            if (vm.replicas != expected)
                return "a VM knows " + textOf(vm.replicas) + " instead of " + textOf(expected);
        }
        return {};
    }

private:
    struct Vm
    {
        ReplicaNews news{ReplicaNewsOptions{}};
        Replicas replicas;
        /// The revision that a read in flight will return, and that from which it reads.
        std::optional<std::uint64_t> response;
        std::uint64_t responseSince = 0;
        std::deque<ReplicaNotice> inFlight;
        bool hasMissed = false;
        /// Its notices go back.
        bool remembers = true;
        TimePoint now = TimePoint{seconds{100}};
    };

    static std::string textOf(const Replicas &replicas)
    {
        std::string text;
        for (const auto &[id, isPresent] : replicas)
            text += isPresent ? id : "";
        return text + '.';
    }

    static std::string textOf(const ReplicaNotice &notice)
    {
        std::string text =
            std::to_string(notice.from.number) + '-' + std::to_string(notice.to.number);
        for (const ReplicaRow &row : notice.rows)
            text += row.id + (row.entry ? '+' : '-');
        return text;
    }

    void apply(const Move &move)
    {
        Vm &vm = m_vms[move.vm];
        switch (move.kind) {
        case Move::Change:
            change();
            break;
        case Move::Read:
            vm.response = m_history.size();
            vm.responseSince = vm.news.covered().number;
            break;
        case Move::Respond:
            respond(move.vm);
            break;
        case Move::Deliver: {
            const ReplicaNotice notice = vm.inFlight.front();
            vm.inFlight.pop_front();
            receive(vm, notice);
            break;
        }
        case Move::Lose:
            vm.inFlight.pop_front();
            break;
        case Move::Forget:
            vm.remembers = false;
            vm.now += seconds{60};
            vm.news.notice(vm.now);
            break;
        }
    }

    /// The first replica comes, the second comes, the first goes, the second goes.
    void change()
    {
        Replicas next = m_history.back();
        const std::string id = m_history.size() % 2 == 1 ? "a" : "b";
        next[id] = m_history.size() <= 2;
        std::erase_if(next, [](const auto &entry) { return !entry.second; });
        m_history.push_back(std::move(next));
    }

    /// Whether the replica was on the list at some revision from `since` on and is no more.
    bool hasGone(const std::string &id, std::uint64_t since, std::uint64_t until) const
    {
        for (std::uint64_t number = since; number <= until; ++number) {
            if (m_history[number - 1].contains(id))
                return !m_history[until - 1].contains(id);
        }
        return false;
    }

    /// Rows that are new to the VM, and those of replicas that have gone.
    std::vector<ReplicaRow> newsOf(const Vm &vm, std::uint64_t until) const
    {
        const Replicas &list = m_history[until - 1];
        std::vector<ReplicaRow> rows;
        for (const std::string id : {"a", "b"}) {
            if (list.contains(id) && !vm.replicas.contains(id))
                rows.push_back(ready(id));
            if (kTellsAllRemovals ? hasGone(id, vm.responseSince, until)
                                  : !list.contains(id) && vm.replicas.contains(id))
                rows.push_back(removed(id));
        }
        return rows;
    }

    void respond(std::size_t index)
    {
        Vm &vm = m_vms[index];
        const std::uint64_t number = *vm.response;
        vm.response.reset();
        if (number < vm.news.covered().number)
            return;
        const std::vector<ReplicaRow> rows = newsOf(vm, number);
        vm.replicas = m_history[number - 1];
        vm.hasMissed = false;
        vm.news.advance(revision(number), rows, vm.now);
        for (std::size_t other = 0; other < kVms; ++other) {
            if (other != index && m_vms[other].inFlight.size() < kMaxInFlight)
                m_vms[other].inFlight.push_back(vm.news.notice(vm.now));
        }
    }

    static void receive(Vm &vm, const ReplicaNotice &notice)
    {
        if (kChecksHoles && !vm.news.isComplete(notice)) {
            vm.hasMissed = true;
            return;
        }
        if (notice.to <= vm.news.covered())
            return;
        for (const ReplicaRow &row : notice.rows) {
            if (row.entry)
                vm.replicas[row.id] = true;
            else
                vm.replicas.erase(row.id);
        }
        vm.news.advance(notice.to, notice.rows, vm.now);
    }

    std::array<Vm, kVms> m_vms;
    /// The list at each revision, from 1 on.
    std::vector<Replicas> m_history;
};

} // namespace

TEST_GROUP(AllOrdersOfReadersAndChanges){};

TEST(AllOrdersOfReadersAndChanges, leaveEachVmWithTheListItTakesItselfToKnow)
{
    constexpr std::size_t kDepth = 9;
    const SearchResult result = searchAllOrders<Replay<true, true>, Move>(kDepth);
    printSearch("readers and notices", result, kDepth);
    STRCMP_EQUAL("", result.fault.c_str());
    CHECK(result.states > 1'000);
}

TEST(AllOrdersOfReadersAndChanges, canMisleadAVmThatTakesNoticesWithHoles)
{
    const SearchResult result = searchAllOrders<Replay<false, true>, Move>(kFaultDepth);
    CHECK(!result.fault.empty());
}

TEST(AllOrdersOfReadersAndChanges, canMisleadAVmIfAReaderMissesThatAReplicaCameAndWent)
{
    const SearchResult result = searchAllOrders<Replay<true, false>, Move>(kFaultDepth);
    CHECK(!result.fault.empty());
}
