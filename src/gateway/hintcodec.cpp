// Short arrays by position, without empty lists at the end: a hint is sent for every request, to
// every peer.
#include "gateway/hintcodec.h"

#include "gateway/wirefields.h"

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

Json encodeWork(const Work &work)
{
    Json parts = Json::array();
    for (const WorkPart &part : work.parts) {
        parts.push_back(Json::array({part.replica, static_cast<std::int64_t>(part.readMs),
                                     part.contextTokens, part.memoryTokens, part.isWriter}));
    }
    return Json::array(
        {work.id, toMs(work.gapObjective),
         static_cast<std::uint64_t>(std::lround(std::max(0.0, work.weight) * kWeightUnit)),
         work.isWriting, std::move(parts)});
}

std::optional<WorkPart> decodePart(const Json &value)
{
    constexpr std::size_t kFields = 5;
    const bool isPart = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_integer() && value[2].is_number_unsigned()
        && value[3].is_number_unsigned() && value[4].is_boolean();
    if (!isPart)
        return std::nullopt;
    return WorkPart{value[0].get<std::string>(), value[1].get<double>(),
                    value[2].get<std::uint64_t>(), value[3].get<std::uint64_t>(),
                    value[4].get<bool>()};
}

std::optional<Work> decodeWork(const Json &value)
{
    constexpr std::size_t kFields = 5;
    const bool isWork = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_number_integer() && value[2].is_number_unsigned() && value[3].is_boolean()
        && value[4].is_array() && value[4].size() <= kMaxItems;
    if (!isWork)
        return std::nullopt;
    Work work;
    work.id = value[0].get<std::uint64_t>();
    work.gapObjective = std::chrono::milliseconds{value[1].get<std::int64_t>()};
    work.weight = value[2].get<double>() / kWeightUnit;
    work.isWriting = value[3].get<bool>();
    for (const Json &item : value[4]) {
        auto part = decodePart(item);
        if (!part)
            return std::nullopt;
        work.parts.push_back(std::move(*part));
    }
    return work;
}

/// The whole work where it began, its id alone where it ended, its id in a list between.
Json encodeNews(const WorkNews &news)
{
    switch (news.kind) {
    case WorkNews::Kind::Began:
        return news.work ? encodeWork(*news.work) : Json(nullptr);
    case WorkNews::Kind::Writing:
        return Json::array({news.id});
    case WorkNews::Kind::Ended:
        break;
    }
    return news.id;
}

std::optional<WorkNews> decodeNews(const Json &value)
{
    if (value.is_number_unsigned())
        return WorkNews{WorkNews::Kind::Ended, value.get<std::uint64_t>(), std::nullopt};
    if (isArray(value, 1) && value[0].is_number_unsigned())
        return WorkNews{WorkNews::Kind::Writing, value[0].get<std::uint64_t>(), std::nullopt};
    auto work = decodeWork(value);
    if (!work)
        return std::nullopt;
    const std::uint64_t id = work->id;
    return WorkNews{WorkNews::Kind::Began, id, std::move(work)};
}

Json encodeStatus(const PeerStatus &status)
{
    return Json::array({status.vm, status.life, status.configVersion, status.replicaRevision,
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

std::uint32_t lifeTagOf(std::uint64_t life)
{
    return static_cast<std::uint32_t>(life);
}

std::string encodeHint(const Hint &hint)
{
    Json document = Json::array({hint.lifeTag, hint.sequence});
    document.push_back(encodeList(hint.news, encodeNews));
    document.push_back(hint.status ? encodeStatus(*hint.status) : Json(nullptr));
    document.push_back(hint.whole ? encodeList(*hint.whole, encodeWork) : Json(nullptr));
    document.push_back(encodeList(hint.departures, encodeDeparture));
    document.push_back(encodeList(hint.suspects, encodeSuspect));
    document.push_back(hint.asksWhole ? Json(true) : Json(nullptr));
    // A list of what runs is kept even if it is empty: it says that nothing does.
    const std::size_t least = hint.whole ? kWholeField + 1 : kMinFields;
    while (document.size() > least && document.back().empty())
        document.erase(document.size() - 1);
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

std::optional<Hint> decodeHint(std::string_view bytes)
{
    Json document = parseCbor(bytes);
    const bool isHint = document.is_array() && document.size() >= kMinFields
        && document.size() <= kFields && document[0].is_number_unsigned()
        && document[0].get<std::uint64_t>() <= UINT32_MAX && document[1].is_number_unsigned();
    if (!isHint)
        return std::nullopt;
    while (document.size() < kFields)
        document.push_back(nullptr);
    Hint hint;
    hint.lifeTag = document[0].get<std::uint32_t>();
    hint.sequence = document[1].get<std::uint64_t>();
    if (!document[3].is_null()) {
        hint.status = decodeStatus(document[3]);
        if (!hint.status)
            return std::nullopt;
    }
    if (!document[kWholeField].is_null()) {
        hint.whole.emplace();
        if (!decodeList(document[kWholeField], *hint.whole, decodeWork))
            return std::nullopt;
    }
    const bool isRead = decodeList(document[2], hint.news, decodeNews)
        && decodeList(document[5], hint.departures, decodeDeparture)
        && decodeList(document[6], hint.suspects, decodeSuspect)
        && (document[7].is_null() || document[7].is_boolean());
    hint.asksWhole = document[7] == Json(true);
    return isRead ? std::optional(std::move(hint)) : std::nullopt;
}

} // namespace arbutuspier
