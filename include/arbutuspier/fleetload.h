// What runs on each replica, as this VM and its peers know it.
//
// Every VM tells the others what it dispatches, so that the load of a replica is known within a
// message's time instead of a report's lag. Work of a VM that falls silent is dropped as a whole.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

/// What one replica does for one request.
struct ActiveRequestPart
{
    std::string replica;
    /// Time that the replica needs to read its part of the prompt, on its own.
    double prefillMs = 0;
    /// Context of a token step while the answer is written.
    std::uint64_t contextTokens = 0;
    /// Memory taken while the request runs.
    std::uint64_t memoryTokens = 0;
    /// The replica also writes the answer; it then takes a slot there.
    bool isPrimary = false;
};

struct ActiveRequest
{
    /// Unique among the work of one VM's life.
    std::uint64_t id = 0;
    /// Longest pause between events that is on time; zero if there are no events.
    Duration eventGapObjective{};
    /// What its answer is worth, in short answers.
    double weight = 1;
    bool isDecoding = false;
    std::vector<ActiveRequestPart> parts;
};

/// A prompt, or a part of one, that a replica has not read to its end yet.
struct PendingPrefill
{
    TimePoint sentAt{};
    double prefillMs = 0;
};

/// An answer that a replica writes, or will once it has read the prompt.
struct PlannedDecode
{
    Duration eventGapObjective{};
    double weight = 1;
};

/// The sum of what is known to run on one replica.
struct ReplicaLoad
{
    /// Requests that take a slot.
    std::uint32_t running = 0;
    /// Requests that write their answer.
    std::uint32_t decodingRequests = 0;
    /// Prompts that are read in part for other replicas.
    std::uint32_t helperPrefills = 0;
    std::uint64_t contextTokens = 0;
    std::uint64_t memoryTokens = 0;
    /// In the order in which they were sent.
    std::vector<PendingPrefill> reads;
    /// Invariant: as many as `running`.
    std::vector<PlannedDecode> answers;

    /// Weight of the answers that a pause of this length is likely to make late. A pause near an
    /// objective counts in part, as it may turn out longer.
    double weightDelayedBy(Duration pause) const;
};

class FleetLoad
{
public:
    void begin(std::string_view vm, ActiveRequest work, TimePoint now);
    /// The prompt is read; the answer is being written.
    void beginDecode(std::string_view vm, std::uint64_t work, TimePoint now);
    void end(std::string_view vm, std::uint64_t work);
    /// Everything that a VM runs at present.
    void replace(std::string_view vm, std::vector<ActiveRequest> works, TimePoint now);
    void dropVm(std::string_view vm, TimePoint now);

    const ReplicaLoad &of(std::string_view replica) const;
    std::vector<ActiveRequest> activeRequestsOf(std::string_view vm) const;

private:
    using ActiveRequests = std::map<std::uint64_t, ActiveRequest>;
    using Loads = std::map<std::string, ReplicaLoad, std::less<>>;

    void addPart(const ActiveRequest &work, const ActiveRequestPart &part, TimePoint now);
    void removePart(const ActiveRequest &work, const ActiveRequestPart &part);
    void startWriting(ActiveRequest &work, TimePoint now);
    void finish(const ActiveRequest &work);

    std::map<std::string, ActiveRequests, std::less<>> m_works;
    /// Invariant: the sum over m_works.
    Loads m_loads;
};

} // namespace arbutuspier
