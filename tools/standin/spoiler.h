// Puts wrong bytes into some of a replica's responses, such as a gateway can notice.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace arbutuspier::standin {

class Spoiler
{
public:
    explicit Spoiler(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// From now on one response in `count` is spoiled; none if it is zero.
    void setOneIn(std::uint64_t count) { m_oneIn = count; }
    /// Whether the next response is to be spoiled.
    bool isDue();
    /// A number below `bound`.
    std::size_t below(std::size_t bound);

    /// Returns the head with a status that HTTP doesn't know, with a blank or a control byte in the
    /// name of a field, or without its end.
    std::string spoilHead(std::string head);
    /// Returns the event with one wrong byte, anywhere but in the value of its data.
    std::string spoilEvent(std::string event);

private:
    std::mt19937_64 m_random;
    std::uint64_t m_oneIn = 0;
};

} // namespace arbutuspier::standin
