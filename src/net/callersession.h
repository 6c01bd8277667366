// One caller's request on its traffic thread: the body, the one answer, and the open attempt.
#pragma once

#include "arbutuspier/command.h"
#include "arbutuspier/streamassembler.h"
#include "net/asiotypes.h"
#include "net/eventsink.h"
#include "net/problem.h"
#include "net/sseparser.h"
#include "settings/settings.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

class UpstreamStream;

/// How the answer is written.
enum class ResponseForm { Events, WholeCompletion, PlainService };

/// What is sent to an upstream.
struct OutgoingRequest
{
    std::string method;
    std::string target;
    std::string contentType;
    std::shared_ptr<const std::string> body;
    std::string idempotencyKey;
};

/// All members but the constructor are called on the session's own thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(asio::any_io_executor executor, RequestId id, ResponseForm form,
                  OutgoingRequest outgoing, EventSink &events);
    ~CallerSession();

    RequestId id() const { return m_id; }
    ResponseForm form() const { return m_form; }
    const OutgoingRequest &outgoing() const { return m_outgoing; }
    const asio::any_io_executor &executor() const { return m_executor; }
    EventSink &events() { return m_events; }

    /// Writes the answer to the caller as it comes. False if the connection is of no more use.
    Task<bool> serve(beast::tcp_stream &stream, bool isKeptAlive);

    void startAttempt(OpenStream open, Address address);
    /// Stops the attempt if it is the one given.
    void cancelAttempt(AttemptId attempt);
    void refuse(Problem problem);
    void finish();
    void replay(int status, std::string result);

    /// An event of an attempt's answer. False if the attempt has to be given up: units are missing.
    bool onEvent(AttemptId attempt, const SseEvent &event);
    /// The whole answer of a plain service.
    void onWholeAnswer(AttemptId attempt, int status, std::string contentType, std::string body);
    std::uint64_t delivered() const { return m_assembler.delivered(); }
    /// True while the caller takes the answer more slowly than the upstream gives it.
    bool isFull() const;
    bool isGone() const { return m_isGone; }

private:
    Task<void> watchCaller(beast::tcp_stream &stream);
    Task<bool> writeEvents(beast::tcp_stream &stream, bool isKeptAlive);
    Task<bool> writeWhole(beast::tcp_stream &stream, bool isKeptAlive);
    Task<bool> writeText(beast::tcp_stream &stream, std::string text);
    void signal();
    void appendText(const SseEvent &event);

    asio::any_io_executor m_executor;
    RequestId m_id;
    ResponseForm m_form;
    OutgoingRequest m_outgoing;
    EventSink &m_events;
    StreamAssembler m_assembler;
    std::shared_ptr<UpstreamStream> m_upstream;
    asio::steady_timer m_signal;
    /// Events not yet written to the caller.
    std::string m_pending;
    std::string m_text;
    std::string m_contentType;
    int m_status = 0;
    bool m_hasHeader = false;
    bool m_isEnded = false;
    bool m_hasProblem = false;
    bool m_isGone = false;
    Problem m_problem;
};

} // namespace arbutuspier
