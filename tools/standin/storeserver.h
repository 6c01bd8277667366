// Simulator of the platform's metadata store: rows of named tables and a feed of their changes.
#pragma once

#include "simpleserver.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace arbutuspier::standin {

/// A port at which the addresses of replicas are read as those of a VM's links to them.
struct StoreView
{
    std::uint16_t port = 0;
    /// Added to the ports of the replicas.
    std::uint16_t portOffset = 0;
};

struct StoreServerOptions
{
    Address listen;
    std::vector<StoreView> views;
    /// A replica's row is removed when it wasn't written for this long; zero for never.
    Duration replicaSilence = Duration::zero();
};

/// Keeps all rows in memory. A removed row stays as a tombstone, so that the feed can report it.
/// `POST /save` keeps a copy of all rows; `POST /restore` goes back to it, as after a loss of data.
class StoreServer
{
public:
    StoreServer(asio::io_context &context, StoreServerOptions options);
    bool start();

private:
    struct Row
    {
        std::string data;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        TimePoint writtenAt{};
    };
    /// Name of the table and key of the row.
    using Key = std::pair<std::string, std::string>;

    Task<bool> handle(beast::tcp_stream &stream, Request request, std::uint16_t portOffset);
    bool serveAt(std::uint16_t port, std::uint16_t portOffset);
    Task<bool> replyWithEra(beast::tcp_stream &stream, const Request &request, int httpStatus,
                            std::string body);
    void restoreCopy();
    Task<void> removeSilentReplicas();
    /// Applies a transaction and returns the response body. Nothing is written if the revision of
    /// an expected row differs.
    std::string applyTransaction(const std::string &body, int &httpStatus);
    std::string readTable(const std::string &table, std::uint16_t portOffset) const;
    /// Waits up to `waitMs` for a change after `sinceRevision`.
    Task<std::string> waitForChanges(std::string table, std::uint64_t sinceRevision,
                                     std::uint64_t waitMs, std::uint16_t portOffset);
    std::string changesSince(const std::string &table, std::uint64_t sinceRevision,
                             std::uint16_t portOffset, bool &hasChanges) const;

    asio::io_context &m_context;
    StoreServerOptions m_options;
    std::map<Key, Row> m_rows;
    std::uint64_t m_revision = 0;
    std::map<Key, Row> m_savedRows;
    std::uint64_t m_savedRevision = 0;
    /// Rises by one with each restored copy.
    std::uint64_t m_era = 1;
    /// Cancelled at each change, so that waiting feed requests check for new rows.
    asio::steady_timer m_changeSignal;
};

} // namespace arbutuspier::standin
