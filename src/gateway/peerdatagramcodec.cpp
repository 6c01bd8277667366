// Fields are array elements by position, and empty ones at the end are omitted. Datagrams have to
// be short, as each begin and end of a request is sent to every peer.
#include "gateway/peerdatagramcodec.h"

#include "gateway/cborfields.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

/// Weights are sent in thousandths: such an integer takes a third of the bytes of a double.
constexpr double kWeightScale = 1000;
/// A datagram has from kMinFields to kFields fields, as empty ones at the end are omitted.
constexpr std::size_t kMinFields = 2;
constexpr std::size_t kActiveRequestsField = 4;
constexpr std::size_t kFields = 8;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json encodeActiveRequest(const ActiveRequest &activeRequest)
{
    Json parts = Json::array();
    for (const ActiveRequestPart &part : activeRequest.parts) {
        parts.push_back(Json::array({part.replica, static_cast<std::int64_t>(part.prefillMs),
                                     part.contextTokens, part.memoryTokens, part.isPrimary}));
    }
    return Json::array({activeRequest.id, toMs(activeRequest.eventGapObjective),
                        static_cast<std::uint64_t>(
                            std::lround(std::max(0.0, activeRequest.weight) * kWeightScale)),
                        activeRequest.isDecoding, std::move(parts)});
}

std::optional<ActiveRequestPart> decodePart(const Json &value)
{
    constexpr std::size_t kFields = 5;
    const bool isPart = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_integer() && value[2].is_number_unsigned()
        && value[3].is_number_unsigned() && value[4].is_boolean();
    if (!isPart)
        return std::nullopt;
    return ActiveRequestPart{value[0].get<std::string>(), value[1].get<double>(),
                             value[2].get<std::uint64_t>(), value[3].get<std::uint64_t>(),
                             value[4].get<bool>()};
}

std::optional<ActiveRequest> decodeActiveRequest(const Json &value)
{
    constexpr std::size_t kFields = 5;
    const bool isActiveRequest = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_number_integer() && value[2].is_number_unsigned() && value[3].is_boolean()
        && value[4].is_array() && value[4].size() <= kMaxListItems;
    if (!isActiveRequest)
        return std::nullopt;
    ActiveRequest activeRequest;
    activeRequest.id = value[0].get<std::uint64_t>();
    activeRequest.eventGapObjective = std::chrono::milliseconds{value[1].get<std::int64_t>()};
    activeRequest.weight = value[2].get<double>() / kWeightScale;
    activeRequest.isDecoding = value[3].get<bool>();
    for (const Json &item : value[4]) {
        auto part = decodePart(item);
        if (!part)
            return std::nullopt;
        activeRequest.parts.push_back(std::move(*part));
    }
    return activeRequest;
}

/// Encodes a request that began in full, one that ended as its id, and one whose decode began as an
/// array that holds its id.
Json encodeUpdate(const ActiveRequestUpdate &update)
{
    switch (update.kind) {
    case ActiveRequestUpdate::Kind::Began:
        return update.activeRequest ? encodeActiveRequest(*update.activeRequest) : Json(nullptr);
    case ActiveRequestUpdate::Kind::Decoding:
        return Json::array({update.id});
    case ActiveRequestUpdate::Kind::Ended:
        break;
    }
    return update.id;
}

std::optional<ActiveRequestUpdate> decodeUpdate(const Json &value)
{
    if (value.is_number_unsigned())
        return ActiveRequestUpdate{ActiveRequestUpdate::Kind::Ended, value.get<std::uint64_t>(),
                                   std::nullopt};
    if (isArray(value, 1) && value[0].is_number_unsigned())
        return ActiveRequestUpdate{ActiveRequestUpdate::Kind::Decoding,
                                   value[0].get<std::uint64_t>(), std::nullopt};
    auto activeRequest = decodeActiveRequest(value);
    if (!activeRequest)
        return std::nullopt;
    const std::uint64_t id = activeRequest->id;
    return ActiveRequestUpdate{ActiveRequestUpdate::Kind::Began, id, std::move(activeRequest)};
}

/// The era of the store is omitted while it is zero.
Json encodeStatus(const PeerStatus &status)
{
    Json fields =
        Json::array({status.vm, status.incarnation, status.configVersion,
                     status.replicaRevision.number, status.canReadStore, status.isDraining});
    if (status.replicaRevision.era != 0)
        fields.push_back(status.replicaRevision.era);
    return fields;
}

std::optional<PeerStatus> decodeStatus(const Json &value)
{
    constexpr std::size_t kFields = 6;
    const bool hasEra = isArray(value, kFields + 1) && value[kFields].is_number_unsigned();
    const bool isStatus = (hasEra || isArray(value, kFields)) && value[0].is_string()
        && value[1].is_number_unsigned() && value[2].is_number_unsigned()
        && value[3].is_number_unsigned() && value[4].is_boolean() && value[5].is_boolean();
    if (!isStatus)
        return std::nullopt;
    const std::uint64_t era = hasEra ? value[kFields].get<std::uint64_t>() : 0;
    return PeerStatus{value[0].get<std::string>(),   value[1].get<std::uint64_t>(),
                      value[2].get<std::uint64_t>(), {era, value[3].get<std::uint64_t>()},
                      value[4].get<bool>(),          value[5].get<bool>()};
}

} // namespace

std::uint32_t incarnationTagOf(std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(incarnation);
}

std::string encodePeerDatagram(const PeerDatagram &datagram)
{
    Json document = Json::array({datagram.incarnationTag, datagram.sequence});
    document.push_back(encodeList(datagram.updates, encodeUpdate));
    document.push_back(datagram.status ? encodeStatus(*datagram.status) : Json(nullptr));
    document.push_back(datagram.activeRequests
                           ? encodeList(*datagram.activeRequests, encodeActiveRequest)
                           : Json(nullptr));
    document.push_back(encodeList(datagram.departures, encodeDeparture));
    document.push_back(encodeList(datagram.suspects, encodeSuspectNotice));
    document.push_back(datagram.requestsFullState ? Json(true) : Json(nullptr));
    // The list of active requests is kept even if it is empty: it says that the sender has none.
    const std::size_t minSize = datagram.activeRequests ? kActiveRequestsField + 1 : kMinFields;
    while (document.size() > minSize && document.back().empty())
        document.erase(document.size() - 1);
    return toCbor(document);
}

std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes)
{
    Json document = parseCbor(bytes);
    const bool isDatagram = document.is_array() && document.size() >= kMinFields
        && document.size() <= kFields && document[0].is_number_unsigned()
        && document[0].get<std::uint64_t>() <= UINT32_MAX && document[1].is_number_unsigned();
    if (!isDatagram)
        return std::nullopt;
    while (document.size() < kFields)
        document.push_back(nullptr);
    PeerDatagram datagram;
    datagram.incarnationTag = document[0].get<std::uint32_t>();
    datagram.sequence = document[1].get<std::uint64_t>();
    if (!document[3].is_null()) {
        datagram.status = decodeStatus(document[3]);
        if (!datagram.status)
            return std::nullopt;
    }
    if (!document[kActiveRequestsField].is_null()) {
        datagram.activeRequests.emplace();
        if (!decodeList(document[kActiveRequestsField], *datagram.activeRequests,
                        decodeActiveRequest))
            return std::nullopt;
    }
    const bool isDecoded = decodeList(document[2], datagram.updates, decodeUpdate)
        && decodeList(document[5], datagram.departures, decodeDeparture)
        && decodeList(document[6], datagram.suspects, decodeSuspectNotice)
        && (document[7].is_null() || document[7].is_boolean());
    datagram.requestsFullState = document[7] == Json(true);
    return isDecoded ? std::optional(std::move(datagram)) : std::nullopt;
}

} // namespace arbutuspier
