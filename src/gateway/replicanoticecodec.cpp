// One CBOR array: format, format version, first revision, last revision, milliseconds of grace,
// rows, overdue replicas, cold replicas of the rows with the milliseconds for which they stay cold.
// A row without an entry is its id alone. Builds that don't know the format drop it; earlier ones
// send no cold replicas, and later ones may append fields.
#include "gateway/replicanoticecodec.h"

#include "gateway/cborfields.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "replica-news";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;
/// No VM waits longer for entries to come back.
constexpr std::uint64_t kMaxGraceMs = 60'000;
/// No replica stays cold for longer.
constexpr std::uint64_t kMaxColdMs = 600'000;

std::uint64_t toMs(Duration duration)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Json encodeRevision(const platform::StoreRevision &revision)
{
    return Json::array({revision.era, revision.number});
}

std::optional<platform::StoreRevision> decodeRevision(const Json &value)
{
    constexpr std::size_t kFields = 2;
    const bool isRevision =
        isArray(value, kFields) && value[0].is_number_unsigned() && value[1].is_number_unsigned();
    if (!isRevision)
        return std::nullopt;
    return platform::StoreRevision{value[0].get<std::uint64_t>(), value[1].get<std::uint64_t>()};
}

Json encodeRow(const ReplicaRow &row)
{
    return row.entry ? encodeReplica(*row.entry) : Json(row.id);
}

std::optional<ReplicaRow> decodeRow(const Json &value)
{
    if (value.is_string())
        return ReplicaRow{value.get<std::string>(), std::nullopt};
    const auto entry = decodeReplica(value);
    return entry ? std::optional(ReplicaRow{entry->id, entry}) : std::nullopt;
}

Json encodeIncarnation(const ReplicaIncarnation &incarnation)
{
    return Json::array({incarnation.id, incarnation.startedAtMs});
}

std::optional<ReplicaIncarnation> decodeIncarnation(const Json &value)
{
    constexpr std::size_t kFields = 2;
    const bool isIncarnation =
        isArray(value, kFields) && value[0].is_string() && value[1].is_number_integer();
    if (!isIncarnation)
        return std::nullopt;
    return ReplicaIncarnation{value[0].get<std::string>(), value[1].get<std::int64_t>()};
}

using ColdReplica = std::pair<std::string, Duration>;

std::vector<ColdReplica> coldReplicas(const std::vector<ReplicaRow> &rows)
{
    std::vector<ColdReplica> result;
    for (const ReplicaRow &row : rows) {
        if (row.entry && row.entry->coldLeft > Duration::zero())
            result.emplace_back(row.id, row.entry->coldLeft);
    }
    return result;
}

Json encodeColdReplica(const ColdReplica &replica)
{
    return Json::array({replica.first, toMs(replica.second)});
}

std::optional<ColdReplica> decodeColdReplica(const Json &value)
{
    constexpr std::size_t kFields = 2;
    const bool isColdReplica = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= kMaxColdMs;
    if (!isColdReplica)
        return std::nullopt;
    return ColdReplica{value[0].get<std::string>(),
                       std::chrono::milliseconds{value[1].get<std::int64_t>()}};
}

/// Reads the field of the cold replicas, which earlier builds don't send, into the rows.
bool decodeColdReplicas(const Json &document, std::vector<ReplicaRow> &rows)
{
    constexpr std::size_t kField = 7;
    if (document.size() <= kField)
        return true;
    std::vector<ColdReplica> cold;
    if (!decodeList(document[kField], cold, decodeColdReplica))
        return false;
    const std::map<std::string, Duration> coldLeft(cold.begin(), cold.end());
    for (ReplicaRow &row : rows) {
        const auto found = coldLeft.find(row.id);
        if (row.entry && found != coldLeft.end())
            row.entry->coldLeft = found->second;
    }
    return true;
}

} // namespace

std::string encodeReplicaNotice(const ReplicaNotice &notice)
{
    const Json document = Json::array({kFormat, kFormatVersion, encodeRevision(notice.from),
                                       encodeRevision(notice.to), toMs(notice.graceLeft),
                                       encodeList(notice.rows, encodeRow),
                                       encodeList(notice.overdue, encodeIncarnation),
                                       encodeList(coldReplicas(notice.rows), encodeColdReplica)});
    return toCbor(document);
}

std::optional<ReplicaNotice> decodeReplicaNotice(std::string_view bytes)
{
    constexpr std::size_t kMinFields = 7;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kMinFields);
    const bool isNotice = !document.is_discarded() && document[4].is_number_unsigned()
        && document[4].get<std::uint64_t>() <= kMaxGraceMs;
    if (!isNotice)
        return std::nullopt;
    const auto from = decodeRevision(document[2]);
    const auto to = decodeRevision(document[3]);
    if (!from || !to)
        return std::nullopt;
    const std::chrono::milliseconds graceLeft{document[4].get<std::int64_t>()};
    ReplicaNotice notice{*from, *to, graceLeft, {}, {}};
    const bool isDecoded = decodeList(document[5], notice.rows, decodeRow)
        && decodeList(document[6], notice.overdue, decodeIncarnation)
        && decodeColdReplicas(document, notice.rows);
    return isDecoded ? std::optional(std::move(notice)) : std::nullopt;
}

} // namespace arbutuspier
