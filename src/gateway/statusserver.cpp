// Responses are built from memory without waiting, so each request is served as soon as it is read.
#include "gateway/statusserver.h"

#include "net/listen.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr Duration kIdleTimeout = std::chrono::seconds{15};

} // namespace

StatusServer::StatusServer(asio::io_context &context, Address address, Handler handler)
    : m_context(context)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{
}

Result<bool> StatusServer::listen(std::string_view setting)
{
    auto acceptor = openAcceptor(m_context, m_address, setting);
    if (!acceptor)
        return acceptor.error();
    m_acceptor = std::move(*acceptor);
    return true;
}

Task<void> StatusServer::accept()
{
    while (m_acceptor->is_open()) {
        auto [error, socket] = co_await m_acceptor->async_accept(kAwait);
        if (!error)
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

Task<void> StatusServer::serve(Tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keepsOpen = true;
    while (keepsOpen) {
        http::request_parser<http::empty_body> parser;
        stream.expires_after(kIdleTimeout);
        const auto [readError, bytesRead] =
            co_await http::async_read(stream, buffer, parser, kAwait);
        if (readError)
            break;
        const auto target = parser.get().target();
        StatusResponse reply = m_handler({target.data(), target.size()});
        http::response<http::string_body> response;
        response.version(parser.get().version());
        response.result(static_cast<unsigned>(reply.status));
        response.set(http::field::content_type, reply.contentType);
        response.body() = std::move(reply.body);
        response.prepare_payload();
        response.keep_alive(parser.get().keep_alive());
        const auto [writeError, bytesWritten] =
            co_await http::async_write(stream, response, kAwait);
        keepsOpen = !writeError && parser.get().keep_alive();
    }
}

} // namespace arbutuspier
