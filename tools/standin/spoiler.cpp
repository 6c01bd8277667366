// A response that is spoiled twice would be noticed for either reason, so each gets one fault.
#include "spoiler.h"

#include <vector>

namespace arbutuspier::standin {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Where the names of the head's fields begin.
std::vector<std::size_t> fieldStarts(std::string_view head)
{
    std::vector<std::size_t> starts;
    for (std::size_t at = head.find(kLineEnd); at < head.find(kHeadEnd);
         at = head.find(kLineEnd, at + 1))
        starts.push_back(at + kLineEnd.size());
    return starts;
}

} // namespace

bool Spoiler::isDue()
{
    return m_oneIn != 0 && below(m_oneIn) == 0;
}

std::size_t Spoiler::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

std::string Spoiler::spoilHead(std::string head)
{
    enum Fault { Status, FoldedLine, ControlByte, Cut, FaultCount };
    constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t kControlBytes = 0x20;
    const std::vector<std::size_t> starts = fieldStarts(head);
    const std::size_t field = starts[below(starts.size())];
    const std::size_t nameSize = head.find(':', field) - field;
    switch (below(FaultCount)) {
    case Status:
        return head.replace(kStatusAt, 3, "000");
    case FoldedLine:
        head[field] = below(2) == 0 ? ' ' : '\t';
        return head;
    case ControlByte:
        head[field + below(nameSize)] = static_cast<char>(below(kControlBytes));
        return head;
    default:
        return head.substr(0, below(head.size()));
    }
}

std::string Spoiler::spoilEvent(std::string event)
{
    constexpr std::string_view kDataField = "data:";
    constexpr std::size_t kByteValues = 256;
    const std::size_t dataValue = event.find(kDataField) + kDataField.size();
    const std::size_t dataEnd = event.find('\n', dataValue);
    while (true) {
        const std::size_t at = below(event.size());
        const char byte = static_cast<char>(below(kByteValues));
        const bool isInData = at >= dataValue && at < dataEnd;
        // A blank before an id may turn into a leading zero, which changes nothing.
        const bool isHarmless = event[at] == byte || (event[at] == ' ' && byte == '0');
        if (isInData || isHarmless)
            continue;
        event[at] = byte;
        return event;
    }
}

} // namespace arbutuspier::standin
