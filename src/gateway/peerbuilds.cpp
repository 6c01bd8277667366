// VMs that have never answered are asked only until one of the oldest builds is found: one is
// enough to decide.
#include "gateway/peerbuilds.h"

#include <algorithm>

namespace arbutuspier {

void PeerBuilds::setVms(const std::map<std::string, platform::StoreRevision> &vms)
{
    std::map<std::string, Build> builds;
    for (const auto &[vm, registration] : vms) {
        const auto known = m_builds.find(vm);
        Build build = known == m_builds.end() ? Build{} : known->second;
        const bool isAgain =
            build.registration != platform::StoreRevision{} && build.registration != registration;
        if (isAgain)
            reset(build);
        build.registration = registration;
        builds.emplace(vm, build);
    }
    m_builds = std::move(builds);
}

void PeerBuilds::onUnresponsive(const std::string &vm)
{
    const auto known = m_builds.find(vm);
    // One of an older build may send nothing but answers.
    const bool isCurrent = known != m_builds.end() && known->second.protocol >= kProtocol;
    if (isCurrent)
        reset(known->second);
}

void PeerBuilds::reset(Build &build)
{
    const Build earlier = build;
    build = {};
    build.registration = earlier.registration;
    build.askedAt = earlier.askedAt;
    build.capacity = earlier.capacity;
}

void PeerBuilds::onStatus(const std::string &vm, std::uint64_t incarnation, TimePoint now)
{
    Build &build = m_builds[vm];
    if (build.incarnation != incarnation)
        reset(build);
    build.incarnation = incarnation;
    if (!build.hasStatus)
        build.firstStatusAt = now;
    build.hasStatus = true;
    build.lastStatusAt = now;
}

void PeerBuilds::onAnnouncement(const ProtocolAnnouncement &announcement, TimePoint now)
{
    onStatus(announcement.vm, announcement.incarnation, now);
    Build &build = m_builds[announcement.vm];
    build.protocol = announcement.protocol;
    build.capacity = announcement.capacity;
}

bool PeerBuilds::isOlder(const Build &build, TimePoint now) const
{
    const bool isHeard = build.hasStatus && now < build.lastStatusAt + m_options.statusLifetime;
    const bool mayBeAnnounced =
        build.protocol == 0 && now < build.firstStatusAt + m_options.announcementTimeout;
    return isHeard && !mayBeAnnounced && build.protocol < kProtocol;
}

std::uint64_t PeerBuilds::oldestProtocol(TimePoint now) const
{
    std::uint64_t oldest = kProtocol;
    for (const auto &[vm, build] : m_builds) {
        if (isOlder(build, now))
            oldest = std::min(oldest, build.protocol);
    }
    return oldest;
}

VmCapacity PeerBuilds::smallestCapacity(const VmCapacity &own) const
{
    VmCapacity smallest = own;
    for (const auto &[vm, build] : m_builds)
        smallest = smallerOf(smallest, build.capacity);
    return smallest;
}

FleetGroupBounds PeerBuilds::groupBounds(const FleetGroupsOptions &options, const VmCapacity &own,
                                         TimePoint now) const
{
    const std::uint64_t protocol = oldestProtocol(now);
    if (protocol < kLargeGroupsProtocol)
        return options.olderBounds;
    if (protocol < kGroupCostProtocol)
        return options.bounds;
    return groupBoundsFor(smallestCapacity(own), options.bounds, GroupCostOptions{});
}

bool PeerBuilds::isAskDue(const Build &build, bool isDecided, TimePoint now) const
{
    if (build.protocol >= kProtocol)
        return false;
    if (isOlder(build, now))
        return now >= std::max(build.askedAt, build.lastStatusAt) + m_options.olderRequestInterval;
    const bool isNeeded = build.hasStatus || !isDecided;
    return isNeeded && now >= build.askedAt + m_options.requestInterval;
}

std::vector<std::string> PeerBuilds::takeVmsToAsk(TimePoint now)
{
    std::vector<std::string> vms;
    const bool isDecided = oldestProtocol(now) < kLargeGroupsProtocol;
    // The announcement of a VM that was heard may have been lost. It counts as one of an older
    // build soon, which changes the groups.
    for (auto &[vm, build] : m_builds) {
        const bool isFirst = build.hasStatus && vms.size() < m_options.maxRequests
            && isAskDue(build, isDecided, now);
        if (!isFirst)
            continue;
        build.askedAt = now;
        vms.push_back(vm);
    }
    auto next = m_builds.upper_bound(m_lastAsked);
    for (std::size_t i = 0; i < m_builds.size() && vms.size() < m_options.maxRequests; ++i) {
        if (next == m_builds.end())
            next = m_builds.begin();
        auto &[vm, build] = *next++;
        if (!isAskDue(build, isDecided, now))
            continue;
        build.askedAt = now;
        vms.push_back(vm);
        m_lastAsked = vm;
    }
    return vms;
}

} // namespace arbutuspier
