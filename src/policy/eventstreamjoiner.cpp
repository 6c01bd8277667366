// Forwards events byte for byte and parses only their ids.
#include "arbutuspier/eventstreamjoiner.h"

#include "kernel/eventend.h"

#include <algorithm>
#include <charconv>

namespace arbutuspier {

namespace {

constexpr std::string_view kIdField = "id:";

/// The number in the event's `id` field; empty if the field is missing or not a number.
std::optional<std::uint64_t> eventId(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (line.substr(0, kIdField.size()) != kIdField)
            continue;
        line.remove_prefix(kIdField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc{} ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> EventStreamJoiner::feed(std::string_view bytes)
{
    m_pending += bytes;
    std::string completeEvents;
    std::size_t start = 0;
    while (true) {
        const std::size_t next = endOfEvent(m_pending, start);
        if (next == std::string_view::npos)
            break;
        const std::string_view event(m_pending.data() + start, next - start);
        start = next;
        const std::optional<std::uint64_t> id = eventId(event);
        const bool isDuplicate = id && m_lastId && *id <= *m_lastId;
        if (isDuplicate)
            continue;
        const bool skipsAnId = id && m_lastId && *id > *m_lastId + 1;
        if (skipsAnId)
            return std::nullopt;
        if (id)
            m_lastId = id;
        completeEvents += event;
    }
    m_pending.erase(0, start);
    if (m_pending.size() > kMaxEventBytes)
        return std::nullopt;
    return completeEvents;
}

} // namespace arbutuspier
