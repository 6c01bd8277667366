// Replica simulator: registers itself in the metadata store, serves calls and event streams, and
// drains on SIGTERM.
#pragma once

#include "platform/storeclient.h"
#include "simpleserver.h"
#include "spoiler.h"

#include <boost/asio/signal_set.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier::standin {

struct ReplicaServerOptions
{
    Address listen;
    Address store;
    std::string id;
    std::string service;
    std::string zone;
    Duration heartbeat = std::chrono::milliseconds{300};
    /// Number of events in a stream, and the time before each.
    std::uint64_t eventsPerStream = 10;
    Duration eventGap = std::chrono::milliseconds{50};
    /// A request whose body contains this text crashes the replica; empty for none.
    std::string crashText;
    /// How long such a request runs before the crash.
    Duration crashDelay = Duration::zero();
    /// Time before the first event of a stream.
    Duration prefill = Duration::zero();
    /// Ids of prompt parts; a prompt that holds one of them before its last part crashes the
    /// replica when its stream would begin.
    std::vector<std::string> crashParts;
    /// Decides which responses are spoiled, and how.
    std::uint64_t spoilerSeed = 1;
};

/// `GET /runs` returns how many requests this replica executed. `POST /limit` sets the request
/// limit that it names in its answers, as it stands in the body; an empty body ends it. `POST
/// /spoil` has it spoil one response in as many as the body says. After SIGTERM it reports the
/// state "draining" and continues to serve. A request may set its own pace in its query: `events`,
/// `gap_ms` and `first_ms` for a stream, `work_ms` for a call.
class ReplicaServer
{
public:
    ReplicaServer(asio::io_context &context, ReplicaServerOptions options);
    bool start();

private:
    Task<void> sendHeartbeats();
    Task<void> watchSignals();
    Task<bool> handle(beast::tcp_stream &stream, Request request);
    /// Sets the limit and replies.
    Task<bool> setLimit(beast::tcp_stream &stream, const Request &request);
    /// Sets how many responses are spoiled and replies.
    Task<bool> setSpoiling(beast::tcp_stream &stream, const Request &request);
    /// Writes a response whose head is spoiled.
    Task<bool> replySpoiled(beast::tcp_stream &stream, const Request &request, std::string body);
    /// The head of a signed response; `framing` are the fields that say where its body ends.
    std::string head(const Request &request, std::string_view framing) const;
    Task<bool> streamEvents(beast::tcp_stream &stream, const Request &request);
    /// Whether the request is one that crashes the replica.
    bool isCrashing(const Request &request) const;
    /// Prints a line and ends the process after the delay if the request is one that crashes it.
    Task<void> crashIfAskedTo(const Request &request) const;
    /// Returns the first of the crashing parts that the prompt holds before its last part; empty if
    /// it holds none.
    std::string crashingPart(const Request &request) const;

    asio::io_context &m_context;
    ReplicaServerOptions m_options;
    platform::StoreClient m_store;
    asio::signal_set m_signals;
    std::uint64_t m_executedRequestCount = 0;
    std::uint64_t m_heartbeatSequence = 0;
    std::uint64_t m_startedAtMs;
    bool m_isDraining = false;
    /// Value of the header that names the request limit; empty for none.
    std::string m_limit;
    bool m_logsArrivals = false;
    Spoiler m_spoiler;
};

} // namespace arbutuspier::standin
