// Reads the fields `id` and `data`; other fields and comments are ignored.
#include "net/sseparser.h"

#include "kernel/eventend.h"
#include "kernel/streamevent.h"

namespace arbutuspier {

namespace {

constexpr std::size_t kCompactionBytes = 64 * 1024;

std::string joinLines(const std::vector<std::string_view> &lines)
{
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (i > 0)
            text += '\n';
        text += lines[i];
    }
    return text;
}

} // namespace

std::optional<SseEvent> SseParser::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_unparsedStart);
    const std::size_t end = endOfEvent(rest, 0);
    if (end == std::string_view::npos)
        return std::nullopt;
    const StreamEvent fields = readStreamEvent(rest.substr(0, end));
    SseEvent event{fields.id.value_or(0), joinLines(fields.data), !fields.isWellFormed};
    m_unparsedStart += end;
    if (m_unparsedStart >= kCompactionBytes) {
        m_buffer.erase(0, m_unparsedStart);
        m_unparsedStart = 0;
    }
    return event;
}

} // namespace arbutuspier
