// Record, reserve all members, then open; or give all back and wait.
#include "node/parallelgrouphandler.h"

#include "node/dispatcher.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr std::string_view kRowPrefix = "gang/";
constexpr Duration kFirstWait = std::chrono::milliseconds{200};
constexpr Duration kMaxWait = std::chrono::seconds{3};
constexpr Duration kReserveLimit = std::chrono::seconds{5};
constexpr Duration kEraseRetry = std::chrono::seconds{2};
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
    const bool isWhole = json.is_object() && json.contains("owner")
        && json["owner"].is_number_unsigned() && json.contains("incarnation")
        && json["incarnation"].is_number_unsigned() && json.contains("members")
        && json["members"].is_array();
    if (!isWhole)
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

TableOpId ParallelGroupHandler::call(TableRequest request)
{
    const TableOpId op = m_nextOp;
    ++m_nextOp.value;
    m_context.emit(TableCall{op, std::move(request)});
    return op;
}

bool ParallelGroupHandler::tryStart(Request &request)
{
    // One gang at a time forms here, oldest first: the next would take what this one lacks.
    if (!m_forming.empty())
        return false;
    auto waiting = m_waiting.find(request.id);
    if (waiting != m_waiting.end() && m_context.now < waiting->second.retryAt)
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
    m_store.noteStarted(request);
    record(request, m_forming[request.id]);
    return true;
}

void ParallelGroupHandler::record(const Request &request, Forming &forming)
{
    forming.rowKey = std::string(kRowPrefix) + std::to_string(m_context.newAttempt().value);
    m_rows[request.id] = forming.rowKey;
    const std::string row = encodeParallelGroup(
        m_context.settings.self.id, m_context.settings.incarnation, request.parallelGroup);
    const TableOpId op = call(TableTransaction{{{forming.rowKey, 0, row, false}}});
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
        // With the table down the peers' copies alone cover this gang; prompts go on.
        forming->second.isRecorded = std::holds_alternative<TableCommitted>(outcome);
        reserveAll(*request);
        return true;
    }
    if (auto it = m_eraseOps.find(op); it != m_eraseOps.end()) {
        const std::string rowKey = it->second;
        m_eraseOps.erase(it);
        const bool isSettled = std::holds_alternative<TableCommitted>(outcome)
            || std::holds_alternative<TableConflict>(outcome);
        if (isSettled)
            m_toErase.erase(rowKey);
        else
            m_toErase[rowKey] = m_context.now + kEraseRetry;
        return true;
    }
    if (m_scanOp && *m_scanOp == op) {
        m_scanOp.reset();
        if (const auto *rows = std::get_if<TableRows>(&outcome))
            onOrphanRows(*rows);
        return true;
    }
    return false;
}

void ParallelGroupHandler::reserveAll(Request &request)
{
    Forming &forming = m_forming[request.id];
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    const std::uint64_t each = request.cost() / request.parallelGroup.size() + 1;
    for (const ParallelGroupMember &member : request.parallelGroup) {
        forming.unanswered.push_back(member.reservation);
        m_byReservation[member.reservation] = request.id;
        reservations.add(member.reservation, member.upstream, request.deadline,
                         request.suspectFingerprint());
        m_context.emit(
            Reserve{member.reservation, member.upstream, each, request.deadline - m_context.now});
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
        // A late grant for a gang that is over, or a repeated one for a gang that runs.
        const bool mayBeHeld = reply.isGranted || reply.isUnknown;
        if (mayBeHeld && !reservations.isOwn(reply.reservation))
            reservations.releaseUnknown(reply.reservation, reply.upstream, m_context.now);
        return;
    }
    std::erase(forming->second.unanswered, reply.reservation);
    if (!reply.isGranted) {
        ++forming->second.refused;
        const bool isSurelyFree = !reply.isUnknown;
        if (isSurelyFree)
            reservations.forget(reply.reservation);
        else
            reservations.release(reply.reservation, m_context.now);
        std::erase_if(request->parallelGroup, [&](const ParallelGroupMember &member) {
            return member.reservation == reply.reservation;
        });
    }
    if (forming->second.unanswered.empty())
        decide(*request);
}

void ParallelGroupHandler::decide(Request &request)
{
    const bool isWhole = m_forming[request.id].refused == 0;
    m_forming.erase(request.id);
    const auto &router = m_context.service<Router>(service::kRouter);
    const bool isStaying = std::none_of(
        request.parallelGroup.begin(), request.parallelGroup.end(),
        [&](const ParallelGroupMember &member) { return router.isLeaving(member.upstream); });
    if (isWhole && isStaying && !m_dispatcher.isHeld()) {
        m_waiting.erase(request.id);
        const UpstreamId leader = request.parallelGroup.front().upstream;
        m_dispatcher.open(request, Route{leader, {}, 0}, m_context.newAttempt());
        return;
    }
    giveBack(request);
    backOff(request);
    m_dispatcher.putFirstInLine(request);
}

void ParallelGroupHandler::backOff(const Request &request)
{
    Waiting &waiting = m_waiting[request.id];
    waiting.wait =
        waiting.wait == Duration::zero() ? kFirstWait : std::min(waiting.wait * 2, kMaxWait);
    waiting.retryAt = m_context.now + jittered(m_context.random, waiting.wait);
}

void ParallelGroupHandler::giveBack(Request &request)
{
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    for (const ParallelGroupMember &member : request.parallelGroup) {
        m_byReservation.erase(member.reservation);
        reservations.release(member.reservation, m_context.now);
    }
    request.parallelGroup.clear();
    m_forming.erase(request.id);
    if (auto row = m_rows.find(request.id); row != m_rows.end()) {
        m_toErase[row->second] = m_context.now;
        m_rows.erase(row);
    }
}

void ParallelGroupHandler::eraseRow(const std::string &rowKey)
{
    const TableOpId op = call(TableTransaction{{{rowKey, 1, {}, true}}});
    m_eraseOps[op] = rowKey;
}

void ParallelGroupHandler::tick()
{
    std::erase_if(m_forming, [&](const auto &entry) { return !m_store.find(entry.first); });
    std::erase_if(m_waiting, [&](const auto &entry) { return !m_store.find(entry.first); });
    std::erase_if(m_byReservation, [&](const auto &entry) { return !m_store.find(entry.second); });
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        if (m_store.find(it->first)) {
            ++it;
            continue;
        }
        m_toErase[it->second] = m_context.now;
        it = m_rows.erase(it);
    }
    for (auto &[rowKey, dueAt] : m_toErase) {
        if (m_context.now < dueAt)
            continue;
        dueAt = m_context.now + kReserveLimit;
        eraseRow(rowKey);
    }
    if (!m_nextScan)
        m_nextScan = m_context.now;
    if (m_scanOp || m_context.now < *m_nextScan)
        return;
    m_nextScan = m_context.now + jittered(m_context.random, kScanInterval);
    m_scanOp = call(TableRead{std::string(kRowPrefix), true});
}

void ParallelGroupHandler::onOrphanRows(const TableRows &rows)
{
    const auto &membership = m_context.service<Membership>(service::kMembership);
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    for (const TableRow &row : rows.rows) {
        const auto parallelGroup = decodeParallelGroup(row.value);
        if (!parallelGroup)
            continue;
        const Incarnation known = membership.incarnation(parallelGroup->owner);
        const bool isReplaced = known.isValid() && parallelGroup->incarnation < known;
        const bool isGone = membership.state(parallelGroup->owner) == MemberState::Removed
            && known == parallelGroup->incarnation;
        if (!isReplaced && !isGone)
            continue;
        for (const ParallelGroupMember &member : parallelGroup->members)
            reservations.releaseUnknown(member.reservation, member.upstream, m_context.now);
        m_toErase[row.key] = m_context.now;
    }
}

} // namespace arbutuspier
