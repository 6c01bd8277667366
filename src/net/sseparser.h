// Splits a server-sent event stream into events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

struct SseEvent
{
    /// The number in the `id` field; zero if there is none.
    std::uint64_t id = 0;
    std::string data;
    /// What came is no event of a sound upstream (see StreamEvent).
    bool isFaulty = false;
};

class SseParser
{
public:
    /// Adds bytes of the stream.
    void feed(std::string_view bytes) { m_buffer += bytes; }

    /// Removes and returns the next complete event; empty if more bytes are needed for it.
    std::optional<SseEvent> next();

    /// True if an incomplete event is larger than any that an upstream sends.
    bool isOverlong() const { return m_buffer.size() - m_unparsedStart > kMaxEventBytes; }

private:
    static constexpr std::size_t kMaxEventBytes = 4 * 1024 * 1024;

    std::string m_buffer;
    /// Where the unparsed bytes of m_buffer start. Invariant: at most m_buffer.size().
    std::size_t m_unparsedStart = 0;
};

} // namespace arbutuspier
