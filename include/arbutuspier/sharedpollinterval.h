// Schedules the polls of one of several VMs that poll the same data.
//
// VMs report to each other what they read, so each may poll less often the more of them there are.
// Each has a random phase, drawn at its first poll, as all may start at once. A poll caused by a
// reported change does not shift the phase: otherwise a change reported to all VMs would put their
// polls in step, and no VM would poll for most of each interval.
//
// A VM may rely on the others only as long as it hears that they poll: peers that have lost the
// data may learn that later than this VM would have to poll in their place.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/random.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace arbutuspier {

struct SharedPollIntervalOptions
{
    /// Mean time between polls of a VM that knows of no other reader.
    Duration baseInterval{};
    /// The interval is multiplied by this times the number of readers, but by no less than 1.
    double factorPerReader = 0;
    /// Upper bound of the mean time between polls.
    Duration maxInterval{};
    /// Time without a poll of any VM after which a VM that relies on others polls itself; up to a
    /// third longer by chance, so that not all do so together.
    std::optional<Duration> maxReadAge;
};

class SharedPollInterval
{
public:
    explicit SharedPollInterval(SharedPollIntervalOptions options)
        : m_options(options)
    {
    }

    /// Mean time between polls of one VM if `readers` VMs poll, this one included.
    Duration interval(std::size_t readers) const
    {
        const double factor =
            std::max(1.0, m_options.factorPerReader * static_cast<double>(readers));
        return std::min(fromSeconds(factor * toSeconds(m_options.baseInterval)),
                        m_options.maxInterval);
    }

    /// How long the next long poll waits for a change: a random time that is the interval on
    /// average. A change ends the long polls of all VMs together; with equal waits they would stay
    /// in step, and no VM would notice for a whole wait that the connections fell silent.
    Duration longPollWait(std::size_t readers, Random &random) const
    {
        constexpr double kMaxPerMean = 2.0;
        return fromSeconds(kMaxPerMean * uniform(random) * toSeconds(interval(readers)));
    }

    /// Whether a VM polls less often because there are other readers.
    bool reliesOnPeers(std::size_t readers) const
    {
        return interval(readers) > m_options.baseInterval;
    }

    /// This VM or another one has polled, and reports what it read.
    void onRead(TimePoint now) { m_lastReadAt = std::max(m_lastReadAt, now); }

    /// Time from which this VM must poll, unless another one has by then.
    TimePoint staleAt() const
    {
        const bool isLimited = m_reliesOnPeers && m_options.maxReadAge;
        return isLimited ? m_lastReadAt + m_ownMaxReadAge : TimePoint::max();
    }

    /// Time of the next regular poll, after a poll at `now`. Polls before that time do not move it.
    TimePoint nextPoll(TimePoint now, std::size_t readers, Random &random)
    {
        m_reliesOnPeers = reliesOnPeers(readers);
        drawReadAge(random);
        onRead(now);
        const bool isFirst = m_nextPoll == TimePoint{};
        if (isFirst)
            m_nextPoll = now + fromSeconds(uniform(random) * toSeconds(interval(readers)));
        else if (m_nextPoll <= now)
            m_nextPoll = now + jittered(random, interval(readers));
        return m_nextPoll;
    }

private:
    void drawReadAge(Random &random)
    {
        constexpr double kMaxLonger = 0.33;
        const double factor = 1 + kMaxLonger * uniform(random);
        if (m_options.maxReadAge)
            m_ownMaxReadAge = fromSeconds(factor * toSeconds(*m_options.maxReadAge));
    }

    SharedPollIntervalOptions m_options;
    TimePoint m_nextPoll{};
    TimePoint m_lastReadAt{};
    Duration m_ownMaxReadAge{};
    /// The time until the next poll was drawn in view of other readers, who may have been lost
    /// since.
    bool m_reliesOnPeers = false;
};

} // namespace arbutuspier
