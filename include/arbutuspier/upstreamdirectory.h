// The replicas that may be used, by id and incarnation, as the platform's list and the other VMs
// report them.
//
// Draining is permanent: an incarnation that was seen draining never counts as ready again,
// whatever a list says. An entry with a lower start time than the known one is ignored until the
// known incarnation has departed. A missing entry means that the incarnation has departed, until a
// newer list shows it again. There are two exceptions: while the list can't be read, entries stay
// as they are, and an entry that is missing right after such an outage may only have expired during
// it and stays usable until `missingEntryGrace` has passed. During an outage shorter than
// `shortestLapse` no entry expires.
#pragma once

#include "arbutuspier/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace arbutuspier {

enum class ReplicaState : std::uint8_t { Ready, Draining };

/// One incarnation of a replica.
struct ReplicaIncarnation
{
    std::string id;
    std::int64_t startedAtMs = 0;

    friend auto operator<=>(const ReplicaIncarnation &, const ReplicaIncarnation &) = default;
};

/// The entry with which a replica registers in the platform's list.
struct ReplicaEntry
{
    std::string id;
    std::string service;
    /// IP address and port, as "IP:PORT".
    std::string address;
    std::string zone;
    /// Maximum number of requests that the replica runs at once.
    std::uint32_t slots = 0;
    ReplicaState state = ReplicaState::Ready;
    /// Start of this incarnation in milliseconds since 1970; differs after a restart under the same
    /// id.
    std::int64_t startedAtMs = 0;
    /// How long the replica stays cold, as of the read; zero if it isn't cold.
    Duration coldLeft{};

    ReplicaIncarnation incarnation() const { return {id, startedAtMs}; }

    /// Whether the entries say the same. They do if only time has passed, so that `coldLeft`
    /// doesn't count.
    friend bool operator==(const ReplicaEntry &a, const ReplicaEntry &b)
    {
        const auto fields = [](const ReplicaEntry &entry) {
            return std::tie(entry.id, entry.service, entry.address, entry.zone, entry.slots,
                            entry.state, entry.startedAtMs);
        };
        return fields(a) == fields(b);
    }
};

/// One row of the list. `entry` is not set if the replica has departed or its row can't be parsed.
struct ReplicaRow
{
    std::string id;
    std::optional<ReplicaEntry> entry;
};

/// An incarnation that departed, as VMs report it to each other.
struct Departure
{
    ReplicaIncarnation incarnation;
    /// True if the replica was seen draining, false if only its entry is missing.
    bool wasDraining = false;
};

struct DirectoryOptions
{
    /// Time after an outage of the list during which a missing entry stays usable, because the
    /// replica may register again.
    Duration missingEntryGrace = std::chrono::milliseconds{1900};
    /// Shortest time without a successful poll in which an entry may have expired. An entry expires
    /// after several heartbeats of silence, and the last one may precede the last poll.
    Duration shortestLapse = std::chrono::seconds{2};
    /// Maximum number of departed incarnations to remember; the oldest is forgotten first.
    std::size_t maxDepartures = 4096;
};

class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryOptions options)
        : m_options(options)
    {
    }

    enum class ListAge : std::uint8_t {
        Current,
        /// The list was restored from a copy and may be some seconds old.
        Restored,
    };

    /// Applies a complete list; entries that are not in `rows` count as missing. A restored list
    /// doesn't bring an incarnation back that has departed.
    void replaceAll(const std::vector<ReplicaRow> &rows, TimePoint now,
                    ListAge age = ListAge::Current);
    /// Applies the rows that changed since the last poll.
    void applyChanges(const std::vector<ReplicaRow> &rows, TimePoint now);
    /// Records that a poll of the list failed.
    void setUnreachable();
    /// Records that a poll succeeded. After an outage in which entries may have expired, this
    /// starts the grace period of missing entries.
    void setReachable(TimePoint now);
    /// Records that another VM has read the list for this one. `graceLeft` is what is left of that
    /// VM's grace period. It holds here only if no read has reached this VM for `shortestLapse`
    /// either: otherwise this VM knows that the list was sound all the while.
    void onReadByPeer(TimePoint now, Duration graceLeft);
    /// Time until missing entries are removed; zero if none waits.
    Duration graceLeft(TimePoint now) const { return std::max(Duration{}, m_graceEnd - now); }
    /// Whether applying the row would change something.
    bool isNews(const ReplicaRow &row) const;
    /// Starts the grace period, as the list may lack entries that will be written again.
    void startGracePeriod(TimePoint now) { m_graceEnd = now + m_options.missingEntryGrace; }
    /// Records a departure that a peer or the replica itself reported. Returns true if it wasn't
    /// known yet.
    bool applyDeparture(const Departure &departure);
    /// Removes missing entries once the grace period is over.
    void tick(TimePoint now);

    /// Replicas of these zones may get no new requests from now on. Their entries are still
    /// tracked, and what runs there may end.
    void setEvacuatedZones(std::set<std::string> zones);
    bool isEvacuated(const ReplicaEntry &entry) const
    {
        return m_evacuatedZones.contains(entry.zone);
    }
    /// Whether the service has no usable replica and would have one if no zone were evacuated.
    bool areAllEvacuated(std::string_view service) const;
    /// Entries of one service whose replicas may get new requests.
    std::vector<const ReplicaEntry *> usable(std::string_view service) const;
    /// Services with replicas that may get new requests.
    std::set<std::string> services() const;
    const ReplicaEntry *find(std::string_view id) const;
    bool isUsable(const ReplicaIncarnation &incarnation) const;
    /// As isUsable(), but true in an evacuated zone too, where requests may still run.
    bool isServing(const ReplicaIncarnation &incarnation) const;
    /// True if the incarnation is missing from the list and wasn't seen draining, or if a later
    /// incarnation has its id.
    bool wasRemovedOrReplaced(const ReplicaIncarnation &incarnation) const;
    /// Entries of all services whose incarnation hasn't departed.
    std::vector<ReplicaEntry> entries() const;
    /// All departed incarnations that are remembered.
    std::vector<Departure> departures() const;
    /// Returns the incarnations that departed since the last call, to be reported to peers.
    std::vector<Departure> takeNewDepartures();
    std::size_t size() const { return m_entries.size(); }
    bool isReachable() const { return m_isReachable; }
    /// Grows whenever the set of usable replicas may have changed.
    std::uint64_t revision() const { return m_revision; }

private:
    struct DepartureRecord
    {
        bool wasDraining = false;
        /// Position in the order of departures; the lowest is forgotten first.
        std::uint64_t order = 0;
    };
    struct TrackedEntry
    {
        ReplicaEntry entry;
        /// Set when the list lacks the entry during an outage or the grace period after it. The
        /// entry stays usable until the grace period ends.
        std::optional<TimePoint> missingSince;
    };

    /// Whether an entry may have expired since the last read before `now`.
    bool mayHaveExpired(TimePoint now) const;
    void updateEntry(const ReplicaEntry &entry);
    void onEntryMissing(const std::string &id, TimePoint now);
    void recordDeparture(const Departure &departure);
    void removeOldestDeparture();
    /// Whether the replica serves, be its zone evacuated or not.
    bool isServing(const ReplicaEntry &entry) const;
    bool isUsable(const ReplicaEntry &entry) const;
    bool hasDeparted(const ReplicaIncarnation &incarnation) const
    {
        return m_departed.count(incarnation) != 0;
    }

    DirectoryOptions m_options;
    std::map<std::string, TrackedEntry, std::less<>> m_entries;
    std::map<ReplicaIncarnation, DepartureRecord> m_departed;
    std::set<std::string> m_evacuatedZones;
    std::vector<Departure> m_newDepartures;
    std::uint64_t m_departureCount = 0;
    std::uint64_t m_revision = 0;
    bool m_isReachable = true;
    /// Time of the last successful poll, of this VM or of a peer; empty before the first.
    std::optional<TimePoint> m_lastReachableAt;
    /// End of the grace period in which missing entries stay usable.
    TimePoint m_graceEnd{};
};

} // namespace arbutuspier
