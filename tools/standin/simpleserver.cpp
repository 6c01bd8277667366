// Accepts connections, reads requests and passes each to the handler, one coroutine per connection.
#include "simpleserver.h"

#include "net/listen.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <iostream>
#include <memory>

namespace arbutuspier::standin {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 128ULL * 1024 * 1024;

Task<void> serveConnection(Tcp::socket socket, std::shared_ptr<Handler> handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool isKeptAlive = true;
    while (isKeptAlive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        const auto [error, size] = co_await http::async_read(stream, buffer, parser, kAwait);
        if (error)
            break;
        isKeptAlive = co_await (*handler)(stream, parser.release());
    }
    ErrorCode ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

Task<void> acceptConnections(asio::io_context &context, std::shared_ptr<Tcp::acceptor> acceptor,
                             std::shared_ptr<Handler> handler)
{
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(kAwait);
        if (error)
            continue;
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        asio::co_spawn(context, serveConnection(std::move(socket), handler), asio::detached);
    }
}

} // namespace

bool serve(asio::io_context &context, const Address &address, Handler handler)
{
    auto opened = openAcceptor(context, address, "standin");
    if (!opened) {
        std::cerr << opened.error().message << '\n';
        return false;
    }
    const std::shared_ptr<Tcp::acceptor> acceptor = std::move(*opened);
    asio::co_spawn(
        context,
        acceptConnections(context, acceptor, std::make_shared<Handler>(std::move(handler))),
        asio::detached);
    return true;
}

Task<bool> reply(beast::tcp_stream &stream, const Request &request, int status, std::string body,
                 std::vector<std::pair<std::string, std::string>> headers)
{
    http::response<http::string_body> response(static_cast<http::status>(status),
                                               request.version());
    response.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : headers)
        response.set(name, value);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    const auto [error, size] = co_await http::async_write(stream, response, kAwait);
    co_return !error && request.keep_alive();
}

std::uint64_t numberAfter(std::string_view text, std::string_view prefix)
{
    const auto at = text.find(prefix);
    if (at == std::string_view::npos)
        return 0;
    std::uint64_t value = 0;
    const std::string_view digits = text.substr(at + prefix.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

} // namespace arbutuspier::standin
