// One VM's share of the requests that a replica takes from all VMs together.
//
// The VMs that use the replica are ranked by the rendezvous hash of VM and replica. The first few
// own an equal share each, the others none, so that the buckets of all owners together hold no more
// than the burst that the replica takes. VMs that know the same names agree on this without
// messages, also while they don't hear each other. A VM that is down leaves its share unused.
//
// A share is a token bucket that is empty at first, so that a VM that restarts doesn't spend what
// its previous incarnation has spent already.
#pragma once

#include "arbutuspier/clock.h"

#include <span>
#include <string>
#include <string_view>

namespace arbutuspier {

/// What a replica takes from all VMs together.
struct SharedRequestRate
{
    /// Requests a second.
    double perSecond = 0;
    /// Requests that may come at once; the buckets of all owners hold no more.
    double burst = 0;
};

class RequestShare
{
public:
    /// Empties the bucket.
    void begin(TimePoint now);
    /// Computes the share of `ownVm` among the VMs that use the replica. `vms` may lack it.
    void update(const SharedRequestRate &rate, std::string_view ownVm, std::string_view replicaId,
                std::span<const std::string> vms, TimePoint now);
    /// Leaves this VM without a share.
    void clear(TimePoint now);
    /// Adds the tokens of the time since the last call. The bucket may then hold more than its
    /// capacity until `trim`, as the capacity may be about to change.
    void refill(TimePoint now);
    /// Drops the tokens that the bucket can't hold.
    void trim();
    /// Takes the token of a request, if there is one.
    void take();

    bool hasToken() const { return m_tokens >= 1; }
    bool isOwner() const { return m_perSecond > 0; }
    /// This VM's share in requests a second; zero if it has none.
    double perSecond() const { return m_perSecond; }
    /// Time until the bucket holds a whole token. Only for owners.
    Duration timeToToken() const;
    TimePoint updatedAt() const { return m_updatedAt; }

private:
    double m_perSecond = 0;
    /// Of the bucket, in requests; zero without a share.
    double m_capacity = 0;
    double m_tokens = 0;
    TimePoint m_refilledAt{};
    TimePoint m_updatedAt{};
};

} // namespace arbutuspier
