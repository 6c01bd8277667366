// A call takes effect when it arrives and responds later, like a booking: a caller that loses the
// response can't tell whether the call was executed.
#include "serviceserver.h"

#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

namespace arbutuspier::standin {

ServiceServer::ServiceServer(asio::io_context &context, ServiceServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_incarnation(
          static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
}

bool ServiceServer::start()
{
    return serve(m_context, m_options.listen, [this](beast::tcp_stream &stream, Request request) {
        return handle(stream, std::move(request));
    });
}

Task<bool> ServiceServer::handle(beast::tcp_stream &stream, Request request)
{
    const std::string target(request.target());
    if (target.rfind("/load", 0) == 0) {
        const nlohmann::json json = {{"incarnation", m_incarnation}};
        co_return co_await reply(stream, request, 200, json.dump());
    }
    if (target == "/runs") {
        const nlohmann::json json = m_executionsByKey;
        co_return co_await reply(stream, request, 200, json.dump());
    }
    const std::string key(request["Idempotency-Key"]);
    const std::uint64_t execution = key.empty() ? 0 : ++m_executionsByKey[key];
    asio::steady_timer timer(m_context, m_options.executionTime);
    co_await timer.async_wait(kAwait);
    const nlohmann::json json = {{"done", target}, {"run", execution}};
    co_return co_await reply(stream, request, 200, json.dump());
}

} // namespace arbutuspier::standin
