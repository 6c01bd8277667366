// Bounds the memory of all requests, or of all responses, that are held whole, so that slow or
// faulty replicas and callers can't take the memory of a VM together.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

namespace arbutuspier {

struct MemoryBudgetOptions
{
    /// All holders together.
    std::size_t maxBytes = 0;
    /// A holder of up to this size may go beyond `maxBytes`, so that a few large ones don't keep
    /// out all others.
    std::size_t smallBytes = 0;
    /// How far small holders may go beyond `maxBytes`, together.
    std::size_t smallExtraBytes = std::numeric_limits<std::size_t>::max();
};

class MemoryBudget
{
public:
    explicit MemoryBudget(MemoryBudgetOptions options)
        : m_options(options)
    {
    }

    /// The part of one holder, given back by the destructor. The budget must outlive it.
    class Share
    {
    public:
        explicit Share(MemoryBudget &budget)
            : m_budget(budget)
        {
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share() { m_budget.m_used -= m_bytes; }

        /// Records that the holder has `bytes` now. Returns false and records nothing if there is
        /// no room: the holder must be given up.
        bool resize(std::size_t bytes)
        {
            const std::size_t used = m_budget.m_used - m_bytes + bytes;
            if (!m_budget.allows(used, bytes))
                return false;
            m_budget.m_used = used;
            m_budget.m_peak = std::max(m_budget.m_peak, used);
            m_bytes = bytes;
            return true;
        }

    private:
        MemoryBudget &m_budget;
        std::size_t m_bytes = 0;
    };

    void setOptions(MemoryBudgetOptions options) { m_options = options; }
    /// Bytes of all holders now.
    std::size_t used() const { return m_used; }
    /// The most that they have had at a time.
    std::size_t peak() const { return m_peak; }

private:
    /// Whether all holders may have `used` bytes, and one of them `bytes` of these.
    bool allows(std::size_t used, std::size_t bytes) const
    {
        if (used <= m_options.maxBytes)
            return true;
        return bytes <= m_options.smallBytes
            && used - m_options.maxBytes <= m_options.smallExtraBytes;
    }

    MemoryBudgetOptions m_options;
    /// Invariant: the sum of all shares.
    std::size_t m_used = 0;
    std::size_t m_peak = 0;
};

/// Memory for the bodies of callers' requests on a VM with `vmBytes`; zero if that isn't known.
MemoryBudgetOptions requestMemoryOf(std::size_t vmBytes);
/// Memory for responses that are collected whole before they are sent.
MemoryBudgetOptions responseMemoryOf(std::size_t vmBytes);

} // namespace arbutuspier
