// Engine simulator: serves the engine model of src/model over HTTP in real time.
#pragma once

#include "model/enginemodel.h"
#include "simpleserver.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace arbutuspier::standin {

struct EngineServerOptions
{
    Address listen;
    model::EngineOptions engine;
    /// Age of the load report that callers get, to simulate delayed reports.
    Duration reportLag = std::chrono::milliseconds{50};
    /// A request whose body contains this text ends the process, to simulate one that crashes
    /// engines.
    std::string crashText = "POISON-THE-ENGINE";
};

class EngineServer
{
public:
    EngineServer(asio::io_context &context, EngineServerOptions options);
    bool start();

private:
    /// Response of one attempt, between the engine model and the connection.
    struct AttemptOutput
    {
        explicit AttemptOutput(asio::io_context &context)
            : changeSignal(context)
        {
        }
        /// Cancelled when there is output to write.
        asio::steady_timer changeSignal;
        /// Events not yet written.
        std::string unsentEvents;
        std::uint64_t seed = 0;
        bool isDone = false;
    };

    Task<bool> handle(beast::tcp_stream &stream, Request request);
    Task<bool> handleCompletion(beast::tcp_stream &stream, Request request);
    Task<bool> writeEvents(beast::tcp_stream &stream, std::shared_ptr<AttemptOutput> output);
    Task<void> runSteps();
    Task<void> recordReports();
    Task<bool> handleReservation(beast::tcp_stream &stream, Request request);
    void onOutput(const model::EngineOutput &output);
    std::string loadJson() const;

    asio::io_context &m_context;
    EngineServerOptions m_options;
    model::EngineModel m_engine;
    /// Expires at the end of the current engine step; cancelled when the engine's work changes.
    asio::steady_timer m_stepTimer;
    std::map<AttemptId, std::shared_ptr<AttemptOutput>> m_outputs;
    /// Load reports with the time they were taken; the first is the one that callers get.
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
    std::deque<CacheEvents> m_cacheEvents;
};

} // namespace arbutuspier::standin
