// Prompts larger than one engine: all-or-nothing reservation on several engines.
//
// The gang is recorded in the table service before the first reservation, so that its memory can
// be freed even if every VM is replaced. A gang that cannot have all its members at once gives all
// back and waits a jittered time without holding any: two gangs never wait for each other.
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

    /// Starts the reservation if its time has come and engines look free.
    /// True if the request left its line.
    bool tryStart(Request &request);
    void onReserveReply(const ReserveReply &reply);
    bool onTableReply(TableOpId op, const TableOutcome &outcome);
    /// Gives back all members, for a retry.
    void giveBack(Request &request);
    /// Erases the rows of gangs that ended, looks for orphans of replaced VMs.
    void tick();

private:
    struct Forming
    {
        std::string rowKey;
        std::vector<ReservationId> unanswered;
        std::size_t refused = 0;
        bool isRecorded = false;
    };
    struct Waiting
    {
        TimePoint retryAt;
        Duration wait{};
    };

    void record(const Request &request, Forming &forming);
    void reserveAll(Request &request);
    void decide(Request &request);
    void backOff(const Request &request);
    void eraseRow(const std::string &rowKey);
    void onOrphanRows(const TableRows &rows);
    TableOpId call(TableRequest request);

    NodeContext &m_context;
    RequestStore &m_store;
    Dispatcher &m_dispatcher;
    TableOpId m_nextOp;
    std::map<RequestId, Forming> m_forming;
    std::map<RequestId, Waiting> m_waiting;
    std::map<ReservationId, RequestId> m_byReservation;
    std::map<TableOpId, RequestId> m_recordOps;
    /// Rows written by this VM, by the request they belong to.
    std::map<RequestId, std::string> m_rows;
    std::map<TableOpId, std::string> m_eraseOps;
    std::map<std::string, TimePoint> m_toErase;
    std::optional<TableOpId> m_scanOp;
    std::optional<TimePoint> m_nextScan;
};

} // namespace arbutuspier
