// The replicas that may be used, by id and by life, as the platform's list and peers tell.
//
// Draining is sticky: a life that was seen to drain never counts as ready again, whatever a list
// says. A life whose entry is gone counts as left until a newer list shows it again. While the list
// can't be read, entries stay as they were. Entries that are missing right after an outage of the
// list may only have lapsed in it; they stay usable for a short time.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

enum class ReplicaState : std::uint8_t { Ready, Draining };

/// One life of a replica.
struct ReplicaIncarnation
{
    std::string id;
    std::int64_t startedAtMs = 0;

    friend auto operator<=>(const ReplicaIncarnation &, const ReplicaIncarnation &) = default;
};

/// What a replica says of itself in the platform's list.
struct ReplicaEntry
{
    std::string id;
    std::string service;
    /// IP number and port, as "IP:PORT".
    std::string address;
    std::string zone;
    std::uint32_t slots = 0;
    ReplicaState state = ReplicaState::Ready;
    /// Start of this life, milliseconds since 1970; a restart under the same id has another.
    std::int64_t startedAtMs = 0;

    ReplicaIncarnation incarnation() const { return {id, startedAtMs}; }
};

/// One row of the list. Without an entry the replica has left, or its row can't be read.
struct ReplicaRow
{
    std::string id;
    std::optional<ReplicaEntry> entry;
};

/// A life that left, as VMs tell each other.
struct Departure
{
    ReplicaIncarnation incarnation;
    /// The replica was seen draining; otherwise only its entry is gone.
    bool isDraining = false;
};

struct DirectoryOptions
{
    /// Time after an outage of the list in which a missing entry may still come back.
    Duration missingEntryGrace = std::chrono::milliseconds{1900};
    /// Lives seen leaving that are remembered.
    std::size_t maxDepartures = 4096;
};

class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryOptions options)
        : m_options(options)
    {
    }

    /// The whole list as of one moment.
    void replaceAll(const std::vector<ReplicaRow> &rows, TimePoint now);
    /// What changed since the last read.
    void apply(const std::vector<ReplicaRow> &rows, TimePoint now);
    /// A read of the list failed.
    void setUnreachable();
    /// A read succeeded again; missing entries get the grace from here.
    void setReachable(TimePoint now);
    /// A peer, or the replica itself, says that this life is leaving. True if that is new.
    bool markLeaving(const Departure &departure);
    /// Drops entries whose grace is over.
    void tick(TimePoint now);

    /// Entries that may get new work.
    std::vector<const ReplicaEntry *> usable(std::string_view service) const;
    const ReplicaEntry *find(std::string_view id) const;
    bool isUsable(const ReplicaIncarnation &incarnation) const;
    /// True if the life left the list without draining, or another one took its id.
    bool hasVanished(const ReplicaIncarnation &incarnation) const;
    /// Every entry that isn't known to have left.
    std::vector<ReplicaEntry> entries() const;
    /// Every life that is remembered to have left.
    std::vector<Departure> departures() const;
    /// Lives that left since the last call, for peers.
    std::vector<Departure> takeNewDepartures();
    std::size_t size() const { return m_entries.size(); }
    bool isReachable() const { return m_isReachable; }
    /// Grows with each change of what may be used.
    std::uint64_t revision() const { return m_revision; }

private:
    struct Left
    {
        bool isDraining = false;
        /// Order in which lives were seen to leave.
        std::uint64_t order = 0;
    };
    struct Slot
    {
        ReplicaEntry entry;
        /// Set while the entry is missing from the list after an outage.
        std::optional<TimePoint> goneAt;
    };

    void put(const ReplicaEntry &entry);
    void drop(const std::string &id, TimePoint now);
    void recordLeft(const Departure &departure);
    void forgetOldest();
    bool hasLeft(const ReplicaIncarnation &incarnation) const
    {
        return m_left.count(incarnation) != 0;
    }

    DirectoryOptions m_options;
    std::map<std::string, Slot, std::less<>> m_entries;
    std::map<ReplicaIncarnation, Left> m_left;
    std::vector<Departure> m_newlyLeft;
    std::uint64_t m_leftCount = 0;
    std::uint64_t m_revision = 0;
    bool m_isReachable = true;
    /// End of the time in which missing entries may come back.
    TimePoint m_graceEnd{};
};

} // namespace arbutuspier
