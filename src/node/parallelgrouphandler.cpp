// A group is recorded, then reserved on all members, then opened. If a reservation fails, all are
// released and the request waits.
#include "node/parallelgrouphandler.h"

#include "node/dispatcher.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr std::string_view kRowPrefix = "gang/";
constexpr Duration kInitialBackoff = std::chrono::milliseconds{200};
constexpr Duration kMaxBackoff = std::chrono::seconds{3};
constexpr Duration kEraseTimeout = std::chrono::seconds{5};
constexpr Duration kEraseRetryInterval = std::chrono::seconds{2};
constexpr Duration kScanInterval = std::chrono::seconds{10};

std::string encodeParallelGroup(VmId owner, Incarnation incarnation,
                                const std::vector<ParallelGroupMember> &parallelGroup)
{
    nlohmann::json json;
    json["owner"] = owner.value;
    json["incarnation"] = incarnation.value;
    json["members"] = nlohmann::json::array();
    for (const ParallelGroupMember &member : parallelGroup)
        json["members"].push_back({member.upstream.value, member.reservation.value});
    return json.dump();
}

struct ParallelGroupRow
{
    VmId owner;
    Incarnation incarnation;
    std::vector<ParallelGroupMember> members;
};

std::optional<ParallelGroupRow> decodeParallelGroup(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool isComplete = json.is_object() && json.contains("owner")
        && json["owner"].is_number_unsigned() && json.contains("incarnation")
        && json["incarnation"].is_number_unsigned() && json.contains("members")
        && json["members"].is_array();
    if (!isComplete)
        return std::nullopt;
    ParallelGroupRow row;
    row.owner.value = json["owner"].get<std::uint64_t>();
    row.incarnation.value = json["incarnation"].get<std::uint64_t>();
    for (const auto &item : json["members"]) {
        const bool isPair = item.is_array() && item.size() == 2 && item[0].is_number_unsigned()
            && item[1].is_number_unsigned();
        if (!isPair)
            return std::nullopt;
        row.members.push_back({UpstreamId{item[0].get<std::uint64_t>()},
                               ReservationId{item[1].get<std::uint64_t>()}});
    }
    return row;
}

} // namespace

ParallelGroupHandler::ParallelGroupHandler(NodeContext &context, RequestStore &store,
                                           Dispatcher &dispatcher, TableOpId firstOp)
    : m_context(context)
    , m_store(store)
    , m_dispatcher(dispatcher)
    , m_nextOp(firstOp)
{
}

TableOpId ParallelGroupHandler::sendTableCall(TableRequest request)
{
    const TableOpId op = m_nextOp;
    ++m_nextOp.value;
    m_context.emit(TableCall{op, std::move(request)});
    return op;
}

bool ParallelGroupHandler::tryStart(Request &request)
{
    // Only one group forms at a time, oldest first: a second one could take the memory it needs.
    if (!m_forming.empty())
        return false;
    auto backoff = m_backoffs.find(request.id);
    if (backoff != m_backoffs.end() && m_context.now < backoff->second.retryAt)
        return false;
    const auto &router = m_context.service<Router>(service::kRouter);
    const bool isSuspect = m_context.service<Quarantine>(service::kQuarantine)
                               .quarantineState(request.spec.fingerprint)
        == Quarantine::QuarantineState::Suspect;
    const std::vector<UpstreamId> members =
        router.chooseParallelGroup(request.spec, isSuspect, m_context.now);
    if (members.empty())
        return false;
    for (UpstreamId member : members)
        request.parallelGroup.push_back({member, m_context.newReservation()});
    request.phase = Phase::Reserving;
    m_store.stopWatchingLatestStart(request);
    writeRow(request, m_forming[request.id]);
    return true;
}

void ParallelGroupHandler::writeRow(const Request &request, FormingGroup &forming)
{
    forming.rowKey = std::string(kRowPrefix) + std::to_string(m_context.newAttempt().value);
    m_rows[request.id] = forming.rowKey;
    const std::string row = encodeParallelGroup(
        m_context.settings.self.id, m_context.settings.incarnation, request.parallelGroup);
    const TableOpId op = sendTableCall(TableTransaction{{{forming.rowKey, 0, row, false}}});
    m_recordOps[op] = request.id;
}

bool ParallelGroupHandler::onTableReply(TableOpId op, const TableOutcome &outcome)
{
    if (auto it = m_recordOps.find(op); it != m_recordOps.end()) {
        const RequestId id = it->second;
        m_recordOps.erase(it);
        Request *request = m_store.find(id);
        auto forming = m_forming.find(id);
        if (!request || forming == m_forming.end())
            return true;
        // Prompts are served even if the table is down: peers keep backups of this group's
        // reservations.
        forming->second.isRecorded = std::holds_alternative<TableCommitted>(outcome);
        reserveAll(*request);
        return true;
    }
    if (auto it = m_eraseOps.find(op); it != m_eraseOps.end()) {
        const std::string rowKey = it->second;
        m_eraseOps.erase(it);
        const bool isFinal = std::holds_alternative<TableCommitted>(outcome)
            || std::holds_alternative<TableConflict>(outcome);
        if (isFinal)
            m_rowsToErase.erase(rowKey);
        else
            m_rowsToErase[rowKey] = m_context.now + kEraseRetryInterval;
        return true;
    }
    if (m_scanOp && *m_scanOp == op) {
        m_scanOp.reset();
        if (const auto *rows = std::get_if<TableRows>(&outcome))
            releaseOrphans(*rows);
        return true;
    }
    return false;
}

void ParallelGroupHandler::reserveAll(Request &request)
{
    FormingGroup &forming = m_forming[request.id];
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    const std::uint64_t tokensPerMember = request.cost() / request.parallelGroup.size() + 1;
    for (const ParallelGroupMember &member : request.parallelGroup) {
        forming.pendingReservations.push_back(member.reservation);
        m_byReservation[member.reservation] = request.id;
        reservations.add(member.reservation, member.upstream, request.deadline,
                         request.suspectFingerprint());
        m_context.emit(Reserve{member.reservation, member.upstream, tokensPerMember,
                               request.deadline - m_context.now});
    }
}

void ParallelGroupHandler::onReserveReply(const ReserveReply &reply)
{
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    auto it = m_byReservation.find(reply.reservation);
    Request *request = it == m_byReservation.end() ? nullptr : m_store.find(it->second);
    auto forming = request ? m_forming.find(request->id) : m_forming.end();
    if (it != m_byReservation.end())
        m_byReservation.erase(it);
    if (forming == m_forming.end()) {
        // This is a late grant for a group that ended, or a repeated one for a group that runs.
        const bool mayBeReserved = reply.isGranted || reply.isUnknown;
        if (mayBeReserved && !reservations.isOwn(reply.reservation))
            reservations.releaseUnknown(reply.reservation, reply.upstream, m_context.now);
        return;
    }
    std::erase(forming->second.pendingReservations, reply.reservation);
    if (!reply.isGranted) {
        ++forming->second.refusedCount;
        const bool isNotReserved = !reply.isUnknown;
        if (isNotReserved)
            reservations.forget(reply.reservation);
        else
            reservations.release(reply.reservation, m_context.now);
        std::erase_if(request->parallelGroup, [&](const ParallelGroupMember &member) {
            return member.reservation == reply.reservation;
        });
    }
    if (forming->second.pendingReservations.empty())
        openOrBackOff(*request);
}

void ParallelGroupHandler::openOrBackOff(Request &request)
{
    const bool isComplete = m_forming[request.id].refusedCount == 0;
    m_forming.erase(request.id);
    const auto &router = m_context.service<Router>(service::kRouter);
    const bool isNoMemberDraining = std::none_of(
        request.parallelGroup.begin(), request.parallelGroup.end(),
        [&](const ParallelGroupMember &member) { return router.isDraining(member.upstream); });
    if (isComplete && isNoMemberDraining && !m_dispatcher.isSuspended()) {
        m_backoffs.erase(request.id);
        const UpstreamId primary = request.parallelGroup.front().upstream;
        m_dispatcher.open(request, Route{primary, {}, 0}, m_context.newAttempt());
        return;
    }
    releaseMembers(request);
    backOff(request);
    m_dispatcher.putAheadOfQueue(request);
}

void ParallelGroupHandler::backOff(const Request &request)
{
    Backoff &backoff = m_backoffs[request.id];
    backoff.delay = backoff.delay == Duration::zero() ? kInitialBackoff
                                                      : std::min(backoff.delay * 2, kMaxBackoff);
    backoff.retryAt = m_context.now + jittered(m_context.random, backoff.delay);
}

void ParallelGroupHandler::releaseMembers(Request &request)
{
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    for (const ParallelGroupMember &member : request.parallelGroup) {
        m_byReservation.erase(member.reservation);
        reservations.release(member.reservation, m_context.now);
    }
    request.parallelGroup.clear();
    m_forming.erase(request.id);
    if (auto row = m_rows.find(request.id); row != m_rows.end()) {
        m_rowsToErase[row->second] = m_context.now;
        m_rows.erase(row);
    }
}

void ParallelGroupHandler::eraseRow(const std::string &rowKey)
{
    const TableOpId op = sendTableCall(TableTransaction{{{rowKey, 1, {}, true}}});
    m_eraseOps[op] = rowKey;
}

void ParallelGroupHandler::tick()
{
    std::erase_if(m_forming, [&](const auto &entry) { return !m_store.find(entry.first); });
    std::erase_if(m_backoffs, [&](const auto &entry) { return !m_store.find(entry.first); });
    std::erase_if(m_byReservation, [&](const auto &entry) { return !m_store.find(entry.second); });
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        if (m_store.find(it->first)) {
            ++it;
            continue;
        }
        m_rowsToErase[it->second] = m_context.now;
        it = m_rows.erase(it);
    }
    for (auto &[rowKey, dueAt] : m_rowsToErase) {
        if (m_context.now < dueAt)
            continue;
        dueAt = m_context.now + kEraseTimeout;
        eraseRow(rowKey);
    }
    if (!m_nextScan)
        m_nextScan = m_context.now;
    if (m_scanOp || m_context.now < *m_nextScan)
        return;
    m_nextScan = m_context.now + jittered(m_context.random, kScanInterval);
    m_scanOp = sendTableCall(TableRead{std::string(kRowPrefix), true});
}

void ParallelGroupHandler::releaseOrphans(const TableRows &rows)
{
    const auto &membership = m_context.service<Membership>(service::kMembership);
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    for (const TableRow &row : rows.rows) {
        const auto parallelGroup = decodeParallelGroup(row.value);
        if (!parallelGroup)
            continue;
        const Incarnation known = membership.incarnation(parallelGroup->owner);
        const bool isReplaced = known.isValid() && parallelGroup->incarnation < known;
        const bool isRemoved = membership.state(parallelGroup->owner) == MemberState::Removed
            && known == parallelGroup->incarnation;
        if (!isReplaced && !isRemoved)
            continue;
        for (const ParallelGroupMember &member : parallelGroup->members)
            reservations.releaseUnknown(member.reservation, member.upstream, m_context.now);
        m_rowsToErase[row.key] = m_context.now;
    }
}

} // namespace arbutuspier
