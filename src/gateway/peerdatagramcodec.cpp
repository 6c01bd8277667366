// Short arrays by position, without empty lists at the end: a hint is sent for every request, to
// every peer.
#include "gateway/peerdatagramcodec.h"

#include "gateway/cborfields.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

/// Weights are sent in thousandths, which take a third of the bytes of a floating number.
constexpr double kWeightUnit = 1000;
/// Fields of a hint: the first ones are always there.
constexpr std::size_t kMinFields = 2;
constexpr std::size_t kWholeField = 4;
constexpr std::size_t kFields = 8;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json encodeWork(const ActiveRequest &activeRequest)
{
    Json parts = Json::array();
    for (const ActiveRequestPart &part : activeRequest.parts) {
        parts.push_back(Json::array({part.replica, static_cast<std::int64_t>(part.prefillMs),
                                     part.contextTokens, part.memoryTokens, part.isPrimary}));
    }
    return Json::array(
        {activeRequest.id, toMs(activeRequest.eventGapObjective),
         static_cast<std::uint64_t>(std::lround(std::max(0.0, activeRequest.weight) * kWeightUnit)),
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

std::optional<ActiveRequest> decodeWork(const Json &value)
{
    constexpr std::size_t kFields = 5;
    const bool isWork = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_number_integer() && value[2].is_number_unsigned() && value[3].is_boolean()
        && value[4].is_array() && value[4].size() <= kMaxItems;
    if (!isWork)
        return std::nullopt;
    ActiveRequest activeRequest;
    activeRequest.id = value[0].get<std::uint64_t>();
    activeRequest.eventGapObjective = std::chrono::milliseconds{value[1].get<std::int64_t>()};
    activeRequest.weight = value[2].get<double>() / kWeightUnit;
    activeRequest.isDecoding = value[3].get<bool>();
    for (const Json &item : value[4]) {
        auto part = decodePart(item);
        if (!part)
            return std::nullopt;
        activeRequest.parts.push_back(std::move(*part));
    }
    return activeRequest;
}

/// The whole work where it began, its id alone where it ended, its id in a list between.
Json encodeNews(const ActiveRequestUpdate &news)
{
    switch (news.kind) {
    case ActiveRequestUpdate::Kind::Began:
        return news.activeRequest ? encodeWork(*news.activeRequest) : Json(nullptr);
    case ActiveRequestUpdate::Kind::Decoding:
        return Json::array({news.id});
    case ActiveRequestUpdate::Kind::Ended:
        break;
    }
    return news.id;
}

std::optional<ActiveRequestUpdate> decodeNews(const Json &value)
{
    if (value.is_number_unsigned())
        return ActiveRequestUpdate{ActiveRequestUpdate::Kind::Ended, value.get<std::uint64_t>(),
                                   std::nullopt};
    if (isArray(value, 1) && value[0].is_number_unsigned())
        return ActiveRequestUpdate{ActiveRequestUpdate::Kind::Decoding,
                                   value[0].get<std::uint64_t>(), std::nullopt};
    auto activeRequest = decodeWork(value);
    if (!activeRequest)
        return std::nullopt;
    const std::uint64_t id = activeRequest->id;
    return ActiveRequestUpdate{ActiveRequestUpdate::Kind::Began, id, std::move(activeRequest)};
}

Json encodeStatus(const PeerStatus &status)
{
    return Json::array({status.vm, status.incarnation, status.configVersion, status.replicaRevision,
                        status.readsStore, status.isLeaving});
}

std::optional<PeerStatus> decodeStatus(const Json &value)
{
    constexpr std::size_t kFields = 6;
    const bool isStatus = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_unsigned() && value[2].is_number_unsigned()
        && value[3].is_number_unsigned() && value[4].is_boolean() && value[5].is_boolean();
    if (!isStatus)
        return std::nullopt;
    return PeerStatus{value[0].get<std::string>(),   value[1].get<std::uint64_t>(),
                      value[2].get<std::uint64_t>(), value[3].get<std::uint64_t>(),
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
    document.push_back(encodeList(datagram.news, encodeNews));
    document.push_back(datagram.status ? encodeStatus(*datagram.status) : Json(nullptr));
    document.push_back(datagram.whole ? encodeList(*datagram.whole, encodeWork) : Json(nullptr));
    document.push_back(encodeList(datagram.departures, encodeDeparture));
    document.push_back(encodeList(datagram.suspects, encodeSuspect));
    document.push_back(datagram.asksWhole ? Json(true) : Json(nullptr));
    // A list of what runs is kept even if it is empty: it says that nothing does.
    const std::size_t least = datagram.whole ? kWholeField + 1 : kMinFields;
    while (document.size() > least && document.back().empty())
        document.erase(document.size() - 1);
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes)
{
    Json document = parseCbor(bytes);
    const bool isHint = document.is_array() && document.size() >= kMinFields
        && document.size() <= kFields && document[0].is_number_unsigned()
        && document[0].get<std::uint64_t>() <= UINT32_MAX && document[1].is_number_unsigned();
    if (!isHint)
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
    if (!document[kWholeField].is_null()) {
        datagram.whole.emplace();
        if (!decodeList(document[kWholeField], *datagram.whole, decodeWork))
            return std::nullopt;
    }
    const bool isRead = decodeList(document[2], datagram.news, decodeNews)
        && decodeList(document[5], datagram.departures, decodeDeparture)
        && decodeList(document[6], datagram.suspects, decodeSuspect)
        && (document[7].is_null() || document[7].is_boolean());
    datagram.asksWhole = document[7] == Json(true);
    return isRead ? std::optional(std::move(datagram)) : std::nullopt;
}

} // namespace arbutuspier
