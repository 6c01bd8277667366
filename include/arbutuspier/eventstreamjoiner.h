// Joins the attempts of one event stream into complete events, each id once and in order.
//
// An attempt may break off anywhere. An incomplete event at its end is dropped, and the next
// attempt continues after the last complete event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

class EventStreamJoiner
{
public:
    /// `lastId` is the id of the last event that the caller already has, if any.
    explicit EventStreamJoiner(std::optional<std::uint64_t> lastId)
        : m_lastId(lastId)
    {
    }

    /// Begins a new attempt and drops the incomplete event of the previous one.
    void beginAttempt() { m_pending.clear(); }

    /// Adds bytes of the current attempt and returns the events to forward, byte for byte. Empty if
    /// an event exceeds 1 MiB or skips an id; the attempt is unusable from then on.
    std::optional<std::string> feed(std::string_view bytes);

    /// Returns whether the bytes of the current attempt end with a complete event.
    bool isAtEventBoundary() const { return m_pending.empty(); }
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

    std::string m_pending;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace arbutuspier
