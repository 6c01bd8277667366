// When one of several VMs reads what all of them want to know.
//
// VMs tell each other what they read, so each may read less often the more of them there are. Each
// keeps a phase of its own, drawn at its start, as all may start at once: if news made all read at
// once and start anew, they would be in step from then on, and nobody would read for most of an
// interval.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/random.h"

#include <algorithm>
#include <cstddef>

namespace arbutuspier {

struct SharedPollIntervalOptions
{
    /// Time between reads of a VM that hears of no other reader.
    Duration alone{};
    /// How much longer that is for each reader there is.
    double factorPerReader = 0;
    Duration longest{};
};

class SharedPollInterval
{
public:
    explicit SharedPollInterval(SharedPollIntervalOptions options)
        : m_options(options)
    {
    }

    /// Mean time between reads where `readers` VMs read.
    Duration interval(std::size_t readers) const
    {
        const double factor =
            std::max(1.0, m_options.factorPerReader * static_cast<double>(readers));
        return std::min(fromSeconds(factor * toSeconds(m_options.alone)), m_options.longest);
    }

    /// When to read next, after a read at `now`. Reads that news ask for do not move it.
    TimePoint next(TimePoint now, std::size_t readers, Random &random)
    {
        const bool isFirst = m_next == TimePoint{};
        if (isFirst)
            m_next = now + fromSeconds(uniform(random) * toSeconds(interval(readers)));
        else if (m_next <= now)
            m_next = now + jittered(random, interval(readers));
        return m_next;
    }

private:
    SharedPollIntervalOptions m_options;
    TimePoint m_next{};
};

} // namespace arbutuspier
