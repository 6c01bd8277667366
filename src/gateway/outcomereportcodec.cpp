// One CBOR array: format, format version, VM, zone, outcomes. Builds that don't know the format
// drop it; later ones may append fields.
#include "gateway/outcomereportcodec.h"

#include "gateway/cborfields.h"

#include <algorithm>
#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "outcomes";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;
/// Higher counts in a report count as this many, so that sums stay in range.
constexpr std::uint64_t kMaxCount = 10'000;

Json encodeOutcomes(const ReplicaOutcomes &outcomes)
{
    return Json::array({outcomes.incarnation.id, outcomes.incarnation.startedAtMs,
                        outcomes.failures, outcomes.unreachable, outcomes.successes});
}

std::uint32_t count(const Json &value)
{
    return static_cast<std::uint32_t>(std::min(value.get<std::uint64_t>(), kMaxCount));
}

std::optional<ReplicaOutcomes> decodeOutcomes(const Json &value)
{
    constexpr std::size_t kMinFields = 5;
    const bool isOutcomes = value.is_array() && value.size() >= kMinFields && value[0].is_string()
        && value[1].is_number_integer() && value[2].is_number_unsigned()
        && value[3].is_number_unsigned() && value[4].is_number_unsigned();
    if (!isOutcomes)
        return std::nullopt;
    return ReplicaOutcomes{{value[0].get<std::string>(), value[1].get<std::int64_t>()},
                           count(value[2]),
                           count(value[3]),
                           count(value[4])};
}

} // namespace

std::string encodeOutcomeReport(const OutcomeReport &report)
{
    const Json document = Json::array({kFormat, kFormatVersion, report.vm, report.zone,
                                       encodeList(report.outcomes, encodeOutcomes)});
    return toCbor(document);
}

std::optional<OutcomeReport> decodeOutcomeReport(std::string_view bytes)
{
    constexpr std::size_t kMinFields = 5;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kMinFields);
    const bool isReport =
        !document.is_discarded() && document[2].is_string() && document[3].is_string();
    if (!isReport)
        return std::nullopt;
    OutcomeReport report{document[2].get<std::string>(), document[3].get<std::string>(), {}};
    if (!decodeList(document[4], report.outcomes, decodeOutcomes))
        return std::nullopt;
    return report;
}

} // namespace arbutuspier
