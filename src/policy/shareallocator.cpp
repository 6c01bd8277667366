// A VM lowers its own share before it sends the transfer that raises another VM's share, so that an
// amount in transit counts nowhere.
#include "arbutuspier/shareallocator.h"

#include <algorithm>
#include <utility>

namespace arbutuspier {

ShareAllocator::ShareAllocator(Member self, std::uint64_t firstTransferId)
    : m_self(self)
    , m_nextTransferId(firstTransferId)
{
}

void ShareAllocator::beginEpoch(const ShareEpoch &epoch, std::span<const Member> members)
{
    if (!epoch.covers(m_epoch) || epoch == m_epoch)
        return;
    m_epoch = epoch;
    m_members.assign(members.begin(), members.end());
    std::sort(m_members.begin(), m_members.end());
    std::erase_if(m_confirmed, [&](const auto &entry) {
        return !std::binary_search(m_members.begin(), m_members.end(), entry.first);
    });
    m_pendingTransfers.clear();
    m_appliedTransfers.clear();
    for (auto &[key, row] : m_rows)
        lowerToBaseShare(row);
    m_confirmed[m_self] = epoch;
    raiseIfAllConfirmed();
}

void ShareAllocator::onConfirmed(const Member &member, const ShareEpoch &epoch)
{
    ShareEpoch &known = m_confirmed[member];
    if (!epoch.covers(known) || epoch == known)
        return;
    known = epoch;
    raiseIfAllConfirmed();
}

bool ShareAllocator::haveAllConfirmed() const
{
    if (m_epoch.listRevision == 0)
        return false;
    return std::all_of(m_members.begin(), m_members.end(), [&](const Member &member) {
        auto it = m_confirmed.find(member);
        return it != m_confirmed.end() && it->second.covers(m_epoch);
    });
}

std::uint64_t ShareAllocator::baseShare(const Row &row) const
{
    auto it = std::lower_bound(m_members.begin(), m_members.end(), m_self);
    if (it == m_members.end() || *it != m_self)
        return 0;
    const auto rank = static_cast<std::uint64_t>(it - m_members.begin());
    const std::uint64_t count = m_members.size();
    return row.limit / count + (rank < row.limit % count ? 1 : 0);
}

void ShareAllocator::lowerToBaseShare(Row &row) const
{
    // The part of a share above the base came from a transfer. It is dropped, because the new epoch
    // gives the VM that sent it a full base share again.
    row.share = std::min(row.share, baseShare(row));
}

void ShareAllocator::raiseIfAllConfirmed()
{
    if (!haveAllConfirmed())
        return;
    for (auto &[key, row] : m_rows) {
        if (row.raisedInEpoch == m_epoch)
            continue;
        row.raisedInEpoch = m_epoch;
        row.share = baseShare(row);
    }
}

void ShareAllocator::setLimit(std::string_view rowKey, std::uint64_t limit)
{
    auto it = m_rows.find(rowKey);
    if (limit == 0) {
        if (it != m_rows.end())
            m_rows.erase(it);
        return;
    }
    if (it == m_rows.end())
        it = m_rows.emplace(std::string(rowKey), Row{}).first;
    Row &row = it->second;
    row.limit = limit;
    lowerToBaseShare(row);
    raiseIfAllConfirmed();
}

std::optional<std::uint64_t> ShareAllocator::share(std::string_view rowKey) const
{
    auto it = m_rows.find(rowKey);
    if (it == m_rows.end())
        return std::nullopt;
    return it->second.share;
}

void ShareAllocator::reportDemand(std::string_view rowKey, std::uint64_t used, std::uint64_t wanted)
{
    auto it = m_rows.find(rowKey);
    if (it == m_rows.end())
        return;
    it->second.used = used;
    it->second.wanted = wanted;
}

void ShareAllocator::onRequest(VmId from, const ShareRequest &request)
{
    auto it = m_rows.find(request.rowKey);
    if (it == m_rows.end() || request.epoch != m_epoch || !haveAllConfirmed())
        return;
    Row &row = it->second;
    const std::uint64_t needed = std::max(row.used, std::min(row.wanted, baseShare(row)));
    if (row.share <= needed)
        return;
    const std::uint64_t amount = std::min(request.amount, row.share - needed);
    if (amount == 0)
        return;
    row.share -= amount;
    const ShareTransfer transfer{m_nextTransferId++, m_epoch, request.rowKey, amount};
    m_pendingTransfers[transfer.transferId] = {from, transfer};
    m_outgoing.push_back({from, transfer});
}

void ShareAllocator::onTransfer(VmId from, const ShareTransfer &transfer)
{
    const bool isCurrent = transfer.epoch == m_epoch;
    auto it = m_rows.find(transfer.rowKey);
    if (isCurrent && it != m_rows.end() && m_appliedTransfers.insert(transfer.transferId).second)
        it->second.share += transfer.amount;
    m_outgoing.push_back({from, ShareTransferAck{transfer.transferId}});
}

void ShareAllocator::onTransferAck(VmId, const ShareTransferAck &ack)
{
    m_pendingTransfers.erase(ack.transferId);
}

void ShareAllocator::tick()
{
    for (const auto &[id, pending] : m_pendingTransfers)
        m_outgoing.push_back({pending.to, pending.transfer});
    if (!haveAllConfirmed() || m_members.size() < 2)
        return;
    const auto otherMembers = m_members.size() - 1;
    for (const auto &[key, row] : m_rows) {
        if (row.wanted <= row.share)
            continue;
        const std::uint64_t missing = row.wanted - row.share;
        const std::uint64_t perMember = (missing + otherMembers - 1) / otherMembers;
        for (const Member &member : m_members) {
            if (member != m_self)
                m_outgoing.push_back({member.vm, ShareRequest{m_epoch, key, perMember}});
        }
    }
}

std::vector<ShareAllocator::Outgoing> ShareAllocator::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

} // namespace arbutuspier
