// Events other than requests: peer messages, table service, VM list, load reports, operators.
#pragma once

#include "node/attempthandler.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/parallelgrouphandler.h"
#include "node/suspectstore.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutuspier {

class ControlPlaneHandler
{
public:
    ControlPlaneHandler(NodeContext &context, Dispatcher &dispatcher, AttemptHandler &attempts,
                        ParallelGroupHandler &parallelGroups, SuspectStore &suspects);

    void onPeerMessage(const PeerMessage &message);
    void onTableReply(const TableReply &reply);
    void onVmList(const VmListUpdate &list);
    void onReport(const LoadReport &report);
    void onReportMissing(const LoadReportMissing &missing);
    void onUpstreamDrain(UpstreamId upstream);
    void onQuarantineClear(Fingerprint fingerprint);
    void tick();
    /// The latest version of the limits table that a VM has confirmed; zero if none.
    std::uint64_t confirmedVersion(VmId vm) const;

    /// Performs the actions that the limits table has requested.
    void performLimitsActions();

private:
    void onMembershipChanges();
    /// Handles fingerprints whose quarantine state a table row or an unattributed crash changed.
    void handleSuspectChanges();
    void onLimitsActivated(std::uint64_t version);
    void beginEpoch();
    void sendOutgoing();
    void sendDebits();
    void handleBody(VmId from, const PeerMessage &message);
    void onSuspectNotice(const SuspectNotice &notice);
    void markDraining(UpstreamId upstream, std::string_view source);
    void chooseContendedUpstreams();

    NodeContext &m_context;
    Dispatcher &m_dispatcher;
    AttemptHandler &m_attempts;
    ParallelGroupHandler &m_parallelGroups;
    SuspectStore &m_suspects;
    VmListUpdate m_list;
    std::map<VmId, std::uint64_t> m_confirmedVersions;
    std::optional<TimePoint> m_nextSlowTick;
};

} // namespace arbutuspier
