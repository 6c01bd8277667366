// Makes one whole answer out of attempts that may be late, repeated or resumed.
#pragma once

#include "arbutuspier/ids.h"

#include <cstdint>

namespace arbutuspier {

/// Decides for each piece of an answer which part of it the caller still needs.
class StreamAssembler
{
public:
    enum class ChunkAction {
        /// Pass on the piece without its first `skip` units.
        Pass,
        /// Another attempt's, or already passed on.
        Drop,
        /// Units are missing before this piece: the attempt has to be resumed.
        Gap,
    };
    struct Decision
    {
        ChunkAction take = ChunkAction::Drop;
        std::uint64_t skip = 0;
    };

    /// From now on only this attempt's pieces count.
    void setAttempt(AttemptId attempt) { m_attempt = attempt; }

    /// Judges a piece that starts at unit `offset` of the whole answer, and counts what is passed.
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

    /// Units passed on; a resume starts here.
    std::uint64_t delivered() const { return m_delivered; }
    AttemptId attempt() const { return m_attempt; }

private:
    AttemptId m_attempt;
    std::uint64_t m_delivered = 0;
};

} // namespace arbutuspier
