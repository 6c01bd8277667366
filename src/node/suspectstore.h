// Keeps the deaths of suspect bodies in the table service, for VMs that no peer can tell.
//
// A suspect's next try waits until its row was read after the pause that lets other VMs write
// theirs. With the table out of reach the peers' notices alone decide: prompts go on.
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

    /// The body's deaths changed here: its row follows.
    void note(Fingerprint body);
    /// True once the row was read, or could not be, at `since` or later. Asks if need be.
    bool isCleared(Fingerprint body, TimePoint since);
    /// True if every VM has had its say since the body became a suspect, or time to show it in the
    /// table, and no upstream that died of late may have died of this body unseen. A death that a
    /// lost VM may have caused with it is counted against the body, which is news then.
    bool isAccountedFor(Fingerprint body, TimePoint suspectSince);
    bool onTableReply(TableOpId op, const TableOutcome &outcome);
    /// Bodies whose standing changed by what the table said, since the last call.
    std::vector<Fingerprint> takeNews() { return std::exchange(m_news, {}); }
    /// Loads all rows once; repeats writes that failed.
    void tick();

private:
    struct Row
    {
        RowVersion version = 0;
        bool isDirty = false;
        std::optional<TableOpId> op;
        bool isReading = false;
        TimePoint askedAt;
        std::optional<TimePoint> readAt;
        TimePoint retryAt;
    };

    /// False if some death's account is still open or was counted now.
    bool countUnexplainedDeaths(Fingerprint body);
    void count(Fingerprint body, const UpstreamCrash &crash);
    bool hasSilentVm() const;
    void write(Fingerprint body, Row &row);
    void read(Fingerprint body, Row &row);
    void onRow(Fingerprint body, Row &row, const TableRow &seen);
    void onLoaded(const TableRows &rows);
    TableOpId call(TableRequest request);

    NodeContext &m_context;
    TableOpId m_nextOp;
    std::map<Fingerprint, Row> m_rows;
    std::map<TableOpId, Fingerprint> m_byOp;
    std::optional<TableOpId> m_loadOp;
    std::vector<Fingerprint> m_news;
    TimePoint m_nextLoad;
    bool m_isLoaded = false;
};

} // namespace arbutuspier
