// Splits fleet-wide limits over the VMs so that the shares never add up to more than the limit.
//
// Each row's limit is divided equally within an epoch; demand then moves shares by transfers, and
// what has left one VM is added to another at most once. A new epoch lowers shares at once and
// raises them only when every member has confirmed it. A VM that is cut off keeps what it has.
#pragma once

#include "arbutuspier/ids.h"
#include "arbutuspier/peer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

class ShareAllocator
{
public:
    /// A message this part wants sent.
    struct Outgoing
    {
        VmId to;
        PeerBody body;
    };

    /// One life of a VM that takes part.
    struct Member
    {
        VmId vm;
        Incarnation incarnation;
        friend auto operator<=>(const Member &, const Member &) = default;
    };

    /// `firstTransferId` starts the numbers of transfers; no other VM life may share them.
    ShareAllocator(Member self, std::uint64_t firstTransferId);

    /// Starts an epoch with these members. One that does not go forward is ignored.
    /// A VM whose own life is not among the members has a base share of zero.
    void beginEpoch(const ShareEpoch &epoch, std::span<const Member> members);
    /// A member has lowered its shares to those of `epoch`.
    void onConfirmed(const Member &member, const ShareEpoch &epoch);
    const ShareEpoch &epoch() const { return m_epoch; }
    /// True once every member has confirmed the present epoch.
    bool isSettled() const;

    /// Sets a row's limit. Zero removes the row. A change starts the row anew in `epoch`.
    void setLimit(std::string_view rowKey, std::uint64_t limit);
    /// What this VM may use of the row now; nothing if the row has no limit.
    std::optional<std::uint64_t> share(std::string_view rowKey) const;

    /// This VM could use `wanted` units and has `used` in use. Asks others if the share is short.
    void reportDemand(std::string_view rowKey, std::uint64_t used, std::uint64_t wanted);

    void onRequest(VmId from, const ShareRequest &request);
    void onTransfer(VmId from, const ShareTransfer &transfer);
    void onTransferAck(VmId from, const ShareTransferAck &ack);
    /// Repeats unacknowledged transfers and open requests; call about once a second.
    void tick();

    /// Messages since the last call.
    std::vector<Outgoing> takeOutgoing();

private:
    struct Row
    {
        std::uint64_t limit = 0;
        std::uint64_t share = 0;
        std::uint64_t used = 0;
        std::uint64_t wanted = 0;
        ShareEpoch raisedIn;
    };
    struct PendingTransfer
    {
        VmId to;
        ShareTransfer transfer;
    };

    std::uint64_t baseShare(const Row &row) const;
    void lower(Row &row) const;
    void raiseIfSettled();

    Member m_self;
    ShareEpoch m_epoch;
    std::uint64_t m_nextTransferId;
    /// Invariant: sorted.
    std::vector<Member> m_members;
    std::map<Member, ShareEpoch> m_confirmed;
    std::map<std::string, Row, std::less<>> m_rows;
    /// Invariant: an amount here has already left this VM's share.
    std::map<std::uint64_t, PendingTransfer> m_pending;
    /// Transfers of the present epoch already added.
    std::set<std::uint64_t> m_applied;
    std::vector<Outgoing> m_outgoing;
};

} // namespace arbutuspier
