// One CBOR array: format, format version, time of writing, evidence, clearances. It begins with a
// string, so that it can't be mistaken for a datagram or row of another kind.
#include "gateway/partnoticescodec.h"

#include "gateway/cborfields.h"

#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "prompt-parts";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;
constexpr std::string_view kKeyPrefix = "parts/";

Json encodeExposure(const PartExposure &exposure)
{
    return Json::array({exposure.part.value, exposure.level, exposure.hasSucceeded});
}

std::optional<PartExposure> decodeExposure(const Json &value)
{
    constexpr std::size_t kFields = 3;
    const bool isExposure = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= kMaxPartLevel
        && value[2].is_boolean();
    if (!isExposure)
        return std::nullopt;
    return PartExposure{PromptPartId{value[0].get<std::uint64_t>()}, value[1].get<std::uint32_t>(),
                        value[2].get<bool>()};
}

Json encodeEvidence(const PartEvidence &evidence)
{
    return Json::array(
        {evidence.crash, evidence.request.value, encodeList(evidence.parts, encodeExposure)});
}

std::optional<PartEvidence> decodeEvidence(const Json &value)
{
    constexpr std::size_t kFields = 3;
    const bool isEvidence =
        isArray(value, kFields) && value[0].is_number_unsigned() && value[1].is_number_unsigned();
    if (!isEvidence)
        return std::nullopt;
    PartEvidence evidence;
    evidence.crash = value[0].get<std::uint64_t>();
    evidence.request = Fingerprint{value[1].get<std::uint64_t>()};
    if (!decodeList(value[2], evidence.parts, decodeExposure))
        return std::nullopt;
    return evidence;
}

Json encodeClearance(const PartClearance &clearance)
{
    return Json::array({clearance.part.value, clearance.level});
}

std::optional<PartClearance> decodeClearance(const Json &value)
{
    constexpr std::size_t kFields = 2;
    const bool isClearance = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_number_unsigned() && value[1].get<std::uint64_t>() <= kMaxPartLevel;
    if (!isClearance)
        return std::nullopt;
    return PartClearance{PromptPartId{value[0].get<std::uint64_t>()},
                         value[1].get<std::uint32_t>()};
}

} // namespace

std::string partRowKey(std::string_view vm)
{
    return std::string(kKeyPrefix) + std::string(vm);
}

bool isPartRowKey(std::string_view key)
{
    return key.starts_with(kKeyPrefix);
}

std::string encodePartRow(const PartRow &row)
{
    const Json document = Json::array({kFormat, kFormatVersion, row.writtenAt.count(),
                                       encodeList(row.notices.evidence, encodeEvidence),
                                       encodeList(row.notices.clearances, encodeClearance)});
    return toCbor(document);
}

std::optional<PartRow> decodePartRow(std::string_view bytes)
{
    constexpr std::size_t kFields = 5;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kFields);
    const bool isRow = isArray(document, kFields) && document[2].is_number_integer();
    if (!isRow)
        return std::nullopt;
    PartRow row;
    row.writtenAt = std::chrono::seconds{document[2].get<std::int64_t>()};
    const bool isDecoded = decodeList(document[3], row.notices.evidence, decodeEvidence)
        && decodeList(document[4], row.notices.clearances, decodeClearance);
    return isDecoded ? std::optional(std::move(row)) : std::nullopt;
}

} // namespace arbutuspier
