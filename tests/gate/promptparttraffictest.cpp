// Simulated fleets, in virtual time, in which requests with one part of their prompts crash each
// replica that begins to write an answer on them, among harmless requests and crashes of other
// causes.
#include "arbutuspier/promptpartquarantine.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds{5};
constexpr Duration kDay = seconds{40};
constexpr Duration kContact = seconds{3};
constexpr Duration kRepeatInterval = milliseconds{500};
constexpr Duration kWriteDelay = seconds{1};
constexpr Duration kReadInterval = seconds{8};
constexpr Duration kReadIntervalWhenCut = seconds{1};
constexpr std::size_t kBoundCrashes = 5;
constexpr std::size_t kBoundSends = 3;
constexpr std::uint32_t kMaxAttempts = 2;
/// The callers of harmless requests repeat them.
constexpr std::uint32_t kMaxSoundAttempts = 6;
constexpr double kCrashesPerSecondInSeries = 1;
constexpr PromptPartId kRoutePart{1};
constexpr PromptPartId kCrashingPart{2};
constexpr std::uint64_t kFirstDocument = 10;

struct Scenario
{
    std::size_t vms = 4;
    std::size_t replicas = 12;
    double soundPerSecond = 40;
    double crashingPerSecond = 1;
    bool crashesByFirstPart = false;
    std::size_t documents = 30;
    double lossRate = 0;
    bool hasCrashSeries = false;
    bool hasMassCrash = false;
    /// Time from the crash of one replica to that of the next.
    int massCrashStaggerMs = 0;
    bool hasVmRestarts = false;
    bool hasCutVm = false;
    PromptPartQuarantineOptions options = {};
};

struct Outcome
{
    std::size_t crashes = 0;
    /// Sends with the crashing part, by VMs in touch, later than the contact time after the fifth
    /// crash.
    std::size_t lateSends = 0;
    std::size_t sound = 0;
    std::size_t soundRejected = 0;
    /// A VM quarantined the part that all requests of the route share.
    bool wasRouteRejected = false;
};

struct Attempt
{
    std::size_t vm = 0;
    RequestIdentity identity;
    std::uint32_t number = 1;
    TimePoint sentAt{};
    TimePoint writesAt{};
    TimePoint endsAt{};
    bool wasCleared = false;
};

struct Notice
{
    PartNotices content;
    std::size_t from = 0;
    TimePoint firstSentAt{};
    TimePoint sendAt{};
};

class Fleet
{
public:
    Fleet(const Scenario &scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_vms(scenario.vms, PromptPartQuarantine(scenario.options))
        , m_calmSince(scenario.vms, TimePoint{})
        , m_readAt(scenario.vms, TimePoint{})
        , m_upAt(scenario.replicas, TimePoint{})
        , m_running(scenario.replicas)
    {
    }

    Outcome run()
    {
        const TimePoint end = TimePoint{} + kDay;
        for (; m_now < end; m_now += kStep) {
            exchange();
            arrive();
            advanceAttempts();
            disturb();
        }
        return m_outcome;
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    Duration between(int firstMs, int lastMs)
    {
        return milliseconds{std::uniform_int_distribution<int>(firstMs, lastMs)(m_random)};
    }
    bool isCut(std::size_t vm) const
    {
        return m_scenario.hasCutVm && vm == 0 && m_now > TimePoint{} + seconds{3}
        && m_now < TimePoint{} + seconds{20};
    }
    bool isInTouch(std::size_t vm) const { return m_now >= m_calmSince[vm] + kContact; }

    void publish(std::size_t vm, const PartNotices &notices)
    {
        if (notices.empty())
            return;
        m_notices.push_back({notices, vm, m_now, m_now});
        m_storeWrites.push_back({notices, vm, m_now, m_now + kWriteDelay});
    }

    void exchange()
    {
        for (Notice &notice : m_notices) {
            if (m_now < notice.sendAt)
                continue;
            notice.sendAt = m_now + kRepeatInterval;
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                const bool isLost = isCut(vm) || isCut(notice.from) || chance(m_scenario.lossRate);
                if (vm != notice.from && !isLost)
                    m_vms[vm].merge(notice.content, m_now);
            }
        }
        std::erase_if(m_notices, [&](const Notice &notice) {
            return m_now >= notice.firstSentAt + seconds{3};
        });
        std::erase_if(m_storeWrites, [&](const Notice &write) {
            if (m_now < write.sendAt)
                return false;
            m_store.push_back(write.content);
            return true;
        });
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
            readStore(vm);
    }

    void readStore(std::size_t vm)
    {
        if (m_now < m_readAt[vm])
            return;
        m_readAt[vm] = m_now + (m_scenario.hasCutVm ? kReadIntervalWhenCut : kReadInterval);
        for (const PartNotices &row : m_store)
            m_vms[vm].merge(row, m_now);
    }

    void arrive()
    {
        const double stepSeconds = toSeconds(kStep);
        if (chance(m_scenario.soundPerSecond * stepSeconds))
            accept(true);
        const bool hasBegun = m_now > TimePoint{} + seconds{4};
        if (hasBegun && chance(m_scenario.crashingPerSecond * stepSeconds))
            accept(false);
    }

    void accept(bool isSound)
    {
        const PromptPartId document{kFirstDocument + m_random() % m_scenario.documents};
        Attempt attempt;
        attempt.vm = m_random() % m_vms.size();
        attempt.identity.fingerprint = Fingerprint{++m_requests};
        if (isSound)
            attempt.identity.parts = {kRoutePart, document};
        else if (m_scenario.crashesByFirstPart)
            attempt.identity.parts = {kCrashingPart, document};
        else
            attempt.identity.parts = {kRoutePart, kCrashingPart};
        m_outcome.sound += isSound ? 1 : 0;
        send(std::move(attempt));
    }

    static bool crashes(const Attempt &attempt)
    {
        return std::count(attempt.identity.parts.begin(), attempt.identity.parts.end(),
                          kCrashingPart)
            > 0;
    }

    void send(Attempt attempt)
    {
        PromptPartQuarantine &vm = m_vms[attempt.vm];
        if (attempt.number == 1)
            vm.tryBegin(attempt.identity, vm.quarantinedPart(attempt.identity), m_now);
        const PromptPartId blamed = vm.quarantinedPart(attempt.identity);
        m_outcome.wasRouteRejected = m_outcome.wasRouteRejected || blamed == kRoutePart;
        if (blamed.isValid()) {
            m_outcome.soundRejected += crashes(attempt) ? 0 : 1;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t replica = 0; replica < m_upAt.size(); ++replica) {
            if (m_now >= m_upAt[replica])
                up.push_back(replica);
        }
        if (up.empty())
            return;
        const bool isLate = m_fifthCrashAt && m_now > *m_fifthCrashAt + kContact;
        if (crashes(attempt) && isLate && isInTouch(attempt.vm))
            ++m_outcome.lateSends;
        attempt.sentAt = m_now;
        attempt.writesAt = m_now + between(50, 600);
        attempt.endsAt = attempt.writesAt + between(300, 3000);
        m_running[up[m_random() % up.size()]].push_back(std::move(attempt));
    }

    void advanceAttempts()
    {
        for (std::size_t replica = 0; replica < m_running.size(); ++replica) {
            const bool isCrashed =
                std::any_of(m_running[replica].begin(), m_running[replica].end(),
                            [&](const Attempt &a) { return crashes(a) && m_now >= a.writesAt; });
            if (isCrashed) {
                ++m_outcome.crashes;
                if (m_outcome.crashes == kBoundCrashes)
                    m_fifthCrashAt = m_now;
                crash(replica);
                continue;
            }
            for (Attempt &attempt : m_running[replica])
                advance(attempt);
            std::erase_if(m_running[replica],
                          [&](const Attempt &attempt) { return m_now >= attempt.endsAt; });
        }
    }

    void advance(Attempt &attempt)
    {
        const bool keepsWriting = m_now >= attempt.writesAt + milliseconds{500};
        const bool hasEnded = m_now >= attempt.endsAt;
        if (hasEnded || (keepsWriting && !attempt.wasCleared)) {
            attempt.wasCleared = true;
            publish(attempt.vm, m_vms[attempt.vm].onSuccess(attempt.identity.parts, m_now));
        }
    }

    void crash(std::size_t replica)
    {
        m_upAt[replica] = m_now + between(2000, 4000);
        const std::vector<Attempt> lost = std::exchange(m_running[replica], {});
        ++m_crashDigest;
        for (const Attempt &attempt : lost) {
            PromptPartQuarantine &vm = m_vms[attempt.vm];
            if (attempt.wasCleared)
                continue;
            publish(attempt.vm,
                    vm.onCrash(m_crashDigest, attempt.identity.fingerprint,
                               vm.exposuresOf(attempt.identity.parts, attempt.sentAt, m_now),
                               m_now));
        }
        for (Attempt attempt : lost) {
            const bool mayRetry =
                attempt.number < (crashes(attempt) ? kMaxAttempts : kMaxSoundAttempts);
            ++attempt.number;
            attempt.wasCleared = false;
            if (mayRetry)
                send(std::move(attempt));
        }
    }

    void disturb()
    {
        const auto atMs = [&](int ms) {
            return m_now >= TimePoint{} + milliseconds{ms}
            && m_now < TimePoint{} + milliseconds{ms} + kStep;
        };
        const bool isInSeries =
            m_now > TimePoint{} + seconds{3} && m_now < TimePoint{} + seconds{25};
        if (m_scenario.hasCrashSeries && isInSeries
            && chance(kCrashesPerSecondInSeries * toSeconds(kStep)))
            crash(m_random() % m_running.size());
        for (int beginsAtMs : {2000, 6000, 9000, 9400}) {
            for (std::size_t replica = 0; replica < m_running.size(); ++replica) {
                const int delayMs = m_scenario.massCrashStaggerMs * static_cast<int>(replica);
                if (m_scenario.hasMassCrash && atMs(beginsAtMs + delayMs))
                    crash(replica);
            }
        }
        if (m_scenario.hasVmRestarts && (atMs(5500) || atMs(12000)))
            restart(m_random() % m_vms.size());
        if (m_scenario.hasVmRestarts && atMs(8000)) {
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
                restart(vm);
        }
        if (isCut(0))
            m_calmSince[0] = m_now;
    }

    /// The VM has what the store has.
    void restart(std::size_t vm)
    {
        m_vms[vm] = PromptPartQuarantine(m_scenario.options);
        m_calmSince[vm] = m_now;
        m_readAt[vm] = m_now;
        for (std::vector<Attempt> &running : m_running)
            std::erase_if(running, [&](const Attempt &attempt) { return attempt.vm == vm; });
    }

    Scenario m_scenario;
    std::mt19937_64 m_random;
    TimePoint m_now{};
    std::vector<PromptPartQuarantine> m_vms;
    std::vector<TimePoint> m_calmSince;
    std::vector<TimePoint> m_readAt;
    std::vector<TimePoint> m_upAt;
    std::vector<std::vector<Attempt>> m_running;
    std::vector<Notice> m_notices;
    std::vector<Notice> m_storeWrites;
    std::vector<PartNotices> m_store;
    std::uint64_t m_requests = 0;
    std::uint64_t m_crashDigest = 0;
    std::optional<TimePoint> m_fifthCrashAt;
    Outcome m_outcome;
};

/// Most harmless requests that may be rejected.
constexpr double kMaxRejectedShare = 0.01;
constexpr unsigned kSeeds = 20;

std::string faultOf(const Scenario &scenario, unsigned seed)
{
    const Outcome outcome = Fleet(scenario, seed).run();
    const std::string figures = " seed " + std::to_string(seed) + " crashes "
        + std::to_string(outcome.crashes) + " late sends " + std::to_string(outcome.lateSends)
        + " sound " + std::to_string(outcome.sound) + " rejected "
        + std::to_string(outcome.soundRejected);
    if (outcome.lateSends > kBoundSends)
        return "sends after the fifth crash:" + figures;
    if (outcome.wasRouteRejected)
        return "the route was rejected:" + figures;
    if (static_cast<double>(outcome.soundRejected)
        > kMaxRejectedShare * static_cast<double>(outcome.sound))
        return "harmless requests were rejected:" + figures;
    return {};
}

void checkAllSeeds(const Scenario &scenario)
{
    for (unsigned seed = 1; seed <= kSeeds; ++seed)
        STRCMP_EQUAL("", faultOf(scenario, seed).c_str());
}

} // namespace

TEST_GROUP(AFleetOfGateways){};

// Guards against requests that went on to crash replicas as no two of them were alike.
TEST(AFleetOfGateways, stopsSendingAPartThatCrashesReplicas)
{
    checkAllSeeds({});
}

TEST(AFleetOfGateways, wouldGoOnSendingItWithoutTheQuarantine)
{
    Scenario scenario;
    scenario.options.minLevels = 1'000'000;
    scenario.options.minLevelsOfSharedPart = 1'000'000;
    for (unsigned seed = 1; seed <= kSeeds; ++seed)
        STRCMP_CONTAINS("sends after the fifth crash", faultOf(scenario, seed).c_str());
}

TEST(AFleetOfGateways, stopsSendingAPartAtAHighRate)
{
    Scenario scenario;
    scenario.crashingPerSecond = 5;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAPartAtALowRate)
{
    Scenario scenario;
    scenario.crashingPerSecond = 0.3;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAFirstPart)
{
    Scenario scenario;
    scenario.crashesByFirstPart = true;
    checkAllSeeds(scenario);
    scenario.crashingPerSecond = 5;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, ofManyVmsStopsSendingAPart)
{
    Scenario scenario;
    scenario.vms = 35;
    scenario.replicas = 60;
    scenario.soundPerSecond = 150;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAPartThoughHalfOfTheNoticesAreLost)
{
    Scenario scenario;
    scenario.lossRate = 0.5;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAPartBesideCrashesOfOtherCauses)
{
    Scenario scenario;
    scenario.hasCrashSeries = true;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAPartThoughVmsRestart)
{
    Scenario scenario;
    scenario.hasVmRestarts = true;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAPartThoughAVmIsCutOff)
{
    Scenario scenario;
    scenario.hasCutVm = true;
    checkAllSeeds(scenario);
}

// Guards against a route whose requests are all rejected after crashes of other causes.
TEST(AFleetOfGateways, rejectsNoHarmlessRequestsAfterASeriesOfCrashes)
{
    Scenario scenario;
    scenario.crashingPerSecond = 0;
    scenario.hasCrashSeries = true;
    checkAllSeeds(scenario);
    scenario.vms = 35;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, rejectsNoHarmlessRequestsAfterAllReplicasCrashedAtOnce)
{
    Scenario scenario;
    scenario.crashingPerSecond = 0;
    scenario.hasMassCrash = true;
    checkAllSeeds(scenario);
    scenario.hasVmRestarts = true;
    checkAllSeeds(scenario);
}

// Guards against retries that are in flight on each replica as one crashes shortly after the other.
TEST(AFleetOfGateways, rejectsNoHarmlessRequestsAfterAllReplicasCrashedShortlyAfterEachOther)
{
    Scenario scenario;
    scenario.crashingPerSecond = 0;
    scenario.hasMassCrash = true;
    for (int staggerMs : {5, 10, 25, 50, 100}) {
        scenario.massCrashStaggerMs = staggerMs;
        checkAllSeeds(scenario);
    }
}

TEST(AFleetOfGateways, rejectsNoHarmlessRequestsAfterCrashesOfManyKinds)
{
    Scenario scenario;
    scenario.crashingPerSecond = 0;
    scenario.hasCrashSeries = true;
    scenario.hasMassCrash = true;
    scenario.hasVmRestarts = true;
    checkAllSeeds(scenario);
    scenario.vms = 35;
    checkAllSeeds(scenario);
}

TEST(AFleetOfGateways, stopsSendingAPartThroughAllKindsOfTrouble)
{
    Scenario scenario;
    scenario.hasCrashSeries = true;
    scenario.hasMassCrash = true;
    scenario.hasVmRestarts = true;
    scenario.hasCutVm = true;
    scenario.lossRate = 0.2;
    checkAllSeeds(scenario);
}
