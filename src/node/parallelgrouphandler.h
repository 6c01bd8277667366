// Sequence-parallel groups for prompts that exceed one engine, with all-or-nothing reservations.
//
// The group is recorded in the table service before the first reservation, so that its memory can
// be released even if every VM is replaced. If one member can't be reserved, all are released and
// the request waits a jittered time without reservations, so that groups can't deadlock.
#pragma once

#include "node/nodecontext.h"
#include "node/requeststore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutuspier {

class Dispatcher;

class ParallelGroupHandler
{
public:
    ParallelGroupHandler(NodeContext &context, RequestStore &store, Dispatcher &dispatcher,
                         TableOpId firstOp);

    /// Starts the reservation if its backoff is over and enough engines seem to have free memory.
    /// Returns true if it did; the request must then leave its queue.
    bool tryStart(Request &request);
    void onReserveReply(const ReserveReply &reply);
    /// Returns true if the operation was started by this handler.
    bool onTableReply(TableOpId op, const TableOutcome &outcome);
    /// Releases the reservations on all members.
    void releaseMembers(Request &request);
    /// Erases the rows of groups that ended and scans for groups whose VM was replaced or removed.
    void tick();

private:
    struct FormingGroup
    {
        std::string rowKey;
        std::vector<ReservationId> pendingReservations;
        std::size_t refusedCount = 0;
        bool isRecorded = false;
    };
    struct Backoff
    {
        TimePoint retryAt;
        Duration delay{};
    };

    void writeRow(const Request &request, FormingGroup &forming);
    void reserveAll(Request &request);
    void openOrBackOff(Request &request);
    void backOff(const Request &request);
    void eraseRow(const std::string &rowKey);
    void releaseOrphans(const TableRows &rows);
    TableOpId sendTableCall(TableRequest request);

    NodeContext &m_context;
    RequestStore &m_store;
    Dispatcher &m_dispatcher;
    TableOpId m_nextOp;
    std::map<RequestId, FormingGroup> m_forming;
    std::map<RequestId, Backoff> m_backoffs;
    std::map<ReservationId, RequestId> m_byReservation;
    std::map<TableOpId, RequestId> m_recordOps;
    /// Keys of the rows written by this VM, by request.
    std::map<RequestId, std::string> m_rows;
    std::map<TableOpId, std::string> m_eraseOps;
    std::map<std::string, TimePoint> m_rowsToErase;
    std::optional<TableOpId> m_scanOp;
    std::optional<TimePoint> m_nextScan;
};

} // namespace arbutuspier
