// Which VMs of the fleet run an older build. Performs no I/O.
//
// A build announces its protocol beside its full state, which a VM sends whenever another requests
// it. Builds before the first protocol send a status but no announcement. A VM that sends nothing
// decides nothing that others must know, so it doesn't count.
#pragma once

#include "arbutuspier/clock.h"
#include "gateway/protocolcodec.h"
#include "platform/storeclient.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutuspier {

struct PeerBuildsOptions
{
    /// Time from the first status of an incarnation after which one without an announcement runs an
    /// older build: several announcements may be lost.
    Duration announcementTimeout = std::chrono::milliseconds{1500};
    /// Time without a status after which a VM of an older build doesn't count any more.
    Duration statusLifetime = std::chrono::seconds{15};
    /// Interval at which the full state is requested from a VM whose build isn't known.
    Duration requestInterval = std::chrono::seconds{1};
    /// The same for a VM that is known to run an older build, and may have been upgraded.
    Duration olderRequestInterval = std::chrono::seconds{4};
    /// Most requests at a time.
    std::size_t maxRequests = 8;
};

class PeerBuilds
{
public:
    explicit PeerBuilds(PeerBuildsOptions options)
        : m_options(options)
    {
    }

    /// Sets the other VMs of the fleet, each with the revision of its registration, and forgets
    /// those that are missing. A VM that registered again may run another build.
    void setVms(const std::map<std::string, platform::StoreRevision> &vms);
    /// The VM stopped sending datagrams. If it ran this build, it may return with another.
    void onUnresponsive(const std::string &vm);
    /// A status of the VM arrived.
    void onStatus(const std::string &vm, std::uint64_t incarnation, TimePoint now);
    void onAnnouncement(const ProtocolAnnouncement &announcement, TimePoint now);

    /// Whether some VM is known to run an older build.
    bool hasOlder(TimePoint now) const { return oldestProtocol(now) < kProtocol; }
    /// The lowest protocol of the VMs that are known to run an older build, or that of this one.
    /// Zero for builds that announce none.
    std::uint64_t oldestProtocol(TimePoint now) const;
    /// The smallest capacity that a VM of the fleet has announced, or `own`.
    VmCapacity smallestCapacity(const VmCapacity &own) const;
    /// The bounds of the fleet groups by the rule that all VMs know. `own` is the capacity of this
    /// VM.
    FleetGroupBounds groupBounds(const FleetGroupsOptions &options, const VmCapacity &own,
                                 TimePoint now) const;
    /// Returns VMs from which the full state should be requested now, as their builds aren't known
    /// or may have changed. Doesn't return them again for some time.
    std::vector<std::string> takeVmsToAsk(TimePoint now);

private:
    struct Build
    {
        platform::StoreRevision registration;
        std::uint64_t incarnation = 0;
        /// Zero until it was announced.
        std::uint64_t protocol = 0;
        /// As the VM announced it last; a restart hardly changes it.
        VmCapacity capacity;
        /// Time of the first and the last status of the incarnation.
        TimePoint firstStatusAt{};
        TimePoint lastStatusAt{};
        TimePoint askedAt{};
        bool hasStatus = false;
    };

    /// Forgets what the VM told of its build.
    static void reset(Build &build);
    bool isOlder(const Build &build, TimePoint now) const;
    bool isAskDue(const Build &build, bool isDecided, TimePoint now) const;

    PeerBuildsOptions m_options;
    std::map<std::string, Build> m_builds;
    /// The VM that was asked last; the next one is asked first.
    std::string m_lastAsked;
};

} // namespace arbutuspier
