// Attempts of the daemon and calls over an HttpChannel, at upstreams whose responses have neither a
// length nor chunks and end with their connection, or have more bytes than belong to them.
#include "gate/gatewayfixture.h"
#include "net/callersession.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using gatetest::closing;
using gatetest::ReplicaStep;
using gatetest::resetting;
using gatetest::Script;
using gatetest::ScriptedReplica;

namespace {

constexpr const char *kHead = "HTTP/1.1 200 OK\r\n\r\n";
constexpr const char *kInterimHead = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr const char *kDone = "data: [DONE]\n\n";
constexpr std::size_t kEndlessStepBytes = 64 * 1024;
/// More than any response, and far less than what a VM has memory for.
constexpr std::size_t kMaxBytes = 64 * 1024 * 1024;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

ReplicaStep endless(std::string response)
{
    ReplicaStep step;
    step.response = std::move(response);
    step.endlessBytes.assign(kEndlessStepBytes, 'x');
    return step;
}

Address addressOf(const ScriptedReplica &upstream)
{
    return {"127.0.0.1", upstream.port()};
}

/// Keeps the event that ends an attempt.
class AttemptEndRecorder : public EventSink
{
public:
    void post(Event event) override
    {
        const bool isEnd = std::holds_alternative<StreamDone>(event)
            || std::holds_alternative<StreamFailed>(event);
        if (isEnd)
            m_end = std::move(event);
    }

    bool hasEnd() const { return m_end.has_value(); }
    /// Empty if the attempt failed.
    const StreamDone *done() const { return std::get_if<StreamDone>(&*m_end); }
    /// Empty if the attempt succeeded.
    const StreamFailed *failed() const { return std::get_if<StreamFailed>(&*m_end); }

private:
    std::optional<Event> m_end;
};

} // namespace

TEST_GROUP(AnAttemptWithoutLength)
{
    asio::io_context context{1};
    AttemptEndRecorder recorder;
    std::unique_ptr<ScriptedReplica> upstream;

    void run(ResponseForm form, ReplicaStep step)
    {
        upstream = std::make_unique<ScriptedReplica>(
            context, std::make_shared<Script>(std::vector<ReplicaStep>{std::move(step)}));
        OutgoingRequest outgoing;
        outgoing.method = "POST";
        outgoing.target = "/orders";
        outgoing.body = std::make_shared<const std::string>("stone=3");
        const auto session = std::make_shared<CallerSession>(context.get_executor(), RequestId{1},
                                                             form, std::move(outgoing), recorder);
        OpenStream open;
        open.attempt = AttemptId{1};
        session->startAttempt(std::move(open), addressOf(*upstream));
        while (!recorder.hasEnd())
            context.run_one();
    }
    void checkIsDone(ReplicaStep step, const std::string &body)
    {
        run(ResponseForm::PlainService, std::move(step));
        CHECK(recorder.done() != nullptr);
        CHECK(body == recorder.done()->result);
    }
    void checkFails(ResponseForm form, ReplicaStep step, FailureKind kind)
    {
        run(form, std::move(step));
        CHECK(recorder.failed() != nullptr);
        CHECK(recorder.failed()->kind == kind);
    }
    void checkStreamIsLost(ReplicaStep step, std::uint64_t deliveredTokens)
    {
        checkFails(ResponseForm::Events, std::move(step), FailureKind::ConnectionLost);
        LONGS_EQUAL(deliveredTokens, recorder.failed()->deliveredTokens);
    }
};

// Each of these guards against a response that is taken for complete too early, or never.
TEST(AnAttemptWithoutLength, isCompleteAtTheEndOfItsConnection)
{
    checkIsDone(closing(std::string(kHead) + "done"), "done");
}

TEST(AnAttemptWithoutLength, isCompleteIfItsBodyComesLaterThanItsHead)
{
    checkIsDone(closing(kHead, "done"), "done");
}

TEST(AnAttemptWithoutLength, hasAnEmptyBodyIfItsConnectionEndsAfterItsHead)
{
    checkIsDone(closing(kHead), "");
}

TEST(AnAttemptWithoutLength, isReadWholeIfItIsLongerThanTheBuffers)
{
    const std::string body(500'000, 'x');
    checkIsDone(closing(kHead + body), body);
}

TEST(AnAttemptWithoutLength, isLostIfItsConnectionIsReset)
{
    checkFails(ResponseForm::PlainService, resetting(kHead, "done"), FailureKind::ConnectionLost);
}

TEST(AnAttemptWithoutLength, isLostWithinItsHead)
{
    checkFails(ResponseForm::PlainService, closing("HTTP/1.1 200 OK\r\nX-Own: v"),
               FailureKind::ConnectionLost);
}

TEST(AnAttemptWithoutLength, isBrokenOffIfItNeverEnds)
{
    checkFails(ResponseForm::PlainService, endless(kHead), FailureKind::Broken);
    CHECK(upstream->endlessBytesSent() < kMaxBytes);
}

// Guard against an interim response that is taken for the response itself.
TEST(AnAttemptWithoutLength, followsAnInterimResponse)
{
    checkIsDone(closing(std::string(kInterimHead) + kHead + "done"), "done");
}

TEST(AnAttemptWithoutLength, mayBeAStreamThatFollowsAnInterimResponse)
{
    run(ResponseForm::Events, closing(std::string(kInterimHead) + kHead + event(1) + kDone));
    CHECK(recorder.done() != nullptr);
    LONGS_EQUAL(1, recorder.done()->tokens);
}

TEST_GROUP_BASE(AStreamedAttemptWithoutChunks, TEST_GROUP_CppUTestGroupAnAttemptWithoutLength){};

TEST(AStreamedAttemptWithoutChunks, isCompleteAfterItsEndMarker)
{
    run(ResponseForm::Events, closing(kHead + event(1) + event(2) + kDone));
    CHECK(recorder.done() != nullptr);
    LONGS_EQUAL(2, recorder.done()->tokens);
}

TEST(AStreamedAttemptWithoutChunks, mayEndItsLinesWithCarriageReturns)
{
    run(ResponseForm::Events, closing(kHead, "id: 1\r\ndata: x\r\n\r\ndata: [DONE]\r\n\r\n"));
    CHECK(recorder.done() != nullptr);
    LONGS_EQUAL(1, recorder.done()->tokens);
}

TEST(AStreamedAttemptWithoutChunks, isLostIfItsConnectionEndsWithinAnEvent)
{
    checkStreamIsLost(closing(kHead + event(1) + "id: 2\nda"), 1);
}

TEST(AStreamedAttemptWithoutChunks, isLostIfItsConnectionEndsWithinItsEndMarker)
{
    checkStreamIsLost(closing(kHead + event(1) + "data: [DONE]\n"), 1);
}

TEST(AStreamedAttemptWithoutChunks, isLostIfItsConnectionEndsWithoutAnEndMarker)
{
    checkStreamIsLost(closing(kHead + event(1)), 1);
}

TEST(AStreamedAttemptWithoutChunks, isLostIfItsConnectionIsResetAfterAnEvent)
{
    checkStreamIsLost(resetting(kHead + event(1), event(2)), 2);
}

TEST(AStreamedAttemptWithoutChunks, isLostIfItsConnectionEndsAfterItsHead)
{
    checkStreamIsLost(closing(kHead), 0);
}

TEST(AStreamedAttemptWithoutChunks, isBrokenOffWithinAnEventWithoutEnd)
{
    checkFails(ResponseForm::Events, endless(kHead), FailureKind::Broken);
    CHECK(upstream->endlessBytesSent() < kMaxBytes);
}

// Guards against tokens that a caller gets twice: without their id, as the upstream spoiled it, and
// once more from the next attempt.
TEST(AStreamedAttemptWithoutChunks, isBrokenOffAtATokenWithoutItsId)
{
    const std::string token = R"(data: {"choices":[{"index":0,"text":"x"}]})"
                              "\n\n";
    for (const char *line : {"iD: 2\n", ":d: 2\n", "id; 2\n", "id: 2x\n", ""}) {
        recorder = AttemptEndRecorder();
        checkFails(ResponseForm::Events, closing(kHead + event(1) + line + token + kDone),
                   FailureKind::Broken);
        LONGS_EQUAL(1, recorder.failed()->deliveredTokens);
    }
}

// Guards against a complete stream that lacks its last token, whose id was spoiled.
TEST(AStreamedAttemptWithoutChunks, isBrokenOffAtATokenThatGoesBack)
{
    checkFails(ResponseForm::Events, closing(kHead + event(1) + event(2) + event(1) + kDone),
               FailureKind::Broken);
    LONGS_EQUAL(2, recorder.failed()->deliveredTokens);
}

TEST(AStreamedAttemptWithoutChunks, mayHaveAnEventWithoutAnIdAfterItsTokens)
{
    const std::string usage = R"(data: {"usage":{"completion_tokens":1,"cached_tokens":7}})"
                              "\n\n";
    run(ResponseForm::Events, closing(kHead + event(1) + usage + kDone));
    CHECK(recorder.done() != nullptr);
    LONGS_EQUAL(7, recorder.done()->cachedTokens);
}

TEST_GROUP(AReplyWithoutLength)
{
    asio::io_context context{1};
    std::unique_ptr<ScriptedReplica> server;
    std::unique_ptr<HttpChannel> channel;

    void listen(std::vector<ReplicaStep> steps)
    {
        server =
            std::make_unique<ScriptedReplica>(context, std::make_shared<Script>(std::move(steps)));
        channel = std::make_unique<HttpChannel>(context.get_executor(), addressOf(*server));
    }
    HttpReply call()
    {
        HttpReply reply;
        bool isDone = false;
        asio::co_spawn(
            context,
            [&]() -> Task<void> {
                HttpRequest request;
                request.target = "/";
                reply = co_await channel->call(std::move(request));
                isDone = true;
            },
            asio::detached);
        while (!isDone)
            context.run_one();
        return reply;
    }
    void checkIsAnswered(const std::string &body)
    {
        const HttpReply reply = call();
        CHECK(reply.outcome == HttpReply::Outcome::Answered);
        STRCMP_EQUAL(body.c_str(), reply.body.c_str());
    }
};

TEST(AReplyWithoutLength, isCompleteAtTheEndOfItsConnection)
{
    listen({closing(kHead, "done")});
    checkIsAnswered("done");
}

TEST(AReplyWithoutLength, isLostIfItsConnectionIsReset)
{
    listen({resetting(kHead, "done")});
    CHECK(call().outcome == HttpReply::Outcome::Lost);
}

TEST(AReplyWithoutLength, isLostWithinItsHead)
{
    listen({closing("HTTP/1.1 200 OK\r\nX-Own: v")});
    CHECK(call().outcome == HttpReply::Outcome::Lost);
}

// Guards against an interim response that is taken for the reply itself.
TEST(AReplyWithoutLength, followsAnInterimResponse)
{
    listen({closing(std::string(kInterimHead) + kHead + "done")});
    checkIsAnswered("done");
}

TEST(AReplyWithoutLength, leavesNoConnectionForTheNextCall)
{
    listen({closing("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\ndone")});
    checkIsAnswered("done");
    checkIsAnswered("done");
    LONGS_EQUAL(2, server->connections());
}

// Guards against a call that gets bytes of an earlier response for its own.
TEST(AReplyWithoutLength, isNotTakenFromTheBytesAfterAnEarlierReply)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    ReplicaStep first;
    first.response = whole + "first" + whole + "extra";
    ReplicaStep second;
    second.response = whole + "other";
    listen({first, second});
    checkIsAnswered("first");
    checkIsAnswered("other");
}

namespace {

/// Heads that no sound server sends, each followed by a body.
const std::vector<std::string> kFaultyHeads = {
    "HTTP/1.1 000 X\r\n\r\n",
    "HTTP/1.1 099 X\r\n\r\n",
    "HTTP/1.1 600 X\r\n\r\n",
    "HTTP/1.1 101 X\r\n\r\n",
    "HTTP/1.1 200 X\r\nX-Own: v\r\n ontent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunkec\r\n\r\n",
    "HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\n"};

} // namespace

// Guard against heads that are no HTTP and are taken for responses: one with status 000 was told as
// "not run" to the caller of a stream.
TEST(AnAttemptWithoutLength, isLostIfItsHeadIsFaulty)
{
    for (const std::string &head : kFaultyHeads) {
        recorder = AttemptEndRecorder();
        checkFails(ResponseForm::PlainService, closing(head + "done"), FailureKind::ConnectionLost);
        recorder = AttemptEndRecorder();
        checkFails(ResponseForm::Events, closing(head + event(1) + kDone),
                   FailureKind::ConnectionLost);
    }
}

TEST_GROUP_BASE(AReplyInTrouble, TEST_GROUP_CppUTestGroupAReplyWithoutLength){};

TEST(AReplyInTrouble, isLostIfItsHeadIsFaulty)
{
    for (const std::string &head : kFaultyHeads) {
        listen({closing(head + "done")});
        CHECK(call().outcome == HttpReply::Outcome::Lost);
    }
}

// Guards against a line that is taken for the end of the one before it, and hides the body's
// length.
TEST(AReplyInTrouble, isLostIfABlankOrControlByteIsInTheNameOfAField)
{
    constexpr char kBlank = ' ';
    std::string bytes = "\x7f";
    for (char byte = 0; byte <= kBlank; ++byte)
        bytes += byte;
    const std::string name = "Content-Length";
    for (std::size_t at = 0; at <= name.size(); ++at) {
        for (const char byte : bytes) {
            std::string spoiled = name;
            spoiled.replace(at, 1, 1, byte);
            listen({closing("HTTP/1.1 200 X\r\nX-Own: v\r\n" + spoiled + ": 4\r\n\r\ndone")});
            CHECK(call().outcome == HttpReply::Outcome::Lost);
        }
    }
}

// Guards against an empty or a short body from a server that ended within its head.
TEST(AReplyInTrouble, isLostIfItEndsAnywhereInItsHead)
{
    const std::string head = "HTTP/1.1 200 X\r\nX-Own: v\r\nContent-Length: 4\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        listen({closing(head.substr(0, cut))});
        CHECK(call().outcome == HttpReply::Outcome::Lost);
        listen({resetting(head.substr(0, cut))});
        CHECK(call().outcome == HttpReply::Outcome::Lost);
    }
}

// Guards against a body that the caller gets with the sizes of its chunks.
TEST(AnAttemptWithoutLength, isBrokenIfItsChunksHaveLostTheirHeaderField)
{
    checkFails(ResponseForm::PlainService, closing(std::string(kHead) + "4\r\ndone\r\n0\r\n\r\n"),
               FailureKind::Broken);
}

TEST(AReplyInTrouble, isLostIfItsChunksHaveLostTheirHeaderField)
{
    listen({closing(std::string(kHead) + "4\r\ndone\r\n0\r\n\r\n")});
    CHECK(call().outcome == HttpReply::Outcome::Lost);
}

// Guards against a sound body that is given up, as it looks like chunks at first sight.
TEST(AReplyInTrouble, mayHaveABodyThatOnlyBeginsLikeChunks)
{
    for (const char *body : {"4\r\ndone\r\n0\r\n", "4\r\ndone", "4\r\n", "0\r\n\r\nmore", "face"}) {
        listen({closing(std::string(kHead) + body)});
        checkIsAnswered(body);
    }
}
