// Short arrays by position: a hint is sent for every request, to every VM.
#include "gateway/hintcodec.h"

#include <nlohmann/json.hpp>

namespace arbutuspier {

namespace {

using Json = nlohmann::json;

/// Lists in a hint longer than this are no hint of ours.
constexpr std::size_t kMaxItems = 4096;

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
        {work.id, toMs(work.gapObjective), work.weight, work.isWriting, std::move(parts)});
}

bool isArray(const Json &value, std::size_t size)
{
    return value.is_array() && value.size() == size;
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
        && value[1].is_number_integer() && value[2].is_number() && value[3].is_boolean()
        && value[4].is_array() && value[4].size() <= kMaxItems;
    if (!isWork)
        return std::nullopt;
    Work work;
    work.id = value[0].get<std::uint64_t>();
    work.gapObjective = std::chrono::milliseconds{value[1].get<std::int64_t>()};
    work.weight = value[2].get<double>();
    work.isWriting = value[3].get<bool>();
    for (const Json &item : value[4]) {
        auto part = decodePart(item);
        if (!part)
            return std::nullopt;
        work.parts.push_back(std::move(*part));
    }
    return work;
}

Json encodeNews(const WorkNews &news)
{
    return Json::array(
        {static_cast<int>(news.kind), news.id, news.work ? encodeWork(*news.work) : Json(nullptr)});
}

std::optional<WorkNews> decodeNews(const Json &value)
{
    constexpr std::size_t kFields = 3;
    constexpr std::uint64_t kMaxKind = static_cast<std::uint64_t>(WorkNews::Kind::Ended);
    const bool isNews = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[0].get<std::uint64_t>() <= kMaxKind && value[1].is_number_unsigned();
    if (!isNews)
        return std::nullopt;
    WorkNews news;
    news.kind = static_cast<WorkNews::Kind>(value[0].get<std::uint64_t>());
    news.id = value[1].get<std::uint64_t>();
    if (!value[2].is_null())
        news.work = decodeWork(value[2]);
    const bool lacksWork = news.kind == WorkNews::Kind::Began && !news.work;
    return lacksWork ? std::nullopt : std::optional(std::move(news));
}

std::optional<Departure> decodeDeparture(const Json &value)
{
    constexpr std::size_t kFields = 3;
    const bool isDeparture = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_integer() && value[2].is_boolean();
    if (!isDeparture)
        return std::nullopt;
    return Departure{{value[0].get<std::string>(), value[1].get<std::int64_t>()},
                     value[2].get<bool>()};
}

std::optional<SuspectNotice> decodeSuspect(const Json &value)
{
    constexpr std::size_t kFields = 3;
    const bool isNotice = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_array() && value[1].size() <= kMaxItems && value[2].is_boolean();
    if (!isNotice)
        return std::nullopt;
    SuspectNotice notice;
    notice.fingerprint = Fingerprint{value[0].get<std::uint64_t>()};
    notice.isCleared = value[2].get<bool>();
    for (const Json &death : value[1]) {
        if (!death.is_number_unsigned())
            return std::nullopt;
        notice.deaths.push_back(death.get<std::uint64_t>());
    }
    return notice;
}

/// Decodes each item of a list. False if one is odd.
template <class T, class Decode>
bool decodeList(const Json &list, std::vector<T> &out, Decode decode)
{
    if (!list.is_array() || list.size() > kMaxItems)
        return false;
    for (const Json &item : list) {
        auto value = decode(item);
        if (!value)
            return false;
        out.push_back(std::move(*value));
    }
    return true;
}

Json parseCbor(std::string_view bytes)
{
    // The reader throws on absurd sizes even where it is told not to.
    try {
        return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const std::exception &) {
        return Json(Json::value_t::discarded);
    }
}

} // namespace

std::string encodeHint(const Hint &hint)
{
    Json whole = nullptr;
    if (hint.whole) {
        whole = Json::array();
        for (const Work &work : *hint.whole)
            whole.push_back(encodeWork(work));
    }
    Json news = Json::array();
    for (const WorkNews &item : hint.news)
        news.push_back(encodeNews(item));
    Json departures = Json::array();
    for (const Departure &item : hint.departures)
        departures.push_back(Json::array({item.life.id, item.life.bornMs, item.isDraining}));
    Json suspects = Json::array();
    for (const SuspectNotice &item : hint.suspects)
        suspects.push_back(Json::array({item.fingerprint.value, item.deaths, item.isCleared}));
    const Json document =
        Json::array({hint.vm, hint.life, hint.sequence, hint.configVersion, hint.replicaRevision,
                     hint.readsStore, hint.isLeaving, std::move(whole), std::move(news),
                     std::move(departures), std::move(suspects)});
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

std::optional<Hint> decodeHint(std::string_view bytes)
{
    constexpr std::size_t kFields = 11;
    const Json document = parseCbor(bytes);
    const bool isHint = isArray(document, kFields) && document[0].is_string()
        && document[1].is_number_unsigned() && document[2].is_number_unsigned()
        && document[3].is_number_unsigned() && document[4].is_number_unsigned()
        && document[5].is_boolean() && document[6].is_boolean();
    if (!isHint)
        return std::nullopt;
    Hint hint;
    hint.vm = document[0].get<std::string>();
    hint.life = document[1].get<std::uint64_t>();
    hint.sequence = document[2].get<std::uint64_t>();
    hint.configVersion = document[3].get<std::uint64_t>();
    hint.replicaRevision = document[4].get<std::uint64_t>();
    hint.readsStore = document[5].get<bool>();
    hint.isLeaving = document[6].get<bool>();
    if (!document[7].is_null()) {
        hint.whole.emplace();
        if (!decodeList(document[7], *hint.whole, decodeWork))
            return std::nullopt;
    }
    const bool isWhole = decodeList(document[8], hint.news, decodeNews)
        && decodeList(document[9], hint.departures, decodeDeparture)
        && decodeList(document[10], hint.suspects, decodeSuspect);
    return isWhole ? std::optional(std::move(hint)) : std::nullopt;
}

} // namespace arbutuspier
