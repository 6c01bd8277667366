// A message is one CBOR array: version, sender, the fields common to all messages, kind and body.
#include "net/peercodec.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <exception>

namespace arbutuspier {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kWireVersion = 1;
constexpr std::size_t kMessageFields = 9;

/// Thrown and caught within this file, for a value of the wrong type or out of range.
struct InvalidMessage
{
};

std::uint64_t toNumber(const Json &json)
{
    if (!json.is_number_unsigned())
        throw InvalidMessage();
    return json.get<std::uint64_t>();
}

std::string toText(const Json &json)
{
    if (!json.is_string())
        throw InvalidMessage();
    return json.get<std::string>();
}

bool toBool(const Json &json)
{
    if (!json.is_boolean())
        throw InvalidMessage();
    return json.get<bool>();
}

/// Checks that `json` is an array of `size` items; zero allows any number.
const Json &checkArray(const Json &json, std::size_t size)
{
    if (!json.is_array() || (size != 0 && json.size() != size))
        throw InvalidMessage();
    return json;
}

Json encodeRows(const std::vector<LimitRow> &rows)
{
    Json out = Json::array();
    for (const LimitRow &row : rows)
        out.push_back(
            {row.team, row.className, row.weight, row.tokenRate, row.concurrency, row.deadlineMs});
    return out;
}

std::vector<LimitRow> decodeRows(const Json &json)
{
    constexpr std::size_t kRowFields = 6;
    std::vector<LimitRow> rows;
    for (const Json &item : checkArray(json, 0)) {
        checkArray(item, kRowFields);
        LimitRow row;
        row.team = toText(item[0]);
        row.className = toText(item[1]);
        row.weight = static_cast<std::uint32_t>(toNumber(item[2]));
        row.tokenRate = toNumber(item[3]);
        row.concurrency = static_cast<std::uint32_t>(toNumber(item[4]));
        row.deadlineMs = static_cast<std::uint32_t>(toNumber(item[5]));
        rows.push_back(std::move(row));
    }
    return rows;
}

Json encodeEpoch(const ShareEpoch &epoch)
{
    return {epoch.limitsVersion, epoch.listRevision};
}

ShareEpoch decodeEpoch(const Json &json)
{
    checkArray(json, 2);
    return {toNumber(json[0]), toNumber(json[1])};
}

struct BodyEncoder
{
    Json operator()(const Ping &b) const { return {b.sequence, b.replyTo.value}; }
    Json operator()(const PingAck &b) const { return {b.sequence, b.subject.value}; }
    Json operator()(const PingRequest &b) const { return {b.sequence, b.target.value}; }
    Json operator()(const LimitsPush &b) const
    {
        return {b.snapshot.version, b.snapshot.editId, b.snapshot.editor,
                encodeRows(b.snapshot.rows)};
    }
    Json operator()(const LimitsPull &) const { return Json::array(); }
    Json operator()(const ReservationNotices &b) const
    {
        Json out = Json::array();
        for (const ReservationNotice &n : b.notices)
            out.push_back({n.reservation.value, n.upstream.value, n.owner.value,
                           n.ownerIncarnation.value, n.fingerprint.value,
                           static_cast<std::uint64_t>(n.remaining.count()), n.isReleased});
        return out;
    }
    Json operator()(const SuspectNotice &b) const
    {
        return {b.fingerprint.value, Json(b.crashes), b.isCleared()};
    }
    Json operator()(const ShareTransfer &b) const
    {
        return {b.transferId, encodeEpoch(b.epoch), b.rowKey, b.amount};
    }
    Json operator()(const ShareTransferAck &b) const { return Json::array({b.transferId}); }
    Json operator()(const ShareRequest &b) const
    {
        return {encodeEpoch(b.epoch), b.rowKey, b.amount};
    }
    Json operator()(const DrainingNotice &b) const
    {
        return {b.upstream.value, b.incarnation.value};
    }
    Json operator()(const ServiceDebits &b) const
    {
        Json out = Json::array();
        for (const ServiceDebit &debit : b.debits)
            out.push_back({debit.className, debit.team, debit.tokens});
        return out;
    }
};

PeerBody decodeReservationNotices(const Json &json)
{
    constexpr std::size_t kNoticeFields = 7;
    ReservationNotices notices;
    for (const Json &item : checkArray(json, 0)) {
        checkArray(item, kNoticeFields);
        notices.notices.push_back({ReservationId{toNumber(item[0])}, UpstreamId{toNumber(item[1])},
                                   VmId{toNumber(item[2])}, Incarnation{toNumber(item[3])},
                                   Fingerprint{toNumber(item[4])},
                                   Duration(static_cast<Duration::rep>(toNumber(item[5]))),
                                   toBool(item[6])});
    }
    return notices;
}

PeerBody decodeDebits(const Json &json)
{
    ServiceDebits debits;
    for (const Json &item : checkArray(json, 0)) {
        checkArray(item, 3);
        debits.debits.push_back({toText(item[0]), toText(item[1]), toNumber(item[2])});
    }
    return debits;
}

PeerBody decodeSuspect(const Json &json)
{
    checkArray(json, 3);
    SuspectNotice notice;
    notice.fingerprint = Fingerprint{toNumber(json[0])};
    for (const Json &crash : checkArray(json[1], 0))
        notice.crashes.push_back(toNumber(crash));
    notice.state = toBool(json[2]) ? CrashState::Cleared : CrashState::Confirmed;
    return notice;
}

PeerBody decodePush(const Json &json)
{
    checkArray(json, 4);
    return LimitsPush{{toNumber(json[0]), toText(json[1]), toText(json[2]), decodeRows(json[3])}};
}

/// A kind is the index of an alternative of `PeerBody` and is sent to peers, so new alternatives
/// must be added at its end.
PeerBody decodeBody(std::uint64_t kind, const Json &json)
{
    switch (kind) {
    case 0:
        checkArray(json, 2);
        return Ping{toNumber(json[0]), VmId{toNumber(json[1])}};
    case 1:
        checkArray(json, 2);
        return PingAck{toNumber(json[0]), VmId{toNumber(json[1])}};
    case 2:
        checkArray(json, 2);
        return PingRequest{toNumber(json[0]), VmId{toNumber(json[1])}};
    case 3:
        return decodePush(json);
    case 4:
        return LimitsPull{};
    case 5:
        return decodeReservationNotices(json);
    case 6:
        return decodeSuspect(json);
    case 7:
        checkArray(json, 4);
        return ShareTransfer{toNumber(json[0]), decodeEpoch(json[1]), toText(json[2]),
                             toNumber(json[3])};
    case 8:
        checkArray(json, 1);
        return ShareTransferAck{toNumber(json[0])};
    case 9:
        checkArray(json, 3);
        return ShareRequest{decodeEpoch(json[0]), toText(json[1]), toNumber(json[2])};
    case 10:
        checkArray(json, 2);
        return DrainingNotice{UpstreamId{toNumber(json[0])}, Incarnation{toNumber(json[1])}};
    case 11:
        return decodeDebits(json);
    default:
        throw InvalidMessage();
    }
}

std::vector<MemberUpdate> decodeUpdates(const Json &json)
{
    std::vector<MemberUpdate> updates;
    for (const Json &item : checkArray(json, 0)) {
        checkArray(item, 4);
        const std::uint64_t state = toNumber(item[3]);
        if (state > static_cast<std::uint64_t>(MemberState::Removed))
            throw InvalidMessage();
        updates.push_back({VmId{toNumber(item[0])}, Incarnation{toNumber(item[1])},
                           toNumber(item[2]), static_cast<MemberState>(state)});
    }
    return updates;
}

PeerMessage decodeMessage(const Json &json)
{
    checkArray(json, kMessageFields);
    if (toNumber(json[0]) != kWireVersion)
        throw InvalidMessage();
    PeerMessage message;
    message.from = VmId{toNumber(json[1])};
    message.incarnation = Incarnation{toNumber(json[2])};
    message.limitsVersion = toNumber(json[3]);
    message.shareEpoch = {toNumber(json[4]), toNumber(json[5])};
    message.updates = decodeUpdates(json[6]);
    message.body = decodeBody(toNumber(json[7]), json[8]);
    return message;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    Json updates = Json::array();
    for (const MemberUpdate &update : message.updates)
        updates.push_back({update.vm.value, update.incarnation.value, update.counter,
                           static_cast<std::uint64_t>(update.state)});
    const Json json = Json::array({kWireVersion, message.from.value, message.incarnation.value,
                                   message.limitsVersion, message.shareEpoch.limitsVersion,
                                   message.shareEpoch.listRevision, std::move(updates),
                                   static_cast<std::uint64_t>(message.body.index()),
                                   std::visit(BodyEncoder{}, message.body)});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    // With excessive sizes in the bytes from_cbor() throws even though exceptions are disabled.
    try {
        const Json json = Json::from_cbor(bytes, true, false);
        if (json.is_discarded())
            return std::nullopt;
        return decodeMessage(json);
    } catch (const InvalidMessage &) {
        return std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace arbutuspier
