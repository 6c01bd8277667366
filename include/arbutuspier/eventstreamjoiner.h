// Joins the runs of one event stream: whole events only, each id once and in order.
//
// A run may break off anywhere. What was cut in the middle of an event is dropped, and the next run
// goes on after the last event that was passed on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

class EventStreamJoiner
{
public:
    /// `lastId` is the id of the last event that the caller has already, if any.
    explicit EventStreamJoiner(std::optional<std::uint64_t> lastId)
        : m_lastId(lastId)
    {
    }

    /// A new run begins; the unfinished event of the last one is dropped.
    void beginAttempt() { m_pending.clear(); }

    /// Adds bytes of the present run and returns the events to pass on, as they came.
    /// Empty optional if an event is overlong or skips an id, which spoils the run.
    std::optional<std::string> feed(std::string_view bytes);

    /// True if the present run ends with a whole event.
    bool isAtBoundary() const { return m_pending.empty(); }
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

    std::string m_pending;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace arbutuspier
