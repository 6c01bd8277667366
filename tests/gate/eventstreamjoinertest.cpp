// Tests the joining of an event stream from several attempts that break off anywhere.
#include "arbutuspier/eventstreamjoiner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace arbutuspier;

namespace {

std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

std::string events(std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (std::uint64_t id = from; id <= to; ++id)
        text += event(id);
    return text;
}

/// What a client dispatches of an event stream: the last id that it was given and the data.
struct DispatchedEvent
{
    std::string id;
    std::string data;
};

/// Takes the first line of a stream, which ends with CR, LF, or both.
std::string takeLine(std::string_view &stream)
{
    const std::size_t end = stream.find_first_of("\r\n");
    std::string line(stream.substr(0, end));
    stream.remove_prefix(end == std::string_view::npos ? stream.size() : end);
    stream.remove_prefix(stream.starts_with("\r\n") ? 2 : stream.empty() ? 0 : 1);
    return line;
}

/// Reads a stream as a client does.
std::vector<DispatchedEvent> dispatch(std::string_view stream)
{
    std::vector<DispatchedEvent> dispatched;
    DispatchedEvent next;
    while (!stream.empty()) {
        const std::string line = takeLine(stream);
        if (line.empty() && !next.data.empty())
            dispatched.push_back(next);
        if (line.empty())
            next.data.clear();
        const std::size_t colon = std::min(line.find(':'), line.size());
        std::string value = colon < line.size() ? line.substr(colon + 1) : std::string();
        if (value.starts_with(' '))
            value.erase(0, 1);
        if (line.substr(0, colon) == "id")
            next.id = value;
        if (line.substr(0, colon) == "data")
            next.data += value + '\n';
    }
    return dispatched;
}

/// A stream whose first attempt has one wrong byte. If that attempt is faulty, a sound one follows.
struct SpoiledStream
{
    std::string received;
    bool isComplete = false;

    SpoiledStream(std::string first, std::uint64_t last, std::size_t at, char byte)
    {
        first[at] = byte;
        EventStreamJoiner joiner{std::nullopt};
        JoinedEvents joined = joiner.feed(first);
        received = joined.events;
        isComplete = !joined.isFaulty && joiner.isAtEnd();
        if (isComplete || !joiner.canContinue())
            return;
        joiner.beginAttempt();
        joined = joiner.feed(events(joiner.lastId() ? *joiner.lastId() + 1 : 0, last));
        received += joined.events;
        isComplete = !joined.isFaulty && joiner.isAtEnd();
    }
};

} // namespace

TEST_GROUP(AnEventStreamJoiner)
{
    EventStreamJoiner joiner{std::nullopt};
};

TEST(AnEventStreamJoiner, forwardsCompleteEventsByteForByte)
{
    STRCMP_EQUAL(event(0).c_str(), joiner.feed(event(0) + "id: 1\nda").events.c_str());
    CHECK(!joiner.isAtEventBoundary());
    STRCMP_EQUAL("id: 1\ndata: x\n\n", joiner.feed("ta: x\n\n").events.c_str());
    CHECK(joiner.isAtEventBoundary());
}

// Guards against events that are never forwarded because their lines end with CR and LF.
TEST(AnEventStreamJoiner, forwardsEventsWhoseLinesEndWithCarriageReturns)
{
    const std::string first = "id: 0\r\ndata: x\r\n\r\n";
    STRCMP_EQUAL(first.c_str(), joiner.feed(first + "id: 1\r\ndata: x\r\n\r").events.c_str());
    CHECK(!joiner.isAtEventBoundary());
    STRCMP_EQUAL("id: 1\r\ndata: x\r\n\r\n", joiner.feed("\n").events.c_str());
    CHECK(joiner.isAtEventBoundary());
    LONGS_EQUAL(1, *joiner.lastId());
}

TEST(AnEventStreamJoiner, dropsTheIncompleteEventOfABrokenAttempt)
{
    joiner.feed(event(0) + "id: 1\ndata: ha");
    joiner.beginAttempt();
    STRCMP_EQUAL(event(1).c_str(), joiner.feed(event(1)).events.c_str());
}

TEST(AnEventStreamJoiner, dropsEventsThatTheCallerAlreadyHas)
{
    joiner.feed(events(0, 3));
    joiner.beginAttempt();
    STRCMP_EQUAL(event(4).c_str(), joiner.feed(events(2, 4)).events.c_str());
}

TEST(AnEventStreamJoiner, rejectsAnAttemptThatSkipsAnEvent)
{
    joiner.feed(events(0, 1));
    const JoinedEvents joined = joiner.feed(event(3));
    CHECK(joined.isFaulty);
    CHECK(joined.events.empty());
}

// Guards against a complete stream that lacks the events read together with a faulty one: the next
// attempt continues after them.
TEST(AnEventStreamJoiner, forwardsTheEventsThatCameBeforeASkippedOne)
{
    joiner.feed(events(0, 1));
    const JoinedEvents joined = joiner.feed(events(2, 3) + event(9));
    CHECK(joined.isFaulty);
    STRCMP_EQUAL(events(2, 3).c_str(), joined.events.c_str());
    LONGS_EQUAL(3, *joiner.lastId());
}

// The same, for one that is too long.
TEST(AnEventStreamJoiner, forwardsTheEventsThatCameBeforeAnOverlongOne)
{
    const std::string overlong = "id: 2\ndata: " + std::string(1024UL * 1024, 'x');
    const JoinedEvents joined = joiner.feed(events(0, 1) + overlong);
    CHECK(joined.isFaulty);
    STRCMP_EQUAL(events(0, 1).c_str(), joined.events.c_str());
}

// Guards against a last event that is taken for one which the caller has, as its id is too low.
TEST(AnEventStreamJoiner, rejectsAnAttemptThatGoesBack)
{
    joiner.feed(events(0, 4));
    CHECK(joiner.feed(event(3)).isFaulty);
    LONGS_EQUAL(4, *joiner.lastId());
}

// Guards against an event that the caller gets twice: as it is, and from the next attempt.
TEST(AnEventStreamJoiner, rejectsAnIdThatIsNoNumber)
{
    joiner.feed(events(0, 1));
    for (const char *id : {"x2", "2x", ""}) {
        EventStreamJoiner attempt = joiner;
        const JoinedEvents joined = attempt.feed("id: " + std::string(id) + "\ndata: x\n\n");
        CHECK(joined.isFaulty);
        CHECK(joined.events.empty());
    }
}

// Guards against a complete stream with a piece that comes twice: once without its id, as a replica
// spoiled the id field, and once more from the next attempt.
TEST(AnEventStreamJoiner, rejectsDataWithoutAnId)
{
    joiner.feed(events(0, 1));
    for (const char *line : {"iD: 2\n", ":d: 2\n", "id; 2\n", "\nd: 2\n", ""}) {
        EventStreamJoiner attempt = joiner;
        const JoinedEvents joined = attempt.feed(std::string(line) + "data: piece 2\n\n");
        CHECK(joined.isFaulty);
        CHECK(joined.events.empty());
    }
}

// Guards against a complete stream in which a client misses a piece, as it dispatches no event
// without data.
TEST(AnEventStreamJoiner, rejectsAnIdWithoutData)
{
    joiner.feed(events(0, 1));
    for (const char *line : {"Data: piece 2\n", ":ata: piece 2\n", "data; piece 2\n", ""}) {
        EventStreamJoiner attempt = joiner;
        const JoinedEvents joined = attempt.feed("id: 2\n" + std::string(line) + '\n');
        CHECK(joined.isFaulty);
        CHECK(joined.events.empty());
    }
}

// Guards against two events that are forwarded as one, as the empty line between them is spoiled:
// the second one would come again from the next attempt.
TEST(AnEventStreamJoiner, rejectsEventsWithoutAnEmptyLineBetweenThem)
{
    joiner.feed(events(0, 1));
    for (const char *between : {"\n", "\n:", "\nx", "\n\r"}) {
        EventStreamJoiner attempt = joiner;
        const JoinedEvents joined = attempt.feed("id: 2\ndata: piece 2" + std::string(between)
                                                 + "id: 3\ndata: piece 3\n\n");
        CHECK(joined.isFaulty);
        CHECK(joined.events.empty());
    }
}

// Guards against all of these at once: whichever byte of a stream is wrong, and whatever it is, a
// complete stream has each piece once and in order.
TEST(AnEventStreamJoiner, yieldsEachPieceOnceWhicheverByteOfAStreamIsSpoiled)
{
    constexpr std::uint64_t kLast = 3;
    constexpr int kByteValues = 256;
    const std::string sound = events(0, kLast);
    const std::vector<DispatchedEvent> pieces = dispatch(sound);
    for (std::size_t at = 0; at < sound.size(); ++at) {
        for (int value = 0; value < kByteValues; ++value) {
            const SpoiledStream stream(sound, kLast, at, static_cast<char>(value));
            if (!stream.isComplete)
                continue;
            const std::vector<DispatchedEvent> got = dispatch(stream.received);
            LONGS_EQUAL(pieces.size(), got.size());
            for (std::size_t i = 0; i < pieces.size(); ++i) {
                CHECK(!got[i].id.empty());
                // A blank may turn into a leading zero.
                LONGS_EQUAL(std::atol(pieces[i].id.c_str()), std::atol(got[i].id.c_str()));
            }
        }
    }
}

// Guards against a stream that is given up for what is no piece, or for a field that is new.
TEST(AnEventStreamJoiner, forwardsCommentsAndFieldsThatPrecedeAnEvent)
{
    const std::string text = ": still here\n\nretry: 100\n\n: one\nx-new: 3\nid: 0\nevent: a\n"
                             "data: x\ndata\n\n";
    const JoinedEvents joined = joiner.feed(text);
    CHECK(!joined.isFaulty);
    STRCMP_EQUAL(text.c_str(), joined.events.c_str());
    LONGS_EQUAL(0, *joiner.lastId());
}

// Guards against a complete stream without its last event, after an attempt that went wrong.
TEST(AnEventStreamJoiner, isNotAtItsEndBeforeAnEventThatTheCallerHas)
{
    joiner.feed(events(0, 11));
    joiner.beginAttempt();
    CHECK(joiner.isAtEnd());
    CHECK(joiner.feed(event(2)).events.empty());
    CHECK(!joiner.isAtEnd());
}

// Guards against a stream that continues after the wrong id of its first event.
TEST(AnEventStreamJoiner, doesNotContinueAfterAFirstEventWhoseIdIsWrong)
{
    EventStreamJoiner whole{std::nullopt};
    CHECK(whole.feed(event(7) + event(1)).events.empty());
    CHECK(whole.canContinue());
    CHECK(!whole.lastId());

    joiner.feed(event(7));
    CHECK(joiner.feed(event(1)).isFaulty);
    CHECK(!joiner.canContinue());
}

// Guards against a stream that begins once more, as a comment is taken for the first event.
TEST(AnEventStreamJoiner, doesNotContinueAfterAFirstEventWhoseIdIsWrongBeforeAComment)
{
    joiner.feed(event(7));
    CHECK(joiner.feed(": still here\n\n" + event(1)).isFaulty);
    CHECK(!joiner.canContinue());
}

// Guards against a stream that is broken off though the id of its first event was right.
TEST(AnEventStreamJoiner, continuesAfterItsFirstEventIfALaterAttemptRepeatsIt)
{
    joiner.feed(event(0));
    joiner.beginAttempt();
    CHECK(joiner.feed(event(0) + event(0)).isFaulty);
    CHECK(joiner.canContinue());
    LONGS_EQUAL(0, *joiner.lastId());
}

TEST(AnEventStreamJoiner, continuesAfterTheLastIdOfTheCaller)
{
    EventStreamJoiner resumed{12};
    STRCMP_EQUAL(event(13).c_str(), resumed.feed(events(12, 13)).events.c_str());
    LONGS_EQUAL(13, *resumed.lastId());
}

TEST(AnEventStreamJoiner, yieldsEachEventOnceAndInOrderWhereverAttemptsBreakOff)
{
    const bool holds = rc::check("every event once, in order", [] {
        const auto last = *rc::gen::inRange<std::uint64_t>(0, 20);
        EventStreamJoiner interruptedJoiner{std::nullopt};
        std::string received;
        const int breaks = *rc::gen::inRange(0, 4);
        for (int i = 0; i <= breaks; ++i) {
            const std::uint64_t next =
                interruptedJoiner.lastId() ? *interruptedJoiner.lastId() + 1 : 0;
            // An attempt may start one event earlier than requested.
            const std::uint64_t repeatedEvents =
                std::min<std::uint64_t>(next, *rc::gen::inRange(0, 2));
            const std::string stream = events(next - repeatedEvents, last);
            const bool isLastAttempt = i == breaks;
            const std::size_t length = isLastAttempt
                ? stream.size()
                : *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
            interruptedJoiner.beginAttempt();
            std::size_t at = 0;
            while (at < length) {
                const std::size_t step =
                    std::min(length - at, *rc::gen::inRange<std::size_t>(1, 60));
                const auto forwarded =
                    interruptedJoiner.feed(std::string_view(stream).substr(at, step));
                RC_ASSERT(!forwarded.isFaulty);
                received += forwarded.events;
                at += step;
            }
        }
        RC_ASSERT(received == events(0, last));
    });
    CHECK(holds);
}
