// Reads the fields `id` and `data`; other fields and comments are ignored.
#include "net/sseparser.h"

#include "kernel/eventend.h"

#include <charconv>

namespace arbutuspier {

namespace {

constexpr std::size_t kCompactionBytes = 64 * 1024;

std::string_view fieldValue(std::string_view line, std::string_view name)
{
    line.remove_prefix(name.size() + 1);
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

bool isField(std::string_view line, std::string_view name)
{
    return line.size() > name.size() && line.compare(0, name.size(), name) == 0
        && line[name.size()] == ':';
}

} // namespace

std::optional<SseEvent> SseParser::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_unparsedStart);
    const std::size_t end = endOfEvent(rest, 0);
    if (end == std::string_view::npos)
        return std::nullopt;
    SseEvent event;
    std::string_view block = rest.substr(0, end);
    while (!block.empty()) {
        const std::size_t newline = block.find('\n');
        std::string_view line = block.substr(0, newline);
        block.remove_prefix(newline == std::string_view::npos ? block.size() : newline + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (isField(line, "id")) {
            const std::string_view value = fieldValue(line, "id");
            std::from_chars(value.data(), value.data() + value.size(), event.id);
        } else if (isField(line, "data")) {
            if (!event.data.empty())
                event.data += '\n';
            event.data += fieldValue(line, "data");
        }
    }
    m_unparsedStart += end;
    if (m_unparsedStart >= kCompactionBytes) {
        m_buffer.erase(0, m_unparsedStart);
        m_unparsedStart = 0;
    }
    return event;
}

} // namespace arbutuspier
