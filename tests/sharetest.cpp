// Tests the limit shares and the team limiter that applies them. The shares must never add up to
// more than the limit, even if messages are lost, duplicated or reordered.
#include "arbutuspier/shareallocator.h"
#include "arbutuspier/teamlimiter.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <memory>

using namespace arbutuspier;

namespace {

constexpr std::uint64_t kLimit = 100;

/// The share allocators of some VMs, and the messages in transit between them.
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        for (std::uint64_t i = 1; i <= size; ++i) {
            m_members.push_back({VmId{i}, Incarnation{i}});
            m_vms.push_back(std::make_unique<ShareAllocator>(m_members.back(), i << 32));
        }
    }

    ShareAllocator &vm(std::size_t i) { return *m_vms[i]; }
    std::size_t size() const { return m_vms.size(); }

    void beginEpoch(std::size_t i, const ShareEpoch &epoch, std::uint64_t limit)
    {
        m_vms[i]->beginEpoch(epoch, m_members);
        m_vms[i]->setLimit("row", limit);
    }
    void confirm(std::size_t from, std::size_t to)
    {
        m_vms[to]->onConfirmed(m_members[from], m_vms[from]->epoch());
    }
    void confirmAll()
    {
        for (std::size_t a = 0; a < size(); ++a) {
            for (std::size_t b = 0; b < size(); ++b)
                confirm(a, b);
        }
    }
    /// Moves the outgoing messages of a VM into transit.
    void collect(std::size_t i)
    {
        for (auto &message : m_vms[i]->takeOutgoing())
            m_inTransit.push_back({m_members[i].vm, message.to, message.body});
    }
    /// Delivers one message in transit. If `isKept`, it stays in transit and may arrive again.
    void deliver(std::size_t index, bool isKept)
    {
        if (m_inTransit.empty())
            return;
        const std::size_t at = index % m_inTransit.size();
        const MessageInTransit message = m_inTransit[at];
        if (!isKept)
            m_inTransit.erase(m_inTransit.begin() + static_cast<std::ptrdiff_t>(at));
        ShareAllocator &to = *m_vms[message.to.value - 1];
        if (const auto *request = std::get_if<ShareRequest>(&message.body))
            to.onRequest(message.from, *request);
        else if (const auto *transfer = std::get_if<ShareTransfer>(&message.body))
            to.onTransfer(message.from, *transfer);
        else if (const auto *ack = std::get_if<ShareTransferAck>(&message.body))
            to.onTransferAck(message.from, *ack);
        collect(message.to.value - 1);
    }
    void drop(std::size_t index)
    {
        if (!m_inTransit.empty())
            m_inTransit.erase(m_inTransit.begin()
                              + static_cast<std::ptrdiff_t>(index % m_inTransit.size()));
    }
    std::uint64_t sumOfShares() const
    {
        std::uint64_t total = 0;
        for (const auto &vm : m_vms)
            total += vm->share("row").value_or(0);
        return total;
    }

private:
    struct MessageInTransit
    {
        VmId from;
        VmId to;
        PeerBody body;
    };
    std::vector<ShareAllocator::Member> m_members;
    std::vector<std::unique_ptr<ShareAllocator>> m_vms;
    std::vector<MessageInTransit> m_inTransit;
};

} // namespace

TEST_GROUP(Shares)
{
    Fleet fleet{4};

    void beginAll(std::uint64_t limit, ShareEpoch epoch = {1, 1})
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.beginEpoch(i, epoch, limit);
    }
    void exchangeMessages()
    {
        for (int round = 0; round < 20; ++round) {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                fleet.vm(i).tick();
                fleet.collect(i);
            }
            for (int i = 0; i < 200; ++i)
                fleet.deliver(0, false);
        }
    }
};

TEST(Shares, areZeroUntilAllMembersHaveConfirmedTheEpoch)
{
    beginAll(kLimit);
    LONGS_EQUAL(0, fleet.sumOfShares());
    fleet.confirmAll();
    LONGS_EQUAL(kLimit, fleet.sumOfShares());
}

TEST(Shares, addUpToALimitThatDoesNotDivideEvenly)
{
    beginAll(3);
    fleet.confirmAll();
    LONGS_EQUAL(3, fleet.sumOfShares());
}

TEST_GROUP_BASE(ConfirmedShares,
                TEST_GROUP_CppUTestGroupShares){void setup() override{beginAll(kLimit);
fleet.confirmAll();
}
}
;

TEST(ConfirmedShares, moveToWhereTheDemandIs)
{
    fleet.vm(0).reportDemand("row", 25, 90);
    exchangeMessages();
    CHECK(*fleet.vm(0).share("row") >= 80);
    CHECK(fleet.sumOfShares() <= kLimit);
}

TEST(ConfirmedShares, areNotTransferredWhileInUse)
{
    fleet.vm(1).reportDemand("row", 20, 20);
    fleet.vm(0).reportDemand("row", 25, 100);
    exchangeMessages();
    CHECK(*fleet.vm(1).share("row") >= 20);
}

TEST(ConfirmedShares, areLoweredAtOnceButNotRaisedBeforeAllHaveConfirmed)
{
    fleet.beginEpoch(0, {2, 1}, 8);
    LONGS_EQUAL(2, *fleet.vm(0).share("row"));
    fleet.beginEpoch(1, {3, 1}, 200);
    LONGS_EQUAL(25, *fleet.vm(1).share("row"));
    CHECK(fleet.sumOfShares() <= kLimit);
}

TEST(ConfirmedShares, doNotGrowBeforeAllHaveConfirmedANewEpoch)
{
    fleet.beginEpoch(0, {1, 2}, kLimit);
    fleet.confirm(0, 1);
    LONGS_EQUAL(25, *fleet.vm(0).share("row"));
    fleet.vm(0).reportDemand("row", 25, 100);
    exchangeMessages();
    CHECK(*fleet.vm(0).share("row") <= 25);
}

TEST(ConfirmedShares, ofARestartedVmStartAtZero)
{
    ShareAllocator fresh({VmId{1}, Incarnation{99}}, 1);
    const std::vector<ShareAllocator::Member> members = {{VmId{1}, Incarnation{1}}};
    fresh.beginEpoch({1, 1}, members);
    fresh.setLimit("row", kLimit);
    fresh.onConfirmed(members[0], {1, 1});
    LONGS_EQUAL(0, *fresh.share("row"));
}

TEST(Shares, neverExceedTheLimitInAnyMessageOrder)
{
    const bool holds = rc::check("messages are lost, duplicated and reordered", [] {
        Fleet fleet(3);
        ShareEpoch newest{1, 1};
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1'000)));
        for (const auto &[kind, value] : steps) {
            const auto i = static_cast<std::size_t>(value) % fleet.size();
            const auto other = static_cast<std::size_t>(value / 7) % fleet.size();
            switch (kind) {
            case 0: // the fleet enters a new epoch
                newest.listRevision += 1;
                break;
            case 1:
            case 2: // a VM begins the newest epoch
                fleet.beginEpoch(i, newest, kLimit);
                break;
            case 3:
            case 4: // a VM learns that another one has confirmed its epoch
                fleet.confirm(i, other);
                break;
            case 5: { // a VM reports demand and sends messages
                const std::uint64_t used = fleet.vm(i).share("row").value_or(0);
                fleet.vm(i).reportDemand("row", used, static_cast<std::uint64_t>(value % 120));
                fleet.vm(i).tick();
                fleet.collect(i);
                break;
            }
            case 6: // a message arrives
                fleet.deliver(static_cast<std::size_t>(value), false);
                break;
            case 7: // a message arrives and stays in transit as a duplicate
                fleet.deliver(static_cast<std::size_t>(value), true);
                break;
            case 8: // a message is lost
                fleet.drop(static_cast<std::size_t>(value));
                break;
            }
            RC_ASSERT(fleet.sumOfShares() <= kLimit);
        }
    });
    CHECK(holds);
}

TEST_GROUP(ATeamLimiter)
{
    ShareAllocator shares{{VmId{1}, Incarnation{1}}, 1};
    TeamLimiter limiter{shares};
    const LimitRow limited{"saw", "ask", 1, 1'000, 2, 0};
    const LimitRow unlimited{"saw", "open", 1, 0, 0, 0};
    TimePoint now{std::chrono::seconds{10}};

    void setup() override
    {
        const std::vector<ShareAllocator::Member> members = {{VmId{1}, Incarnation{1}}};
        shares.beginEpoch({1, 1}, members);
        limiter.setRow(limited);
    }
};

TEST(ATeamLimiter, admitsARowWithoutLimits)
{
    CHECK(limiter.mayStart(unlimited, now));
}

TEST(ATeamLimiter, limitsConcurrentRequests)
{
    now += std::chrono::seconds{1};
    CHECK(limiter.mayStart(limited, now));
    limiter.onStarted(limited, 1, now);
    limiter.onStarted(limited, 1, now);
    CHECK_FALSE(limiter.mayStart(limited, now));
    limiter.onEnded(limited);
    CHECK(limiter.mayStart(limited, now));
}

TEST(ATeamLimiter, waitsUntilTheRateHasMadeUpForADebt)
{
    now += std::chrono::seconds{1};
    CHECK(limiter.mayStart(limited, now));
    limiter.onStarted(limited, 5'000, now);
    limiter.onEnded(limited);
    CHECK_FALSE(limiter.mayStart(limited, now + std::chrono::seconds{3}));
    CHECK(limiter.mayStart(limited, now + std::chrono::seconds{6}));
}
