// Searches every order in which two VMs can learn that a replica drains, departs and starts again
// under the same id.
#include "../allorders.h"
#include "arbutuspier/upstreamdirectory.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace arbutuspier;

namespace {

constexpr std::size_t kDepth = 10;
/// Number of steps within which the search finds a fault if departures are not remembered.
constexpr std::size_t kFaultDepth = 7;
constexpr const char *kId = "i-1";

struct Move
{
    enum Kind {
        Drain,
        Remove,
        Restart,
        Poll,
        PollResponse,
        LosePollResponse,
        DeliverDatagram,
        LoseDatagram,
        Snapshot,
        Wait
    } kind;
    int vm;
};

/// The replica's row in the metadata store.
struct StoredRow
{
    std::uint64_t revision = 1;
    std::optional<ReplicaEntry> entry;
};

struct Vm
{
    explicit Vm(const DirectoryOptions &options)
        : directory(options)
    {
    }

    UpstreamDirectory directory;
    std::uint64_t revision = 0;
    bool hasList = false;
    bool needsFullList = true;
    /// The response to a poll that is in flight.
    std::optional<StoredRow> pollResponse;
    std::uint64_t polledSince = 0;
    bool pollsFullList = true;
    /// Departures in flight to the other VM.
    std::vector<Departure> datagrams;
    /// Incarnations that this VM has learned are draining.
    std::set<ReplicaIncarnation> drained;
    int pollCount = 0;
};

/// The state of the replica and of two VMs after a list of moves. `kRemembers`: VMs remember which
/// incarnations have departed.
template <bool kRemembers>
class Replay
{
public:
    explicit Replay(const std::vector<Move> &moves)
    {
        m_row.entry = entryOfIncarnation(1);
        for (const Move &move : moves)
            applyMove(move);
    }

    std::vector<Move> possibleMoves() const
    {
        std::vector<Move> moves;
        const bool isReady = m_row.entry && m_row.entry->state == ReplicaState::Ready;
        if (isReady)
            moves.push_back({Move::Drain, 0});
        if (m_row.entry)
            moves.push_back({Move::Remove, 0});
        if (m_restarts < 2)
            moves.push_back({Move::Restart, 0});
        if (m_waitCount < 2)
            moves.push_back({Move::Wait, 0});
        for (int vm = 0; vm < 2; ++vm) {
            if (m_vms[vm].pollResponse) {
                moves.push_back({Move::PollResponse, vm});
                moves.push_back({Move::LosePollResponse, vm});
            } else if (m_vms[vm].pollCount < 3) {
                moves.push_back({Move::Poll, vm});
            }
            if (!m_vms[vm].datagrams.empty()) {
                moves.push_back({Move::DeliverDatagram, vm});
                moves.push_back({Move::LoseDatagram, vm});
            }
            const bool needsSnapshot = !m_vms[vm].hasList && !m_vms[vm].directory.isReachable();
            if (needsSnapshot && m_vms[1 - vm].hasList)
                moves.push_back({Move::Snapshot, vm});
        }
        return moves;
    }

    /// Returns a description of the fault in this state; empty if there is none.
    std::string fault() const
    {
        for (const Vm &vm : m_vms) {
            for (const ReplicaIncarnation &drained : vm.drained) {
                if (vm.directory.isUsable(drained))
                    return "an incarnation that was known to drain is usable again";
            }
            if (usableAfterConvergence(vm) != usableInStore())
                return "a VM that polls the list doesn't converge to it";
        }
        return "";
    }

    std::string state() const
    {
        std::string text = std::to_string(m_row.revision) + describe(m_row.entry)
            + std::to_string(m_restarts) + std::to_string(m_waitCount);
        for (const Vm &vm : m_vms) {
            text += '|' + std::to_string(vm.revision) + (vm.hasList ? 'l' : '-')
                + (vm.needsFullList ? 'w' : '-') + (vm.directory.isReachable() ? 'r' : '-')
                + std::to_string(vm.pollCount);
            text += 'k' + (vm.directory.find(kId) ? describe(*vm.directory.find(kId)) : "none");
            for (const Departure &left : vm.directory.departures())
                text += 'd' + describe(left);
            if (vm.pollResponse)
                text += 'a' + std::to_string(vm.polledSince)
                    + std::to_string(vm.pollResponse->revision) + describe(vm.pollResponse->entry);
            for (const Departure &datagram : vm.datagrams)
                text += 'h' + describe(datagram);
            for (const ReplicaIncarnation &drained : vm.drained)
                text += 'x' + std::to_string(drained.startedAtMs);
            text += 'g' + std::to_string(m_graceRemains[&vm - m_vms]);
        }
        return text;
    }

private:
    static ReplicaEntry entryOfIncarnation(std::int64_t startedAtMs)
    {
        return {kId, "assist", "10.0.0.1:80", "yard", 16, ReplicaState::Ready, startedAtMs};
    }
    static std::string describe(const std::optional<ReplicaEntry> &entry)
    {
        if (!entry)
            return "none";
        return std::to_string(entry->startedAtMs)
            + (entry->state == ReplicaState::Draining ? "draining" : "ready");
    }
    static std::string describe(const Departure &left)
    {
        return std::to_string(left.incarnation.startedAtMs)
            + (left.wasDraining ? "draining" : "gone");
    }
    static std::int64_t usableIncarnation(const UpstreamDirectory &directory)
    {
        const auto usable = directory.usable("assist");
        return usable.empty() ? 0 : usable.front()->startedAtMs;
    }

    std::int64_t usableInStore() const
    {
        const bool isReady = m_row.entry && m_row.entry->state == ReplicaState::Ready;
        return isReady ? m_row.entry->startedAtMs : 0;
    }
    /// The incarnation that the VM uses after it has polled the whole list, waited for the grace
    /// period and polled again; zero if none.
    std::int64_t usableAfterConvergence(const Vm &vm) const
    {
        UpstreamDirectory directory = vm.directory;
        TimePoint now = m_now;
        for (int read = 0; read < 2; ++read) {
            directory.setReachable(now);
            directory.replaceAll({{kId, m_row.entry}}, now);
            now += std::chrono::seconds{2};
            directory.tick(now);
        }
        return usableIncarnation(directory);
    }

    void applyMove(const Move &move)
    {
        Vm &vm = m_vms[move.vm];
        switch (move.kind) {
        case Move::Drain:
            m_row.entry->state = ReplicaState::Draining;
            ++m_row.revision;
            return;
        case Move::Remove:
            m_row.entry.reset();
            ++m_row.revision;
            return;
        case Move::Restart:
            m_row.entry = entryOfIncarnation(2 + m_restarts++);
            ++m_row.revision;
            return;
        case Move::Poll:
            ++vm.pollCount;
            vm.pollResponse = m_row;
            vm.polledSince = vm.revision;
            vm.pollsFullList = vm.needsFullList;
            return;
        case Move::PollResponse:
            applyPollResponse(move.vm);
            return;
        case Move::LosePollResponse:
            vm.pollResponse.reset();
            vm.directory.setUnreachable();
            vm.needsFullList = true;
            return;
        case Move::DeliverDatagram:
            m_vms[1 - move.vm].directory.applyDeparture(vm.datagrams.front());
            m_vms[1 - move.vm].directory.takeNewDepartures();
            if (vm.datagrams.front().wasDraining)
                m_vms[1 - move.vm].drained.insert(vm.datagrams.front().incarnation);
            vm.datagrams.erase(vm.datagrams.begin());
            return;
        case Move::LoseDatagram:
            vm.datagrams.erase(vm.datagrams.begin());
            return;
        case Move::Snapshot:
            applySnapshot(vm, m_vms[1 - move.vm]);
            return;
        case Move::Wait:
            ++m_waitCount;
            m_now += std::chrono::seconds{2};
            for (int other = 0; other < 2; ++other) {
                m_graceRemains[other] = 0;
                m_vms[other].directory.tick(m_now);
                collect(m_vms[other]);
            }
            return;
        }
    }

    void applyPollResponse(int index)
    {
        Vm &vm = m_vms[index];
        const StoredRow pollResponse = *std::exchange(vm.pollResponse, std::nullopt);
        if (!vm.directory.isReachable())
            m_graceRemains[index] = 1;
        vm.directory.setReachable(m_now);
        const bool isChanged = pollResponse.revision > vm.polledSince;
        if (vm.pollsFullList)
            vm.directory.replaceAll({{kId, pollResponse.entry}}, m_now);
        else if (isChanged)
            vm.directory.applyChanges({{kId, pollResponse.entry}}, m_now);
        vm.revision = pollResponse.revision;
        vm.hasList = true;
        vm.needsFullList = false;
        if (pollResponse.entry && pollResponse.entry->state == ReplicaState::Draining)
            vm.drained.insert(pollResponse.entry->incarnation());
        collect(vm);
    }

    void applySnapshot(Vm &vm, const Vm &from)
    {
        std::vector<ReplicaRow> rows;
        for (const ReplicaEntry &entry : from.directory.entries())
            rows.push_back({entry.id, entry});
        vm.directory.replaceAll(rows, m_now);
        for (const Departure &left : from.directory.departures()) {
            vm.directory.applyDeparture(left);
            if (left.wasDraining)
                vm.drained.insert(left.incarnation);
        }
        vm.directory.takeNewDepartures();
        vm.hasList = true;
    }

    void collect(Vm &vm)
    {
        for (Departure &left : vm.directory.takeNewDepartures())
            vm.datagrams.push_back(std::move(left));
    }

    static DirectoryOptions options()
    {
        DirectoryOptions options;
        if (!kRemembers)
            options.maxDepartures = 0;
        return options;
    }

    StoredRow m_row;
    Vm m_vms[2] = {Vm(options()), Vm(options())};
    int m_restarts = 0;
    int m_waitCount = 0;
    /// For each VM, 1 while its grace period for missing entries lasts, else 0.
    int m_graceRemains[2] = {};
    TimePoint m_now = TimePoint{std::chrono::seconds{100}};
};

} // namespace

TEST_GROUP(DirectoriesOfTwoVms){};

TEST(DirectoriesOfTwoVms, neverUseADrainedIncarnationAndConvergeToTheStore)
{
    const auto result = searchAllOrders<Replay<true>, Move>(kDepth);
    printSearch("directories", result, kDepth);
    STRCMP_EQUAL("", result.fault.c_str());
    CHECK(result.states > 100);
}

TEST(DirectoriesOfTwoVms, reuseADrainedIncarnationIfDeparturesAreNotRemembered)
{
    const auto result = searchAllOrders<Replay<false>, Move>(kFaultDepth);
    STRCMP_EQUAL("an incarnation that was known to drain is usable again", result.fault.c_str());
}
