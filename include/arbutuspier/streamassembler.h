// Assembles one complete response from attempts that may be late, retried or resumed.
#pragma once

#include "arbutuspier/ids.h"

#include <cstdint>

namespace arbutuspier {

/// Decides for each chunk of a response which part of it the caller still needs.
class StreamAssembler
{
public:
    enum class ChunkAction {
        /// Forward the chunk without its first `skip` units.
        Pass,
        /// Discard the chunk: it is of another attempt or already forwarded.
        Drop,
        /// Units are missing before this chunk; the attempt has to be resumed.
        Gap,
    };
    struct Decision
    {
        ChunkAction action = ChunkAction::Drop;
        std::uint64_t skip = 0;
    };

    /// Sets the current attempt; chunks of all others are dropped.
    void setAttempt(AttemptId attempt) { m_attempt = attempt; }

    /// Decides about a chunk of `count` units that starts at unit `offset` of the full response. If
    /// the chunk is passed, its units count as delivered.
    Decision offer(AttemptId attempt, std::uint64_t offset, std::uint64_t count)
    {
        if (attempt != m_attempt || offset + count <= m_delivered)
            return {ChunkAction::Drop, 0};
        if (offset > m_delivered)
            return {ChunkAction::Gap, 0};
        const std::uint64_t skip = m_delivered - offset;
        m_delivered = offset + count;
        return {ChunkAction::Pass, skip};
    }

    /// Units forwarded to the caller; a resumed attempt starts at this offset.
    std::uint64_t delivered() const { return m_delivered; }
    AttemptId attempt() const { return m_attempt; }

private:
    AttemptId m_attempt;
    std::uint64_t m_delivered = 0;
};

} // namespace arbutuspier
