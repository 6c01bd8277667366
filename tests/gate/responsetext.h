// Text of responses and event streams, as replicas send them and callers get them.
#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace arbutuspier::gatetest {

/// One chunk of a body with the chunked transfer coding.
inline std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// The status of a response; zero if there is none.
inline int statusOf(const std::string &response)
{
    return response.size() > 12 ? std::stoi(response.substr(9, 3)) : 0;
}

inline bool isAnswered(const std::string &response)
{
    return statusOf(response) == 200;
}

inline bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace arbutuspier::gatetest
