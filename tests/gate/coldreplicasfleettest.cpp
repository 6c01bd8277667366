// A fleet of VMs that sends as much as it may to a replica that is cold. VMs restart, come and go,
// learn of it at different times and don't hear each other; requests arrive late.
#include "arbutuspier/coldreplicas.h"
#include "arbutuspier/random.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{seconds{100}};
constexpr Duration kStep = milliseconds{5};
constexpr Duration kWindow = seconds{1};
constexpr double kMaxDelaySeconds = 0.15;
constexpr double kPerSecond = 14;
/// 14 x 1.5 + 5.
constexpr std::size_t kAllowed = 26;

/// A fleet in simulated time, with one replica.
class Fleet
{
public:
    Fleet(std::size_t vmCount, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < vmCount; ++i) {
            m_names.push_back("edge-" + std::to_string(i));
            m_vms.emplace_back();
            restartVm(i);
        }
        m_listedNames = m_names;
    }

    void restartVm(std::size_t index)
    {
        auto cold = std::make_unique<ColdReplicas>(m_names[index], ColdReplicaOptions{});
        cold->setBound(ColdBound{1.5, 5});
        cold->figures = [](const std::string &) { return ColdFigures{seconds{3}, kPerSecond}; };
        // Lists of VMs are some time old, each by another.
        cold->sharingVms = [this, index](const ReplicaIncarnation &) {
            return m_now < m_listedAt + fromSeconds(0.05 * static_cast<double>(index % 20))
                ? m_listedNames
                : m_names;
        };
        if (m_now < m_coldEnd)
            cold->onEntry(kReplica, m_coldEnd - m_now, ColdReplicas::Sighting::Known, m_now);
        m_vms[index] = std::move(cold);
    }

    /// A VM leaves for good, and another joins.
    void replaceVm(std::size_t index)
    {
        m_listedNames = m_names;
        m_listedAt = m_now;
        m_names[index] += "x";
        restartVm(index);
    }

    /// The replica turns cold; each VM learns of it within `maxNewsDelay`.
    void turnCold(Duration duration, Duration maxNewsDelay)
    {
        m_coldEnd = m_now + duration;
        m_newsAt.clear();
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            m_newsAt.push_back(m_now + fromSeconds(uniform(m_random) * toSeconds(maxNewsDelay)));
    }

    void runFor(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
            for (std::size_t i = 0; i < m_vms.size(); ++i)
                step(i);
        }
    }

    void setHearing(bool hearsPeers) { m_hearsPeers = hearsPeers; }
    void setSending(bool isSending) { m_isSending = isSending; }
    std::size_t arrivalCount() const { return m_arrivals.size(); }

    std::size_t mostInWindow() const
    {
        std::vector<TimePoint> arrivals = m_arrivals;
        std::sort(arrivals.begin(), arrivals.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] >= kWindow)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    const ReplicaIncarnation kReplica{"i-1", 7};

    void step(std::size_t index)
    {
        ColdReplicas &cold = *m_vms[index];
        const bool isNews = index < m_newsAt.size() && m_now >= m_newsAt[index]
            && m_now < m_newsAt[index] + kStep && m_now < m_coldEnd;
        if (isNews)
            cold.onEntry(kReplica, m_coldEnd - m_now, ColdReplicas::Sighting::Known, m_now);
        if (!m_isSending || cold.nextStart(kReplica, m_now) > m_now)
            return;
        cold.onStart(kReplica, m_now);
        m_arrivals.push_back(m_now + fromSeconds(uniform(m_random) * kMaxDelaySeconds));
        for (std::size_t other = 0; m_hearsPeers && other < m_vms.size(); ++other) {
            if (other != index)
                m_vms[other]->onPeerStart(kReplica.id, m_now);
        }
    }

    Random m_random;
    TimePoint m_now = kStart;
    TimePoint m_coldEnd{};
    TimePoint m_listedAt{};
    bool m_hearsPeers = true;
    bool m_isSending = true;
    std::vector<TimePoint> m_newsAt;
    std::vector<std::string> m_names;
    std::vector<std::string> m_listedNames;
    std::vector<std::unique_ptr<ColdReplicas>> m_vms;
    std::vector<TimePoint> m_arrivals;
};

constexpr std::uint64_t kSeeds = 3;

} // namespace

TEST_GROUP(AFleetBeforeAColdReplica)
{
    const std::vector<std::size_t> sizes{1, 4, 33, 107, 380};
};

TEST(AFleetBeforeAColdReplica, sendsWhatItBearsAndUsesIt)
{
    for (const std::size_t vms : sizes) {
        Fleet fleet(vms, vms);
        fleet.turnCold(seconds{5}, Duration{});
        fleet.runFor(seconds{4});
        CHECK(fleet.mostInWindow() <= kAllowed);
        CHECK(fleet.arrivalCount() >= 4 * (kPerSecond - 3));
    }
}

// Guards against shares that depend on which VMs are heard.
TEST(AFleetBeforeAColdReplica, sendsWhatItBearsIfNoVmHearsAnother)
{
    for (const std::size_t vms : sizes) {
        Fleet fleet(vms, vms);
        fleet.setHearing(false);
        fleet.turnCold(seconds{5}, Duration{});
        fleet.runFor(seconds{4});
        CHECK(fleet.mostInWindow() <= kAllowed);
    }
}

// Guards against VMs that all have saved requests up, and send them together.
TEST(AFleetBeforeAColdReplica, sendsWhatItBearsAfterAPause)
{
    for (const std::size_t vms : sizes) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Fleet fleet(vms, seed);
            fleet.turnCold(seconds{10}, Duration{});
            fleet.setSending(false);
            fleet.runFor(seconds{4});
            fleet.setSending(true);
            fleet.runFor(seconds{3});
            CHECK(fleet.mostInWindow() <= kAllowed);
        }
    }
}

// Guards against VMs that spend again after a restart what they spent before.
TEST(AFleetBeforeAColdReplica, sendsWhatItBearsAsVmsRestart)
{
    for (const std::size_t vms : sizes) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Fleet fleet(vms, seed);
            fleet.turnCold(seconds{10}, Duration{});
            for (int round = 0; round < 8; ++round) {
                fleet.runFor(milliseconds{700});
                for (std::size_t i = 0; i < vms; ++i)
                    fleet.restartVm(i);
            }
            CHECK(fleet.mostInWindow() <= kAllowed);
        }
    }
}

// Guards against shares that two VMs take at once while their lists of VMs differ.
TEST(AFleetBeforeAColdReplica, sendsWhatItBearsAsVmsComeAndGo)
{
    for (const std::size_t vms : sizes) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Fleet fleet(vms, seed);
            fleet.turnCold(seconds{10}, Duration{});
            for (std::size_t round = 0; round < 8; ++round) {
                fleet.runFor(milliseconds{700});
                fleet.replaceVm(round % vms);
            }
            CHECK(fleet.mostInWindow() <= kAllowed);
        }
    }
}

// Guards against a replica that turned cold before anyone knew.
TEST(AFleetBeforeAColdReplica, sendsWhatItBearsWhileSomeDoNotKnowYet)
{
    for (const std::size_t vms : sizes) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Fleet fleet(vms, seed);
            fleet.runFor(seconds{2});
            fleet.turnCold(seconds{4}, milliseconds{600});
            fleet.runFor(seconds{3});
            CHECK(fleet.mostInWindow() <= kAllowed);
        }
    }
}
