// Divides fleet-wide limits among the VMs so that the shares never add up to more than the limit.
//
// An epoch starts with an equal division of each row's limit. Transfers then move shares to where
// the demand is; an amount that one VM gives away is added on another at most once. On a new epoch
// a VM lowers its shares at once, and raises them only when every member has confirmed the epoch.
// A VM behind a network partition keeps its shares.
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
    /// A message to be sent to another VM.
    struct Outgoing
    {
        VmId to;
        PeerBody body;
    };

    /// One incarnation of a VM among which limits are divided.
    struct Member
    {
        VmId vm;
        Incarnation incarnation;
        friend auto operator<=>(const Member &, const Member &) = default;
    };

    /// Transfer ids count up from `firstTransferId`. No other incarnation of any VM may use them.
    ShareAllocator(Member self, std::uint64_t firstTransferId);

    /// Starts an epoch with these members. An epoch that is not newer is ignored.
    /// If this VM's own incarnation is not among the members, its base share is zero.
    void beginEpoch(const ShareEpoch &epoch, std::span<const Member> members);
    /// A member has confirmed that it lowered its shares to those of `epoch`.
    void onConfirmed(const Member &member, const ShareEpoch &epoch);
    const ShareEpoch &epoch() const { return m_epoch; }
    /// Returns whether every member has confirmed the current epoch.
    bool haveAllConfirmed() const;

    /// Sets a row's limit; zero removes the row. A share above the new base share is lowered now.
    void setLimit(std::string_view rowKey, std::uint64_t limit);
    /// This VM's share of the row; empty if the row has no limit.
    std::optional<std::uint64_t> share(std::string_view rowKey) const;

    /// Records that this VM has `used` units in use and could use `wanted`. If the share is smaller
    /// than that, `tick` requests the difference from the other members.
    void reportDemand(std::string_view rowKey, std::uint64_t used, std::uint64_t wanted);

    void onRequest(VmId from, const ShareRequest &request);
    void onTransfer(VmId from, const ShareTransfer &transfer);
    void onTransferAck(VmId from, const ShareTransferAck &ack);
    /// Resends unacknowledged transfers and requests missing shares. Call it about once a second.
    void tick();

    /// Returns the messages queued since the last call.
    std::vector<Outgoing> takeOutgoing();

private:
    struct Row
    {
        std::uint64_t limit = 0;
        std::uint64_t share = 0;
        std::uint64_t used = 0;
        std::uint64_t wanted = 0;
        ShareEpoch raisedInEpoch;
    };
    struct PendingTransfer
    {
        VmId to;
        ShareTransfer transfer;
    };

    std::uint64_t baseShare(const Row &row) const;
    void lowerToBaseShare(Row &row) const;
    void raiseIfAllConfirmed();

    Member m_self;
    ShareEpoch m_epoch;
    std::uint64_t m_nextTransferId;
    /// Invariant: sorted.
    std::vector<Member> m_members;
    std::map<Member, ShareEpoch> m_confirmed;
    std::map<std::string, Row, std::less<>> m_rows;
    /// Transfers without an acknowledgement, by id. Invariant: their amounts are no longer part of
    /// this VM's shares.
    std::map<std::uint64_t, PendingTransfer> m_pendingTransfers;
    /// Ids of the transfers of the current epoch that were added to this VM's shares.
    std::set<std::uint64_t> m_appliedTransfers;
    std::vector<Outgoing> m_outgoing;
};

} // namespace arbutuspier
