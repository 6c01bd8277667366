// The model engine of src/model over HTTP, in real time.
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
    /// Age of the load that is reported.
    Duration reportLag = std::chrono::milliseconds{50};
    /// A prompt with this text in it ends the process.
    std::string killerText = "POISON-THE-ENGINE";
};

class EngineServer
{
public:
    EngineServer(asio::io_context &context, EngineServerOptions options);
    bool start();

private:
    /// The answer of one attempt on its way out.
    struct Output
    {
        explicit Output(asio::io_context &context)
            : signal(context)
        {
        }
        asio::steady_timer signal;
        std::string pending;
        std::uint64_t seed = 0;
        bool isDone = false;
    };

    Task<bool> handle(beast::tcp_stream &stream, Request request);
    Task<bool> complete(beast::tcp_stream &stream, Request request);
    Task<bool> writeEvents(beast::tcp_stream &stream, std::shared_ptr<Output> output);
    Task<void> runSteps();
    Task<void> keepReports();
    Task<bool> reservations(beast::tcp_stream &stream, Request request);
    void onOutput(const model::EngineOutput &output);
    std::string loadJson() const;

    asio::io_context &m_context;
    EngineServerOptions m_options;
    model::EngineModel m_engine;
    asio::steady_timer m_wake;
    std::map<AttemptId, std::shared_ptr<Output>> m_outputs;
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
    std::deque<CacheEvents> m_cacheEvents;
};

} // namespace arbutuspier::standin
