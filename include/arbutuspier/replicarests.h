// Replicas that turned a request of this VM away and asked it to send none for some time.
//
// A rest is an order to this VM alone, so that VMs don't tell each other. Unlike an ejection it
// holds even if no other replica is left: what only resting replicas could serve is refused.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace arbutuspier {

struct ReplicaRestOptions
{
    /// A longer rest is cut to this.
    Duration maxRest = std::chrono::hours{1};
    /// Control requests that a replica may get within one rest: orders on reserved memory, and
    /// questions whether it still runs.
    std::uint32_t maxControlRequests = 2;
};

class ReplicaRests
{
public:
    explicit ReplicaRests(ReplicaRestOptions options)
        : m_options(options)
    {
    }

    /// The replica asks for a rest from now on. A rest that ends later is kept. Returns false if
    /// the rest is zero or negative, and so no rest.
    bool onRest(const ReplicaIncarnation &incarnation, Duration rest, TimePoint now);
    /// End of the replica's rest; empty if it isn't resting.
    std::optional<TimePoint> restEnd(const ReplicaIncarnation &incarnation, TimePoint now) const;
    bool isResting(const ReplicaIncarnation &incarnation, TimePoint now) const
    {
        return restEnd(incarnation, now).has_value();
    }
    /// Counts a control request to the replica. False if it must not be sent, as the replica rests
    /// and has got as many as it may.
    bool tryControlRequest(const ReplicaIncarnation &incarnation, TimePoint now);
    std::size_t restingCount(TimePoint now) const;
    void tick(TimePoint now);

private:
    struct Rest
    {
        TimePoint end{};
        std::uint32_t controlRequests = 0;
    };

    ReplicaRestOptions m_options;
    std::map<ReplicaIncarnation, Rest> m_rests;
};

} // namespace arbutuspier
