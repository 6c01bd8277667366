// A caller's connection: reads requests, notices when the caller leaves, writes answers.
#pragma once

#include "gateway/gatewaystate.h"
#include "net/asiotypes.h"
#include "platform/httpheaders.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>

namespace arbutuspier {

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    CallerConnection(Tcp::socket socket, GatewayState &state);

    /// Serves requests until one side closes.
    Task<void> run(std::shared_ptr<CallerConnection> self);
    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    // For the exchange that answers the present request.

    /// The caller closed its connection.
    bool isGone() const { return m_isGone; }
    std::function<void()> onGone;
    /// Sends a whole answer. False if the caller has gone.
    Task<bool> sendWhole(int status, platform::Fields fields, std::string body);
    Task<bool> sendStreamHead(int status, platform::Fields fields);
    Task<bool> sendStreamBytes(const std::string &bytes);
    Task<bool> endStream();
    /// The answer ends early: the connection is closed so that it can't look complete.
    void abort();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Task<bool> readRequest(Parser &parser);
    Task<ErrorCode> readBody(Parser &parser);
    Task<bool> answerBadRequest(ErrorCode error);
    Task<bool> write(const std::string &bytes);
    /// Awaits the write that `start` begins, for as long as a caller may take to accept it.
    template <class Start>
    Task<bool> writeInTime(Start start);
    /// Status, fields and whether the connection is kept after the answer.
    template <class Response>
    void setHead(Response &response, int status, platform::Fields fields);
    void startWatch();
    Task<void> stopWatch();
    void noteGone();
    bool staysOpen() const;

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    GatewayState &m_state;
    asio::cancellation_signal m_stopWatch;
    asio::steady_timer m_watchEnded;
    bool m_isWatching = false;
    bool m_isStopping = false;
    bool m_isGone = false;
    bool m_isBusy = false;
    bool m_wantsKeepAlive = true;
    bool m_isClosing = false;
};

} // namespace arbutuspier
