// Acquires, renews and releases the lease by compare-and-set on the row's version.
#include "arbutuspier/lease.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace arbutuspier {

namespace {

constexpr int kRenewalsPerLease = 3;

} // namespace

std::string LeaseRow::encode() const
{
    nlohmann::json json;
    json["holder"] = holder.value;
    json["incarnation"] = incarnation.value;
    json["fence"] = fence;
    json["released"] = isReleased;
    return json.dump();
}

std::optional<LeaseRow> LeaseRow::decode(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    for (const char *name : {"holder", "incarnation", "fence"}) {
        if (!json.contains(name) || !json[name].is_number_unsigned())
            return std::nullopt;
    }
    if (!json.contains("released") || !json["released"].is_boolean())
        return std::nullopt;
    LeaseRow row;
    row.holder.value = json["holder"].get<std::uint64_t>();
    row.incarnation.value = json["incarnation"].get<std::uint64_t>();
    row.fence = json["fence"].get<std::uint64_t>();
    row.isReleased = json["released"].get<bool>();
    return row;
}

Lease::Lease(std::string rowKey, VmId holder, Incarnation incarnation, LeaseOptions options)
    : m_rowKey(std::move(rowKey))
    , m_holder(holder)
    , m_incarnation(incarnation)
    , m_options(options)
{
}

bool Lease::isHeld(TimePoint now, Duration minRemaining) const
{
    return m_isHolder && m_isWanted && now + minRemaining < m_expiresAt;
}

std::optional<Lease::Call> Lease::tick(TimePoint now, TableOpId op, Random &random)
{
    if (m_pendingOp || now < m_nextCallAt)
        return std::nullopt;
    if (!m_isWanted && !m_isHolder)
        return std::nullopt;
    m_nextCallAt = now + jittered(random, m_options.retryWait);
    m_callIssuedAt = now;
    m_pendingOp = op;
    if (m_isHolder && m_lastRow) {
        const bool isReleasing = !m_isWanted;
        const bool isRenewalDue =
            now + m_options.duration * (kRenewalsPerLease - 1) / kRenewalsPerLease >= m_expiresAt;
        if (!isReleasing && !isRenewalDue) {
            m_pendingOp.reset();
            return std::nullopt;
        }
        m_pendingStep = isReleasing ? Step::Release : Step::Renew;
        const LeaseRow row{m_holder, m_incarnation, m_fence, isReleasing};
        return Call{op, TableTransaction{{{m_rowKey, m_lastRow->version, row.encode(), false}}}};
    }
    if (m_lastRow) {
        const auto current = LeaseRow::decode(m_lastRow->value);
        const bool isExpired = now >= m_lastRowAt + m_options.duration + m_options.margin;
        const bool isFree = m_lastRow->version == 0 || (current && current->isReleased);
        if (isFree || isExpired) {
            m_pendingStep = Step::Acquire;
            m_wasTakenOver = !isFree;
            m_fence = (current ? current->fence : 0) + 1;
            const LeaseRow row{m_holder, m_incarnation, m_fence, false};
            return Call{op,
                        TableTransaction{{{m_rowKey, m_lastRow->version, row.encode(), false}}}};
        }
    }
    m_pendingStep = Step::Read;
    return Call{op, TableRead{m_rowKey, false}};
}

bool Lease::onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now)
{
    if (!m_pendingOp || *m_pendingOp != op)
        return false;
    m_pendingOp.reset();
    if (std::holds_alternative<TableCommitted>(outcome)) {
        onWriteCommitted();
        return true;
    }
    if (const auto *rows = std::get_if<TableRows>(&outcome); rows && !rows->rows.empty())
        onRow(rows->rows.front(), now);
    if (const auto *conflict = std::get_if<TableConflict>(&outcome);
        conflict && !conflict->rows.empty())
        onRow(conflict->rows.front(), now);
    if (std::holds_alternative<TableUnknown>(outcome)) {
        // The write may have taken effect, which the next read will show. Until then the lease is
        // held no longer than it was granted before.
        m_isHolder = m_isHolder && m_pendingStep == Step::Renew;
        if (m_pendingStep != Step::Read && m_lastRow && !m_isHolder)
            m_lastRow.reset();
        if (m_isHolder)
            m_lastRow.reset();
    }
    return true;
}

void Lease::onWriteCommitted()
{
    const LeaseRow row{m_holder, m_incarnation, m_fence, m_pendingStep == Step::Release};
    m_lastRow = TableRow{m_rowKey, m_lastRow->version + 1, row.encode()};
    m_lastRowAt = m_callIssuedAt;
    if (m_pendingStep == Step::Release) {
        m_isHolder = false;
        return;
    }
    if (m_pendingStep == Step::Acquire)
        m_heldSince = m_callIssuedAt;
    m_isHolder = true;
    m_expiresAt = m_callIssuedAt + m_options.duration;
}

void Lease::onRow(const TableRow &row, TimePoint now)
{
    const auto current = row.version == 0 ? std::nullopt : LeaseRow::decode(row.value);
    const bool isHolder = current && !current->isReleased && current->holder == m_holder
        && current->incarnation == m_incarnation;
    if (!m_lastRow || m_lastRow->version != row.version) {
        m_lastRow = row;
        m_lastRowAt = now;
    }
    if (!isHolder) {
        m_isHolder = false;
        return;
    }
    // The row names this VM because of a write whose reply was lost. It isn't known when that write
    // took effect, so the lease counts as expired until it is renewed.
    if (!m_isHolder) {
        m_isHolder = true;
        m_fence = current->fence;
        m_heldSince = now;
        m_expiresAt = now;
        m_nextCallAt = now;
    }
}

} // namespace arbutuspier
