// How VMs find out that some VM of the fleet runs an older build, and that none does any more.
#include "gateway/peerbuilds.h"
#include "../allorders.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <deque>
#include <string>
#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{seconds{100}};
constexpr const char *kVm = "edge-2";

platform::StoreRevision revision(std::uint64_t number)
{
    return {0, number};
}

} // namespace

TEST_GROUP(PeerBuilds)
{
    PeerBuilds builds{PeerBuildsOptions{}};
    TimePoint now = kStart;

    void setup() override
    {
        builds.setVms({{kVm, revision(1)}, {"edge-3", revision(2)}});
    }
    /// An older build answers each of this VM's requests for `duration`.
    void hearOlderFor(Duration duration, std::uint64_t incarnation = 7)
    {
        for (const TimePoint end = now + duration; now < end; now += milliseconds{500})
            builds.onStatus(kVm, incarnation, now);
    }
};

TEST(PeerBuilds, areNoneOlderBeforeAnyVmIsHeard)
{
    CHECK(!builds.hasOlder(now));
    CHECK(!builds.hasOlder(now + seconds{60}));
}

TEST(PeerBuilds, areOlderOnceSeveralStatusesCameWithoutAnAnnouncement)
{
    builds.onStatus(kVm, 7, now);
    CHECK(!builds.hasOlder(now + seconds{1}));
    CHECK(builds.hasOlder(now + seconds{2}));
}

TEST(PeerBuilds, areOlderAtOnceIfTheyAnnounceALowerProtocol)
{
    builds.onAnnouncement({kVm, 7, kProtocol - 1}, now);
    CHECK(builds.hasOlder(now));
}

TEST(PeerBuilds, areNotOlderIfTheyAnnounceThisOrALaterProtocol)
{
    builds.onAnnouncement({kVm, 7, kProtocol}, now);
    builds.onAnnouncement({"edge-3", 7, kProtocol + 1}, now);
    hearOlderFor(seconds{5});
    CHECK(!builds.hasOlder(now));
}

TEST(PeerBuilds, areUnknownAgainAfterARestart)
{
    builds.onAnnouncement({kVm, 7, kProtocol}, now);
    hearOlderFor(seconds{5}, 8);
    CHECK(builds.hasOlder(now));
    builds.onAnnouncement({kVm, 9, kProtocol}, now);
    CHECK(!builds.hasOlder(now));
}

TEST(PeerBuilds, doNotCountOnceTheVmIsSilentOrRemoved)
{
    hearOlderFor(seconds{3});
    CHECK(builds.hasOlder(now));
    CHECK(!builds.hasOlder(now + seconds{20}));
    builds.setVms({{"edge-3", revision(2)}});
    CHECK(!builds.hasOlder(now));
}

TEST(PeerBuilds, areUnknownAgainWhenTheVmRegistersAgainOrBecomesUnresponsive)
{
    builds.onAnnouncement({kVm, 7, kProtocol}, now);
    builds.onAnnouncement({"edge-3", 7, kProtocol}, now);
    CHECK(builds.takeVmsToAsk(now).empty());
    builds.setVms({{kVm, revision(5)}, {"edge-3", revision(2)}});
    CHECK(std::vector<std::string>{kVm} == builds.takeVmsToAsk(now));
    builds.onUnresponsive("edge-3");
    CHECK(std::vector<std::string>{"edge-3"} == builds.takeVmsToAsk(now));
    CHECK(!builds.hasOlder(now));
}

TEST_GROUP_BASE(GroupBoundsAmongPeerBuilds, TEST_GROUP_CppUTestGroupPeerBuilds)
{
    static constexpr VmCapacity kSmall = {0.084, 14};
    static constexpr VmCapacity kLarge = {0.5, 200};

    FleetGroupBounds boundsOn(const VmCapacity &own) const
    {
        return builds.groupBounds(FleetGroupsOptions{}, own, now);
    }
};

TEST(GroupBoundsAmongPeerBuilds, areTheSameOnVmsOfUnlikeCapacity)
{
    builds.onAnnouncement({kVm, 7, kProtocol, kLarge}, now);
    const FleetGroupBounds onSmall = boundsOn(kSmall);
    builds.onAnnouncement({kVm, 7, kProtocol, kSmall}, now);
    CHECK(onSmall == boundsOn(kLarge));
    CHECK(onSmall.maxUngroupedVms > FleetGroupsOptions{}.bounds.maxUngroupedVms);
}

TEST(GroupBoundsAmongPeerBuilds, stayWhileAVmRestarts)
{
    builds.onAnnouncement({kVm, 7, kProtocol, kSmall}, now);
    const FleetGroupBounds before = boundsOn(kLarge);
    builds.onUnresponsive(kVm);
    CHECK(before == boundsOn(kLarge));
    builds.onStatus(kVm, 8, now);
    CHECK(before == boundsOn(kLarge));
}

TEST(GroupBoundsAmongPeerBuilds, areThoseOfTheOldestBuild)
{
    builds.onAnnouncement({"edge-3", 7, kProtocol, kSmall}, now);
    builds.onAnnouncement({kVm, 7, kLargeGroupsProtocol}, now);
    CHECK(FleetGroupsOptions{}.bounds == boundsOn(kSmall));
    hearOlderFor(seconds{3}, 8);
    CHECK(FleetGroupsOptions{}.olderBounds == boundsOn(kSmall));
    builds.onAnnouncement({kVm, 9, kProtocol, kSmall}, now);
    CHECK(boundsOn(kSmall).maxUngroupedVms > FleetGroupsOptions{}.bounds.maxUngroupedVms);
}

TEST(GroupBoundsAmongPeerBuilds, areAskedForWhileAnOldestBuildMayBeAmongThem)
{
    builds.onAnnouncement({kVm, 7, kLargeGroupsProtocol}, now);
    CHECK(std::vector<std::string>{"edge-3"} == builds.takeVmsToAsk(now));
}

TEST_GROUP_BASE(RequestsToVmsOfUnknownBuilds, TEST_GROUP_CppUTestGroupPeerBuilds){};

TEST(RequestsToVmsOfUnknownBuilds, areRepeatedUntilTheVmHasAnswered)
{
    LONGS_EQUAL(2, builds.takeVmsToAsk(now).size());
    CHECK(builds.takeVmsToAsk(now + milliseconds{500}).empty());
    builds.onAnnouncement({"edge-3", 7, kProtocol}, now);
    CHECK(std::vector<std::string>{kVm} == builds.takeVmsToAsk(now + seconds{1}));
}

TEST(RequestsToVmsOfUnknownBuilds, areSeldomToOneOfAnOlderBuildAndToNoneBeside)
{
    hearOlderFor(seconds{3});
    CHECK(builds.takeVmsToAsk(now).empty());
    CHECK(std::vector<std::string>{kVm} == builds.takeVmsToAsk(now + seconds{4}));
}

TEST(RequestsToVmsOfUnknownBuilds, reachThoseThatWereHeardFirst)
{
    std::map<std::string, platform::StoreRevision> vms;
    for (int i = 100; i < 380; ++i)
        vms["edge-" + std::to_string(i)] = revision(1);
    builds.setVms(vms);
    for (int i = 370; i < 376; ++i)
        builds.onStatus("edge-" + std::to_string(i), 7, now);
    const std::vector<std::string> next = builds.takeVmsToAsk(now);
    LONGS_EQUAL(8, next.size());
    STRCMP_EQUAL("edge-370", next[0].c_str());
    STRCMP_EQUAL("edge-375", next[5].c_str());
}

TEST(RequestsToVmsOfUnknownBuilds, areFewAtATimeAndReachAll)
{
    std::map<std::string, platform::StoreRevision> vms;
    for (int i = 0; i < 380; ++i)
        vms["edge-" + std::to_string(i)] = revision(1);
    builds.setVms(vms);
    std::map<std::string, int> asked;
    for (; now < kStart + seconds{25}; now += milliseconds{500}) {
        const std::vector<std::string> next = builds.takeVmsToAsk(now);
        CHECK(next.size() <= 8);
        for (const std::string &vm : next)
            ++asked[vm];
    }
    LONGS_EQUAL(380, asked.size());
}

namespace {

constexpr std::size_t kObservers = 2;
constexpr std::size_t kMaxInFlight = 2;

struct Move
{
    enum Kind { Upgrade, RollBack, Report, Deliver, DeliverLast, Lose, Wait } kind;
    std::size_t observer;
};

struct Message
{
    std::uint64_t incarnation = 0;
    bool isAnnouncement = false;
};

/// One VM that is upgraded and rolled back, and two of this build that watch it. `kAsks`: they ask
/// for what they don't know.
template <bool kAsks>
class Replay
{
public:
    explicit Replay(const std::vector<Move> &moves)
    {
        for (Observer &observer : m_observers)
            observer.builds.setVms({{kVm, {0, 1}}});
        for (const Move &move : moves)
            apply(move);
    }

    std::vector<Move> possibleMoves() const
    {
        std::vector<Move> moves = {{Move::Wait, 0}};
        if (m_incarnation < 3)
            moves.push_back({m_isOlder ? Move::Upgrade : Move::RollBack, 0});
        for (std::size_t i = 0; i < kObservers; ++i) {
            if (m_observers[i].inFlight.size() < kMaxInFlight)
                moves.push_back({Move::Report, i});
            if (m_observers[i].inFlight.empty())
                continue;
            moves.push_back({Move::Deliver, i});
            moves.push_back({Move::Lose, i});
            if (m_observers[i].inFlight.size() > 1)
                moves.push_back({Move::DeliverLast, i});
        }
        return moves;
    }

    std::string state() const
    {
        std::string text = std::to_string(m_incarnation) + (m_isOlder ? "o" : "n");
        for (const Observer &observer : m_observers) {
            text += '|' + observer.history;
            for (const Message &message : observer.inFlight)
                text += std::to_string(message.incarnation) + (message.isAnnouncement ? "a" : "s");
        }
        return text;
    }

    /// Lets the VMs talk undisturbed for some time; then both have to know the build.
    std::string fault() const
    {
        Replay later = *this;
        for (int i = 0; i < 8; ++i) {
            later.wait();
            for (std::size_t observer = 0; observer < kObservers; ++observer) {
                while (!later.m_observers[observer].inFlight.empty())
                    later.deliver(observer, 0);
            }
        }
        for (const Observer &observer : later.m_observers) {
            if (observer.builds.hasOlder(later.m_now) != m_isOlder)
                return "a VM takes the build for another one after: " + state();
        }
        return {};
    }

private:
    struct Observer
    {
        PeerBuilds builds{PeerBuildsOptions{}};
        std::deque<Message> inFlight;
        TimePoint heardAt = kStart;
        /// What it heard and when, as far as it matters.
        std::string history;
    };

    void apply(const Move &move)
    {
        switch (move.kind) {
        case Move::Upgrade:
        case Move::RollBack:
            m_isOlder = !m_isOlder;
            ++m_incarnation;
            break;
        case Move::Report:
            report(move.observer);
            break;
        case Move::Deliver:
            deliver(move.observer, 0);
            break;
        case Move::DeliverLast:
            deliver(move.observer, m_observers[move.observer].inFlight.size() - 1);
            break;
        case Move::Lose:
            m_observers[move.observer].inFlight.pop_front();
            break;
        case Move::Wait:
            wait();
            break;
        }
    }

    /// The VM sends its full state, and its announcement before it if the build has one.
    void report(std::size_t observer)
    {
        std::deque<Message> &inFlight = m_observers[observer].inFlight;
        if (!m_isOlder)
            inFlight.push_back({m_incarnation, true});
        inFlight.push_back({m_incarnation, false});
    }

    void deliver(std::size_t index, std::size_t position)
    {
        Observer &observer = m_observers[index];
        const auto at = observer.inFlight.begin() + static_cast<std::ptrdiff_t>(position);
        const Message message = *at;
        observer.inFlight.erase(at);
        observer.heardAt = m_now;
        observer.history +=
            std::to_string(message.incarnation) + (message.isAnnouncement ? 'a' : 's');
        if (message.isAnnouncement)
            observer.builds.onAnnouncement({kVm, message.incarnation, kProtocol}, m_now);
        else
            observer.builds.onStatus(kVm, message.incarnation, m_now);
    }

    void wait()
    {
        constexpr Duration kUnresponsiveTimeout = milliseconds{1800};
        m_now += seconds{2};
        for (std::size_t i = 0; i < kObservers; ++i) {
            Observer &observer = m_observers[i];
            observer.history += 'w';
            if (!kAsks)
                continue;
            if (m_now >= observer.heardAt + kUnresponsiveTimeout)
                observer.builds.onUnresponsive(kVm);
            if (!observer.builds.takeVmsToAsk(m_now).empty())
                report(i);
        }
    }

    std::array<Observer, kObservers> m_observers;
    std::uint64_t m_incarnation = 1;
    bool m_isOlder = true;
    TimePoint m_now = kStart;
};

} // namespace

TEST_GROUP(AllOrdersOfAnUpgrade){};

TEST(AllOrdersOfAnUpgrade, endWithVmsThatKnowTheBuild)
{
    const SearchResult result = searchAllOrders<Replay<true>, Move>(6);
    printSearch("upgrades and rollbacks", result, 6);
    STRCMP_EQUAL("", result.fault.c_str());
    CHECK(result.states > 1000);
}

TEST(AllOrdersOfAnUpgrade, canEndOtherwiseIfVmsDoNotAsk)
{
    const SearchResult result = searchAllOrders<Replay<false>, Move>(4);
    CHECK(!result.fault.empty());
}
