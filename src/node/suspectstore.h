// Stores the crashes of suspect fingerprints in the table service, for VMs that peer messages don't
// reach.
//
// A suspect's isolated retry waits until its row was read, after a delay that lets other VMs write
// theirs. If the table is unreachable, only the peers' notices count, so that prompts are still
// served.
#pragma once

#include "node/nodecontext.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace arbutuspier {

class SuspectStore
{
public:
    SuspectStore(NodeContext &context, TableOpId firstOp)
        : m_context(context)
        , m_nextOp(firstOp)
    {
    }

    /// The crashes recorded for the fingerprint changed on this VM: writes its row.
    void markChanged(Fingerprint fingerprint);
    /// Returns true once a read of the row that began at `since` or later has succeeded or failed.
    /// Starts one if necessary.
    bool isRowReadSince(Fingerprint fingerprint, TimePoint since);
    /// Returns true if the crashes of the fingerprint are fully known: every VM sent a message
    /// since `suspectSince` or had time to write to the table, and no recent crash may still turn
    /// out to belong to it. A crash that a lost VM may have caused with this fingerprint is counted
    /// against it, and `takeChanged` then returns the fingerprint.
    bool areCrashesKnown(Fingerprint fingerprint, TimePoint suspectSince);
    /// Returns true if the operation was started by this store.
    bool onTableReply(TableOpId op, const TableOutcome &outcome);
    /// Fingerprints whose quarantine state changed by table rows or unattributed crashes since the
    /// last call.
    std::vector<Fingerprint> takeChanged() { return std::exchange(m_changed, {}); }
    /// Loads all rows at the start, and again while a VM is unresponsive; retries failed writes.
    void tick();

private:
    struct Row
    {
        RowVersion version = 0;
        bool isDirty = false;
        std::optional<TableOpId> op;
        bool isReading = false;
        TimePoint readStartedAt;
        std::optional<TimePoint> readAt;
        TimePoint retryAt;
    };

    /// Returns false if the cause of a recent crash is still open or was attributed by this call.
    bool countUnattributedCrashes(Fingerprint fingerprint);
    void countCrash(Fingerprint fingerprint, const UpstreamCrash &crash);
    bool hasUnresponsiveVm() const;
    void writeRow(Fingerprint fingerprint, Row &row);
    void readRow(Fingerprint fingerprint, Row &row);
    void mergeRow(Fingerprint fingerprint, Row &row, const TableRow &storedRow);
    void onRowsLoaded(const TableRows &rows);
    TableOpId sendTableCall(TableRequest request);

    NodeContext &m_context;
    TableOpId m_nextOp;
    std::map<Fingerprint, Row> m_rows;
    std::map<TableOpId, Fingerprint> m_byOp;
    std::optional<TableOpId> m_loadOp;
    std::vector<Fingerprint> m_changed;
    TimePoint m_nextLoad;
    bool m_isLoaded = false;
};

} // namespace arbutuspier
