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

        /// Records that the holder has `bytes` now. False if it must be given up.
        bool resize(std::size_t bytes)
        {
            m_budget.m_used += bytes - m_bytes;
            m_budget.m_peak = std::max(m_budget.m_peak, m_budget.m_used);
            m_bytes = bytes;
            return m_budget.allows(bytes);
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
    /// Whether a holder may have `bytes`, which `m_used` includes.
    bool allows(std::size_t bytes) const
    {
        if (m_used <= m_options.maxBytes)
            return true;
        return bytes <= m_options.smallBytes
            && m_used - m_options.maxBytes <= m_options.smallExtraBytes;
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
