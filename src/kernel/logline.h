// Builds one log line of key=value pairs. Values that are empty or contain blanks, quotes, equals
// signs, backslashes or control characters are quoted and escaped.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutuspier {

class LogLine
{
public:
    explicit LogLine(std::string_view event) { add("event", event); }

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    LogLine &add(std::string_view key, std::uint64_t value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }
    LogLine &addSeconds(std::string_view key, double seconds);

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace arbutuspier
