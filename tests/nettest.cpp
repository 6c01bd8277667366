// Codecs and parsers of external input decode their own output and reject or survive any other
// bytes; also log lines, error responses and request metrics.
#include "kernel/logline.h"
#include "metrics/requestmetrics.h"
#include "net/httpfrontend.h"
#include "net/peercodec.h"
#include "net/problem.h"
#include "net/promptreader.h"
#include "net/sseparser.h"
#include "net/tablejson.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace arbutuspier;

namespace {

PeerMessage messageWith(PeerBody body)
{
    PeerMessage message;
    message.from = VmId{3};
    message.incarnation = Incarnation{99};
    message.limitsVersion = 7;
    message.shareEpoch = {7, 4};
    message.updates = {{VmId{2}, Incarnation{5}, 1, MemberState::Suspect}};
    message.body = std::move(body);
    return message;
}

std::vector<PeerBody> everyBodyKind()
{
    return {Ping{1, VmId{2}},
            PingAck{1, VmId{2}},
            PingRequest{1, VmId{2}},
            LimitsPush{{3, "e", "op", {{"saw", "ask", 1, 2, 3, 4}}}},
            LimitsPull{},
            ReservationNotices{{{ReservationId{1}, UpstreamId{2}, VmId{3}, Incarnation{4},
                                 Fingerprint{5}, std::chrono::seconds{6}, true}}},
            SuspectNotice{Fingerprint{1}, {2, 3}, CrashState::Cleared},
            ShareTransfer{1, {2, 3}, "row", 4},
            ShareTransferAck{1},
            ShareRequest{{1, 2}, "row", 3},
            DrainingNotice{UpstreamId{1}, Incarnation{2}},
            ServiceDebits{{{"ask", "saw", 5}}}};
}

} // namespace

TEST_GROUP(APeerMessage){};

TEST(APeerMessage, isUnchangedByEncodingAndDecoding)
{
    for (const PeerBody &body : everyBodyKind()) {
        const std::string bytes = encodePeerMessage(messageWith(body));
        const auto decoded = decodePeerMessage(bytes);
        CHECK(decoded.has_value());
        CHECK(encodePeerMessage(*decoded) == bytes);
    }
}

TEST(APeerMessage, canBeEncodedAgainIfItDecodesDespiteDamage)
{
    const bool isGood = rc::check("any damage", [](std::uint32_t seed) {
        const auto bodies = everyBodyKind();
        std::string bytes = encodePeerMessage(messageWith(bodies[seed % bodies.size()]));
        const std::size_t position = (seed / 16) % bytes.size();
        if (seed % 2 == 0)
            bytes.resize(position);
        else
            bytes[position] = static_cast<char>(seed >> 8);
        const auto decoded = decodePeerMessage(bytes);
        // A message that decodes must be complete enough to be encoded again.
        if (decoded)
            RC_ASSERT(encodePeerMessage(*decoded).size() > std::size_t{0});
    });
    CHECK(isGood);
}

TEST(APeerMessage, isRejectedIfItIsRandomBytes)
{
    const bool isGood = rc::check("any bytes", [](const std::string &bytes) {
        RC_ASSERT(!decodePeerMessage(bytes).has_value());
    });
    CHECK(isGood);
}

TEST_GROUP(APrompt){};

TEST(APrompt, hasTokenCountsAndPrefixBlocks)
{
    const std::string text(8'192, 'x');
    const auto prompt = readPrompt("{\"model\":\"grain\",\"max_tokens\":9,\"stream\":true,"
                                   "\"prompt\":\""
                                   + text + "\"}");
    CHECK(prompt.has_value());
    LONGS_EQUAL(2'048, prompt->promptTokens);
    LONGS_EQUAL(2, prompt->prefixBlocks.size());
    LONGS_EQUAL(9, prompt->maxTokens);
    CHECK(prompt->isStreaming);
}

TEST(APrompt, mayBeAnArrayOfMessages)
{
    const auto prompt = readPrompt(R"({"model":"m","messages":[{"role":"user","content":"abcd"},
                                       {"role":"user","content":[{"type":"text","text":"efgh"}]}]})");
    CHECK(prompt.has_value());
    LONGS_EQUAL(2, prompt->promptTokens);
}

TEST(APrompt, hasTheSameFirstDigestAsOneWithTheSameFirstBlock)
{
    const std::string begin(4'096, 'a');
    const auto one =
        readPrompt("{\"model\":\"m\",\"prompt\":\"" + begin + std::string(4'096, 'b') + "\"}");
    const auto two =
        readPrompt("{\"model\":\"m\",\"prompt\":\"" + begin + std::string(4'096, 'c') + "\"}");
    CHECK(one->prefixBlocks[0] == two->prefixBlocks[0]);
    CHECK(one->prefixBlocks[1] != two->prefixBlocks[1]);
}

TEST(APrompt, isRejectedWithAnErrorText)
{
    STRCMP_EQUAL("model: missing", readPrompt("{\"prompt\":\"x\"}").error().message.c_str());
    CHECK(readPrompt("{\"model\":\"m\"}").has_error());
    CHECK(readPrompt("{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}").has_error());
    CHECK(readPrompt("{\"model\":").has_error());
}

TEST(APrompt, neverBreaksTheParser)
{
    const bool isGood = rc::check("any text", [](const std::string &text) { readPrompt(text); });
    CHECK(isGood);
}

TEST_GROUP(AnEventStream){};

TEST(AnEventStream, hasTheSameEventsHoweverItsBytesArrive)
{
    const std::string stream =
        "id: 1\ndata: a\n\n: comment\n\ndata: b\ndata: c\n\nid: 3\r\ndata: d\n\n";
    const bool isGood = rc::check("any cuts", [&](const std::vector<std::uint8_t> &cuts) {
        SseParser parser;
        std::vector<std::string> seen;
        std::size_t from = 0;
        const auto drain = [&] {
            while (const auto event = parser.next())
                seen.push_back(std::to_string(event->id) + event->data);
        };
        for (std::uint8_t cut : cuts) {
            const std::size_t size = std::min<std::size_t>(cut % 9, stream.size() - from);
            parser.feed(std::string_view(stream).substr(from, size));
            from += size;
            drain();
        }
        parser.feed(std::string_view(stream).substr(from));
        drain();
        RC_ASSERT(seen == (std::vector<std::string>{"1a", "0", "0b\nc", "3d"}));
    });
    CHECK(isGood);
}

// Guards against events that are never passed on because their lines end with CR and LF.
TEST(AnEventStream, mayEndItsLinesWithCarriageReturns)
{
    SseParser parser;
    parser.feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r");
    const auto first = parser.next();
    CHECK(first.has_value());
    LONGS_EQUAL(1, first->id);
    STRCMP_EQUAL("a", first->data.c_str());
    CHECK(!parser.next().has_value());
    parser.feed("\n");
    const auto second = parser.next();
    CHECK(second.has_value());
    LONGS_EQUAL(2, second->id);
    STRCMP_EQUAL("b", second->data.c_str());
}

TEST_GROUP(ATableCall){};

TEST(ATableCall, isUnchangedByEncodingAndDecoding)
{
    const TableRequest write = TableTransaction{{{"k", 3, "v", false}, {"e", 1, "", true}}};
    const auto decoded = decodeTableRequest(encodeTableRequest(write));
    const auto &writes = std::get<TableTransaction>(*decoded).writes;
    LONGS_EQUAL(2, writes.size());
    CHECK(writes[1].isErase);
    const auto outcome = decodeTableOutcome(encodeTableOutcome(TableRows{{{"k", 4, "v"}}}));
    LONGS_EQUAL(4, std::get<TableRows>(outcome).rows[0].version);
}

TEST(ATableCall, hasAnUnknownOutcomeIfTheResponseIsInvalid)
{
    const bool isGood = rc::check("any text", [](const std::string &text) {
        RC_ASSERT(std::holds_alternative<TableUnknown>(decodeTableOutcome(text)));
    });
    CHECK(isGood);
    CHECK(std::holds_alternative<TableUnknown>(decodeTableOutcome("{\"outcome\":\"rows\"}")));
}

TEST_GROUP(ALogLine){};

TEST(ALogLine, staysOneLineWhateverItsValues)
{
    const bool isGood = rc::check("any value", [](const std::string &value) {
        const std::string text = LogLine("e").add("k", value).text();
        RC_ASSERT(text.find('\n') == std::string::npos);
        RC_ASSERT(text.rfind("event=e k=", 0) == 0);
    });
    CHECK(isGood);
    STRCMP_EQUAL("event=e k=\"a \\\"b\\\"\"", LogLine("e").add("k", "a \"b\"").text().c_str());
}

TEST_GROUP(AnIdempotencyKey){};

TEST(AnIdempotencyKey, startsWithItsIssueTime)
{
    WallTime time;
    CHECK(parseKeyIssueTime("1700000000-abc", time));
    CHECK(time == WallTime{std::chrono::seconds{1'700'000'000}});
    CHECK_FALSE(parseKeyIssueTime("abc", time));
    CHECK_FALSE(parseKeyIssueTime("-abc", time));
    CHECK_FALSE(parseKeyIssueTime("17-", time));
    CHECK_FALSE(parseKeyIssueTime("12x-abc", time));
}

TEST_GROUP(AProblem){};

TEST(AProblem, hasVerdictStatusAndRetryTime)
{
    const Problem problem{
        Verdict::NotRun, Reason::CannotMeetDeadline, {}, std::chrono::milliseconds{1'200}};
    LONGS_EQUAL(503, httpStatus(problem.reason));
    LONGS_EQUAL(2, retryAfterSeconds(problem));
    CHECK(problemJson(problem).find("\"verdict\":\"not-run\"") != std::string::npos);
}

TEST_GROUP(Metrics){};

TEST(Metrics, areBoundedAtAnyNumberOfTeams)
{
    RequestMetrics metrics(100);
    for (int i = 0; i < 20'000; ++i) {
        RequestEnded ended;
        ended.team = "team-" + std::to_string(i);
        ended.className = "ask";
        ended.promptTokens = 2'000;
        ended.tokens = 10;
        ended.verdict = Verdict::Ran;
        ended.timeToFirstToken = std::chrono::milliseconds{200};
        ended.total = std::chrono::milliseconds{400};
        metrics.record(ended);
    }
    CHECK(metrics.seriesCount() <= 101);
    CHECK(metrics.prometheus().find("team=\"other\"") != std::string::npos);
}

TEST(Metrics, countEachValueOnce)
{
    Histogram histogram;
    for (int i = 1; i <= 100; ++i)
        histogram.add(i / 100.0);
    LONGS_EQUAL(100, histogram.count());
    std::uint64_t sum = 0;
    for (std::uint64_t bucket : histogram.buckets())
        sum += bucket;
    LONGS_EQUAL(100, sum);
    DOUBLES_EQUAL(0.95, histogram.quantile(1), 0.05);
}
