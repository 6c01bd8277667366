// Keeps the requests that are suspected of crashing replicas in the metadata store, for VMs that no
// datagram reaches: those behind a network partition, of another fleet group, or started later.
#pragma once

#include "arbutuspier/peer.h"
#include "arbutuspier/pollschedule.h"
#include "arbutuspier/sharedpollinterval.h"
#include "gateway/gatewaystate.h"
#include "platform/storeclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

class SuspectTable
{
public:
    SuspectTable(asio::io_context &context, GatewayState &state);

    void start();
    /// What this VM knows of the request changed: writes its row soon.
    void markChanged(Fingerprint fingerprint);
    /// What this VM knows of parts of prompts changed: writes its row of them soon if a part is
    /// suspected.
    void markPartsChanged();
    /// The store has come back from a copy: writes all that this VM knows; the next read is full.
    void onStoreRestored();
    /// True once the table was read, or could not be read, after the start.
    bool wasRead() const { return m_wasRead; }
    /// Number of calls to the store since the start.
    std::uint64_t calls() const { return m_client.calls(); }

    /// Called for each notice from the store that changed what this VM does.
    std::function<void(const SuspectNotice &)> onNews;
    std::function<void(const PartNotices &)> onPartNews;

private:
    struct Row
    {
        /// Revision of the store at which the row was written.
        platform::StoreRevision version;
        std::chrono::seconds writtenAt{};
    };

    Task<void> run();
    /// Writes the rows of changed requests. Returns false if the store didn't confirm it.
    Task<bool> writeChanged();
    /// Appends the row on parts of prompts if it has to be written.
    void addPartRow(std::vector<platform::RowContent> &rows);
    void handlePartRow(const platform::StoreRow &row);
    /// Reads what changed since the last read. Returns false if the store can't be read.
    Task<bool> readChanges();
    /// Removes rows that are too old to count.
    Task<void> removeExpired();
    void handleRow(const platform::StoreRow &row);
    /// Whether some VM has a row for the request.
    bool hasRow(Fingerprint fingerprint) const;
    std::string ownKey(Fingerprint fingerprint) const;
    TimePoint nextRead();
    /// Waits until there is something to write, or until `readAt`, which a partition that begins
    /// meanwhile moves forward.
    Task<void> awaitDue(TimePoint &readAt);
    std::chrono::seconds wallSeconds() const;

    asio::io_context &m_context;
    GatewayState &m_state;
    platform::StoreClient m_client;
    asio::steady_timer m_timer;
    PollSchedule m_schedule;
    SharedPollInterval m_quietInterval;
    SharedPollInterval m_partitionInterval;
    std::set<Fingerprint> m_changed;
    bool m_havePartsChanged = false;
    /// This VM may have a row on parts of prompts, with these notices if the write was confirmed.
    bool m_mayHavePartRow = false;
    PartNotices m_writtenParts;
    /// All rows of the table that were read, by key.
    std::map<std::string, Row> m_rows;
    platform::StoreRevision m_revision;
    std::uint32_t m_failures = 0;
    bool m_isFullRead = true;
    bool m_wasRead = false;
};

} // namespace arbutuspier
