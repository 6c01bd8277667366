// The handler doesn't block, as it answers from memory; so requests are served one after another.
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

constexpr Duration kIdle = std::chrono::seconds{15};

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
    bool isKept = true;
    while (isKept) {
        http::request_parser<http::empty_body> parser;
        stream.expires_after(kIdle);
        const auto [readError, got] = co_await http::async_read(stream, buffer, parser, kAwait);
        if (readError)
            break;
        const auto target = parser.get().target();
        StatusResponse answer = m_handler({target.data(), target.size()});
        http::response<http::string_body> response;
        response.version(parser.get().version());
        response.result(static_cast<unsigned>(answer.status));
        response.set(http::field::content_type, answer.contentType);
        response.body() = std::move(answer.body);
        response.prepare_payload();
        response.keep_alive(parser.get().keep_alive());
        const auto [writeError, sent] = co_await http::async_write(stream, response, kAwait);
        isKept = !writeError && parser.get().keep_alive();
    }
}

} // namespace arbutuspier
