// Streams joined from several runs, cut anywhere.
#include "arbutuspier/eventstreamjoiner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

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

} // namespace

TEST_GROUP(ASplicedStream)
{
    EventStreamJoiner splice{std::nullopt};
};

TEST(ASplicedStream, passesWholeEventsOnAsTheyCame)
{
    STRCMP_EQUAL(event(0).c_str(), splice.feed(event(0) + "id: 1\nda")->c_str());
    CHECK(!splice.isAtBoundary());
    STRCMP_EQUAL("id: 1\ndata: x\n\n", splice.feed("ta: x\n\n")->c_str());
    CHECK(splice.isAtBoundary());
}

TEST(ASplicedStream, dropsTheHalfEventOfABrokenRun)
{
    splice.feed(event(0) + "id: 1\ndata: ha");
    splice.beginAttempt();
    STRCMP_EQUAL(event(1).c_str(), splice.feed(event(1))->c_str());
}

TEST(ASplicedStream, dropsEventsThatTheCallerHas)
{
    splice.feed(events(0, 3));
    splice.beginAttempt();
    STRCMP_EQUAL(event(4).c_str(), splice.feed(events(2, 4))->c_str());
}

TEST(ASplicedStream, isSpoiledByASkippedEvent)
{
    splice.feed(events(0, 1));
    CHECK(!splice.feed(event(3)).has_value());
}

TEST(ASplicedStream, goesOnAfterWhatTheCallerNames)
{
    EventStreamJoiner resumed{12};
    STRCMP_EQUAL(event(13).c_str(), resumed.feed(events(12, 13))->c_str());
    LONGS_EQUAL(13, *resumed.lastId());
}

TEST(ASplicedStream, isWholeAndInOrderHoweverItsRunsAreCut)
{
    const bool holds = rc::check("every event once, in order", [] {
        const auto last = *rc::gen::inRange<std::uint64_t>(0, 20);
        EventStreamJoiner any{std::nullopt};
        std::string seen;
        const int breaks = *rc::gen::inRange(0, 4);
        for (int i = 0; i <= breaks; ++i) {
            const std::uint64_t next = any.lastId() ? *any.lastId() + 1 : 0;
            // A run may begin a little before what was asked for.
            const std::uint64_t back = std::min<std::uint64_t>(next, *rc::gen::inRange(0, 2));
            const std::string whole = events(next - back, last);
            const bool isLastRun = i == breaks;
            const std::size_t length =
                isLastRun ? whole.size() : *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
            any.beginAttempt();
            std::size_t at = 0;
            while (at < length) {
                const std::size_t step =
                    std::min(length - at, *rc::gen::inRange<std::size_t>(1, 60));
                const auto passed = any.feed(std::string_view(whole).substr(at, step));
                RC_ASSERT(passed.has_value());
                seen += *passed;
                at += step;
            }
        }
        RC_ASSERT(seen == events(0, last));
    });
    CHECK(holds);
}
