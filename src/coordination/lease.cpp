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

bool Lease::isHeld(TimePoint now, Duration need) const
{
    return m_isOurs && m_isWanted && now + need < m_expiresAt;
}

std::optional<Lease::Call> Lease::tick(TimePoint now, TableOpId op, Random &random)
{
    if (m_op || now < m_nextAt)
        return std::nullopt;
    if (!m_isWanted && !m_isOurs)
        return std::nullopt;
    m_nextAt = now + jittered(random, m_options.retryWait);
    m_issuedAt = now;
    m_op = op;
    if (m_isOurs && m_seen) {
        const bool isGivingBack = !m_isWanted;
        const bool isRenewalDue =
            now + m_options.duration * (kRenewalsPerLease - 1) / kRenewalsPerLease >= m_expiresAt;
        if (!isGivingBack && !isRenewalDue) {
            m_op.reset();
            return std::nullopt;
        }
        m_step = isGivingBack ? Step::GiveBack : Step::Renew;
        const LeaseRow row{m_holder, m_incarnation, m_fence, isGivingBack};
        return Call{op, TableTransaction{{{m_rowKey, m_seen->version, row.encode(), false}}}};
    }
    if (m_seen) {
        const auto current = LeaseRow::decode(m_seen->value);
        const bool isExpired = now >= m_seenAt + m_options.duration + m_options.margin;
        const bool isFree = m_seen->version == 0 || (current && current->isReleased);
        if (isFree || isExpired) {
            m_step = Step::Acquire;
            m_wasTakenOver = !isFree;
            m_fence = (current ? current->fence : 0) + 1;
            const LeaseRow row{m_holder, m_incarnation, m_fence, false};
            return Call{op, TableTransaction{{{m_rowKey, m_seen->version, row.encode(), false}}}};
        }
    }
    m_step = Step::Read;
    return Call{op, TableRead{m_rowKey, false}};
}

bool Lease::onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now)
{
    if (!m_op || *m_op != op)
        return false;
    m_op.reset();
    if (std::holds_alternative<TableCommitted>(outcome)) {
        onWritten();
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
        m_isOurs = m_isOurs && m_step == Step::Renew;
        if (m_step != Step::Read && m_seen && !m_isOurs)
            m_seen.reset();
        if (m_isOurs)
            m_seen.reset();
    }
    return true;
}

void Lease::onWritten()
{
    const LeaseRow row{m_holder, m_incarnation, m_fence, m_step == Step::GiveBack};
    m_seen = TableRow{m_rowKey, m_seen->version + 1, row.encode()};
    m_seenAt = m_issuedAt;
    if (m_step == Step::GiveBack) {
        m_isOurs = false;
        return;
    }
    if (m_step == Step::Acquire)
        m_heldSince = m_issuedAt;
    m_isOurs = true;
    m_expiresAt = m_issuedAt + m_options.duration;
}

void Lease::onRow(const TableRow &row, TimePoint now)
{
    const auto current = row.version == 0 ? std::nullopt : LeaseRow::decode(row.value);
    const bool isOurs = current && !current->isReleased && current->holder == m_holder
        && current->incarnation == m_incarnation;
    if (!m_seen || m_seen->version != row.version) {
        m_seen = row;
        m_seenAt = now;
    }
    if (!isOurs) {
        m_isOurs = false;
        return;
    }
    // The row names this VM because of a write whose reply was lost. It isn't known when that write
    // took effect, so the lease counts as expired until it is renewed.
    if (!m_isOurs) {
        m_isOurs = true;
        m_fence = current->fence;
        m_heldSince = now;
        m_expiresAt = now;
        m_nextAt = now;
    }
}

} // namespace arbutuspier
