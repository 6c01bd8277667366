// Each owner's bucket has to hold a whole request, so that there are at most as many owners as the
// burst has requests.
#include "arbutuspier/requestshare.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

std::uint64_t rendezvousHash(std::string_view vm, std::string_view replica)
{
    const std::uint64_t seed = XXH64(replica.data(), replica.size(), 0);
    return XXH64(vm.data(), vm.size(), seed);
}

} // namespace

void RequestShare::begin(TimePoint now)
{
    m_tokens = 0;
    m_refilledAt = now;
}

void RequestShare::update(const SharedRequestRate &rate, std::string_view ownVm,
                          std::string_view replicaId, std::span<const std::string> vms,
                          TimePoint now)
{
    m_updatedAt = now;
    const std::uint64_t ownHash = rendezvousHash(ownVm, replicaId);
    std::size_t others = 0;
    std::size_t rank = 0;
    for (const std::string &vm : vms) {
        if (vm == ownVm)
            continue;
        ++others;
        rank += rendezvousHash(vm, replicaId) > ownHash ? 1 : 0;
    }
    const double maxOwners = std::max(1.0, std::floor(rate.burst));
    const double owners = std::min(maxOwners, static_cast<double>(others + 1));
    const bool isOwner = rate.perSecond > 0 && static_cast<double>(rank) < owners;
    m_perSecond = isOwner ? rate.perSecond / owners : 0;
    m_capacity = isOwner ? std::max(1.0, rate.burst / owners) : 0;
}

void RequestShare::clear(TimePoint now)
{
    m_updatedAt = now;
    m_perSecond = 0;
    m_capacity = 0;
}

void RequestShare::refill(TimePoint now)
{
    m_tokens += m_perSecond * toSeconds(now - m_refilledAt);
    m_refilledAt = now;
}

void RequestShare::trim()
{
    m_tokens = std::min(m_tokens, m_capacity);
}

void RequestShare::take()
{
    if (hasToken())
        m_tokens -= 1;
}

Duration RequestShare::timeToToken() const
{
    // By rounding, the token may be missing at the end of a shorter time.
    constexpr Duration kResolution = std::chrono::microseconds{1};
    return std::max(kResolution, fromSeconds((1 - m_tokens) / m_perSecond));
}

} // namespace arbutuspier
