// Quotes and escapes values so that each event stays on one line and each pair can be parsed.
#include "kernel/logline.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace arbutuspier {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte <= kFirstPrintable || byte == kDelete || c == '"' || c == '='
                   || c == '\\';
           });
}

void appendEscaped(std::string &out, char c)
{
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
    } else if (byte < kFirstPrintable || byte == kDelete) {
        std::array<char, 8> code{};
        std::snprintf(code.data(), code.size(), "\\x%02x", byte);
        out += code.data();
    } else {
        out += c;
    }
}

} // namespace

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty())
        m_text += ' ';
    m_text += key;
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (char c : value)
        appendEscaped(m_text, c);
    m_text += '"';
    return *this;
}

LogLine &LogLine::addSeconds(std::string_view key, double seconds)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6f", seconds);
    return add(key, std::string_view(text.data()));
}

} // namespace arbutuspier
