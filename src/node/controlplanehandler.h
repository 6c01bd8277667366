// Everything that is not a request: peers, the platform's table and list, operators, leaving.
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

    void onPeer(const PeerMessage &message);
    void onTableReply(const TableReply &reply);
    void onVmList(const VmListRead &list);
    void onReport(const LoadReport &report);
    void onReportMissing(const LoadReportMissing &missing);
    void onUpstreamDrain(UpstreamId upstream);
    void onQuarantineClear(Fingerprint fingerprint);
    void tick();
    /// The version of the limits table a peer has confirmed.
    std::uint64_t confirmedVersion(VmId vm) const;

    /// Carries out what the limits table asks for.
    void carryOutLimits();

private:
    void onMembershipChanges();
    /// Acts on bodies whose standing the table or an unexplained death changed.
    void takeSuspectNews();
    void onLimitsActivated(std::uint64_t version);
    void beginEpoch();
    void sendOutgoing();
    void sendDebits();
    void applyBody(VmId from, const PeerMessage &message);
    void onSuspectNotice(const SuspectNotice &notice);
    void markLeaving(UpstreamId upstream, std::string_view source);
    void chooseContenders();

    NodeContext &m_context;
    Dispatcher &m_dispatcher;
    AttemptHandler &m_attempts;
    ParallelGroupHandler &m_parallelGroups;
    SuspectStore &m_suspects;
    VmListRead m_list;
    std::map<VmId, std::uint64_t> m_confirmed;
    std::optional<TimePoint> m_nextSlowTick;
};

} // namespace arbutuspier
