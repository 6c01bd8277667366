// Opens a connection for each call, as the tool makes only a few calls.
#include "client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>

namespace arbutuspier::ctl {

namespace http = boost::beast::http;

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds{15};

} // namespace

std::unique_ptr<Client> Client::make(const std::string &address, const std::string &token)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return nullptr;
    Address parsed;
    parsed.host = address.substr(0, colon);
    const char *end = address.data() + address.size();
    const auto [last, error] = std::from_chars(address.data() + colon + 1, end, parsed.port);
    ErrorCode hostError;
    asio::ip::make_address(parsed.host, hostError);
    if (error != std::errc{} || last != end || hostError)
        return nullptr;
    return std::unique_ptr<Client>(new Client(std::move(parsed), token));
}

Client::Client(Address address, std::string token)
    : m_address(std::move(address))
    , m_token(std::move(token))
{
}

HttpReply Client::call(http::verb method, const std::string &path, const std::string &body)
{
    asio::io_context context(1);
    HttpRequest request;
    request.method = method;
    request.target = path;
    request.body = body;
    request.headers.emplace_back("Authorization", "Bearer " + m_token);
    request.timeout = kCallTimeout;
    HttpReply reply;
    asio::co_spawn(
        context, [&]() -> Task<void> { reply = co_await callOnce(m_address, std::move(request)); },
        asio::detached);
    context.run();
    return reply;
}

HttpReply Client::get(const std::string &path)
{
    return call(http::verb::get, path, {});
}

HttpReply Client::post(const std::string &path, const std::string &body)
{
    return call(http::verb::post, path, body);
}

HttpReply Client::erase(const std::string &path)
{
    return call(http::verb::delete_, path, {});
}

} // namespace arbutuspier::ctl
