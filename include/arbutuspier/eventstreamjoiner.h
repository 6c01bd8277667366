// Joins the attempts of one event stream into complete events, each id once and in order.
//
// An attempt may break off anywhere. An incomplete event at its end is dropped, and the next
// attempt continues after the last complete event. An attempt whose ids are not consecutive, or
// with an event that lacks its id or its data, is faulty from that event on; what came before it is
// forwarded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

/// What an attempt yielded.
struct JoinedEvents
{
    /// Complete events to forward, byte for byte.
    std::string events;
    /// What follows them is faulty: the attempt is unusable from there on.
    bool isFaulty = false;
};

class EventStreamJoiner
{
public:
    /// `lastId` is the id of the last event that the caller already has, if any.
    explicit EventStreamJoiner(std::optional<std::uint64_t> lastId)
        : m_lastId(lastId)
    {
    }

    /// Begins a new attempt and drops the incomplete event of the previous one.
    void beginAttempt();

    /// Adds bytes of the current attempt. An event is faulty if it exceeds 1 MiB, skips an id,
    /// repeats one of the same attempt or has one that is no number, if it has only one of an id
    /// and data, or if it is malformed. One with neither, such as a comment, is forwarded.
    JoinedEvents feed(std::string_view bytes);

    /// Returns whether the bytes of the current attempt end with a complete event.
    bool isAtEventBoundary() const { return m_pending.empty(); }
    /// Returns whether the stream may be complete here: at an event boundary, and not before an
    /// event that was forwarded already.
    bool isAtEnd() const;
    /// False if the only id that was forwarded turned out to be wrong, so that it isn't known where
    /// another attempt would have to continue.
    bool canContinue() const { return !m_isLastIdWrong; }
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

    /// What to do with an event.
    enum class Verdict : std::uint8_t { Forward, Drop, Faulty, OutOfOrder };

    /// Judges the next event of the attempt, and records its id if it is sound.
    Verdict judge(std::string_view event);
    /// The event after the stream's first one is lower. Drops the first one if it is among
    /// `events`, and otherwise records that its id was wrong.
    void discardFirstId(std::string &events, bool wasForwarded);

    std::string m_pending;
    /// Id of the last event that the caller has or is to get.
    std::optional<std::uint64_t> m_lastId;
    /// Id of the last event of the current attempt.
    std::optional<std::uint64_t> m_attemptId;
    /// `m_lastId` comes from the first event of the stream and of the current attempt: nothing
    /// confirms it yet.
    bool m_isLastIdUnconfirmed = false;
    bool m_isLastIdWrong = false;
};

} // namespace arbutuspier
