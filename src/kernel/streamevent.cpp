// Names are matched exactly: they are case-sensitive in event streams.
#include "kernel/streamevent.h"

#include <algorithm>
#include <charconv>

namespace arbutuspier {

namespace {

struct Line
{
    std::string_view name;
    std::string_view value;
    bool hasColon = false;

    bool isBlank() const { return name.empty() && !hasColon; }
    /// Whether the standard names this field.
    bool isField() const
    {
        return name == "id" || name == "data" || name == "event" || name == "retry";
    }
};

/// Removes the first line from `text`, which is not empty.
Line takeLine(std::string_view &text)
{
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {line, {}, false};
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return {line.substr(0, colon), value, true};
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    const bool isNumber = error == std::errc{} && rest == end;
    return isNumber ? std::optional(number) : std::nullopt;
}

} // namespace

StreamEvent readStreamEvent(std::string_view text)
{
    StreamEvent event;
    bool hasField = false;
    while (!text.empty()) {
        const Line line = takeLine(text);
        if (line.isBlank())
            continue;
        if (!line.isField()) {
            event.isWellFormed = event.isWellFormed && line.hasColon && !hasField;
            continue;
        }
        hasField = true;
        if (line.name == "data")
            event.data.push_back(line.value);
        if (line.name != "id")
            continue;
        const bool isSecond = event.id.has_value();
        event.id = parseNumber(line.value);
        event.isWellFormed = event.isWellFormed && !isSecond && event.id;
    }
    event.isWellFormed = event.isWellFormed && (!event.id || !event.data.empty());
    return event;
}

} // namespace arbutuspier
