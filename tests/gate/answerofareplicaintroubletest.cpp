// Responses of replicas in trouble that are no HTTP, or of which only a part came: none may reach a
// caller as a response.
#include "gatewayfixture.h"
#include "responsetext.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":20000,
  "goalMs":8000,"service":"desk","maxAttempts":1,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

constexpr std::string_view kBody = "done";
constexpr std::string_view kLastChunk = "\r\n0\r\n\r\n";

/// A signed response with a status line and further fields of a replica's choice.
std::string answer(std::string_view statusLine, std::string_view fields)
{
    return std::string(statusLine)
        + "\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n"
        + std::string(fields) + "\r\n" + std::string(kBody);
}

std::string answerWithStatus(std::string_view status)
{
    return answer("HTTP/1.1 " + std::string(status) + " X", "Content-Length: 4\r\n");
}

/// The body of a response that isn't the gateway's own.
std::string bodyIfAnswered(const std::string &response)
{
    constexpr int kBadGateway = 502;
    if (statusOf(response) == kBadGateway)
        return {};
    return response.substr(response.find("\r\n\r\n") + 4);
}

/// Answers each request as soon as its head has come, and resets the connection while the body is
/// still being sent.
class EarlyReplica
{
public:
    EarlyReplica(GatewayFixture &fixture, const std::string &id, std::string answer)
        : m_acceptor(fixture.context)
        , m_answer(std::move(answer))
    {
        // A small window, so that the body doesn't fit into the buffers.
        constexpr int kReceiveBufferBytes = 8 * 1024;
        const Tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
        m_acceptor.bind(any);
        m_acceptor.listen();
        fixture.listReplica(id, "desk",
                            "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
        asio::co_spawn(fixture.context, accept(), asio::detached);
    }

    int requests() const { return m_requests; }

private:
    Task<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
            if (error)
                co_return;
            co_await answer(std::move(socket));
        }
    }
    Task<void> answer(Tcp::socket socket)
    {
        constexpr Duration kUploadTime = std::chrono::milliseconds{100};
        std::array<char, 1024> head{};
        const auto [error, size] = co_await socket.async_read_some(asio::buffer(head), kAwait);
        if (error)
            co_return;
        ++m_requests;
        std::string bytes = m_answer;
        if (const auto at = bytes.find("%ID"); at != std::string::npos)
            bytes.replace(at, 3, "id1");
        co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
        asio::steady_timer timer(socket.get_executor(), kUploadTime);
        co_await timer.async_wait(kAwait);
        socket.set_option(asio::socket_base::linger(true, 0));
    }

    Tcp::acceptor m_acceptor;
    std::string m_answer;
    int m_requests = 0;
};

/// Sends a call, and one that may be retried, to replicas that answer so at first.
void checkIsNoAnswer(const ReplicaStep &step)
{
    GatewayFixture once;
    once.configure(kRoutes);
    auto &replica = once.addReplica("a", "desk", {step});
    const std::string response =
        once.call(GatewayFixture::request("POST", "/order/5", "", "stone=3"));
    STRCMP_EQUAL("", bodyIfAnswered(response).c_str());
    LONGS_EQUAL(1, replica.requests().size());

    GatewayFixture retrying;
    retrying.configure(kRoutes);
    const auto script =
        std::make_shared<Script>(std::vector<ReplicaStep>{step, {fullResponse(200, "sound")}});
    retrying.addReplica("a", "desk", script);
    retrying.addReplica("b", "desk", script);
    const std::string retried = retrying.call(GatewayFixture::request("GET", "/look/5"));
    STRCMP_EQUAL("sound", bodyIfAnswered(retried).c_str());
}

} // namespace

TEST_GROUP(AnAnswerOfAReplicaInTrouble){};

// Guards against a response whose status is no status of HTTP, and which the caller gets as one:
// 000 was taken for "no response yet".
TEST(AnAnswerOfAReplicaInTrouble, hasNoStatusThatHttpDoesNotKnow)
{
    for (const char *status : {"000", "007", "099", "600", "999"})
        checkIsNoAnswer(closing(answerWithStatus(status)));
}

// Guards against a switch of protocols that nobody asked for, whose caller waits for its bytes.
TEST(AnAnswerOfAReplicaInTrouble, isNoSwitchOfProtocols)
{
    checkIsNoAnswer(closing(answer("HTTP/1.1 101 X", "Upgrade: h2c\r\n")));
}

// Guards against a response whose next line's first byte was spoiled into a blank: the line is lost
// in the value of the one before it, and with it the length of the body, or its chunks.
TEST(AnAnswerOfAReplicaInTrouble, hasNoFieldNameThatBeginsWithABlank)
{
    const std::string chunked = answer("HTTP/1.1 200 X", "?ransfer-Encoding: chunked\r\n");
    const std::string withLength = answer("HTTP/1.1 200 X", "?ontent-Length: 2\r\n");
    for (const std::string &response : {chunked, withLength}) {
        for (const char blank : {' ', '\t'}) {
            std::string spoiled = response;
            spoiled[spoiled.find('?')] = blank;
            checkIsNoAnswer(closing(spoiled));
        }
    }
}

// The same for a blank or a control byte in the name of any field. AReplyInTrouble tries them all.
TEST(AnAnswerOfAReplicaInTrouble, hasNoBlankOrControlByteInTheNameOfAField)
{
    using namespace std::string_view_literals;
    const std::string name = "Content-Length";
    for (const std::size_t at : {std::size_t{0}, std::size_t{7}, name.size()}) {
        for (const char byte : "\0\t\x1f \x7f"sv) {
            std::string spoiled = name;
            spoiled.replace(at, 1, 1, byte);
            checkIsNoAnswer(closing(answer("HTTP/1.1 200 X", spoiled + ": 4\r\n")));
        }
    }
}

// Guards against a body whose chunks' sizes the caller gets as a part of it.
TEST(AnAnswerOfAReplicaInTrouble, hasNoTransferCodingButChunked)
{
    const std::string chunks = "4\r\ndone\r\n0\r\n\r\n";
    for (const char *coding : {"chunkec", "identity", "", "gzip, chunked", "chunked, x",
                               "gzip\r\nTransfer-Encoding: chunked"}) {
        const std::string fields = "Transfer-Encoding: " + std::string(coding) + "\r\n";
        std::string response = answer("HTTP/1.1 200 X", fields);
        response.replace(response.size() - kBody.size(), kBody.size(), chunks);
        checkIsNoAnswer(closing(response));
    }
}

// The same, if the name of the field that names the coding was spoiled into another valid one.
TEST(AnAnswerOfAReplicaInTrouble, hasNoChunksWithoutTheFieldThatNamesThem)
{
    std::string response = answer("HTTP/1.1 200 X", "Transfer-Encodinx: chunked\r\n");
    const std::string chunks = chunk("do") + chunk("ne") + "0\r\n\r\n";
    response.replace(response.size() - kBody.size(), kBody.size(), chunks);
    checkIsNoAnswer(closing(response));
}

// Guards against a success without the body that its replica sent, as one digit of the status was
// spoiled.
TEST(AnAnswerOfAReplicaInTrouble, hasNoStatusThatHidesItsBody)
{
    checkIsNoAnswer(closing(answerWithStatus("204")));
    checkIsNoAnswer(closing(answer("HTTP/1.1 204 X", "Transfer-Encoding: chunked\r\n")));
}

// Guards against a response with an empty or a short body from a replica that ended within its
// head, as other operators reported. AReplyInTrouble tries each place.
TEST(AnAnswerOfAReplicaInTrouble, isNoAnswerIfItEndsWithinItsHead)
{
    const std::string whole = answerWithStatus("200");
    for (const char *line : {"\r\nX-", "\r\nContent", "\r\n\r\n"}) {
        const std::size_t cut = whole.find(line) + 2;
        checkIsNoAnswer(closing(whole.substr(0, cut)));
        checkIsNoAnswer(resetting(whole.substr(0, cut)));
    }
}

TEST_GROUP(AnEarlyAnswer)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
    }

    /// Sends a body that is longer than the buffers of a connection.
    std::string upload(std::string_view path)
    {
        constexpr std::size_t kUploadBytes = 12 * 1024 * 1024;
        return fixture.call(
            GatewayFixture::request("POST", path, "", std::string(kUploadBytes, 'x')));
    }
};

// Guards against a part of a response that is taken for all of it: the replica answered a long
// upload at once, without a length, and reset the connection while the upload was still written.
TEST(AnEarlyAnswer, isNotCompleteWithoutALengthIfTheUploadIsReset)
{
    EarlyReplica replica(fixture, "a", answer("HTTP/1.1 200 X", ""));
    LONGS_EQUAL(502, statusOf(upload("/order/5")));
    LONGS_EQUAL(1, replica.requests());
}

// The same for a stream, whose part ends with an event.
TEST(AnEarlyAnswer, isNoCompleteStreamWithoutALengthIfTheUploadIsReset)
{
    std::string response = answer("HTTP/1.1 200 X", "");
    response.replace(response.size() - kBody.size(), kBody.size(), event(0) + event(1));
    EarlyReplica first(fixture, "a", response);
    EarlyReplica second(fixture, "b", response);
    CHECK(!contains(upload("/ask/5"), kLastChunk));
}

// A response with a length is complete once all of it came, whatever becomes of the upload.
TEST(AnEarlyAnswer, isCompleteWithALengthIfTheUploadIsReset)
{
    EarlyReplica replica(fixture, "a", answerWithStatus("200"));
    const std::string response = upload("/order/5");
    LONGS_EQUAL(200, statusOf(response));
    CHECK(response.ends_with(kBody));
}
