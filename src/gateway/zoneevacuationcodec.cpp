// One CBOR array: format, format version, age in milliseconds, zones. It begins with a string, so
// that it can't be mistaken for a datagram of another kind; builds that don't know it drop it.
#include "gateway/zoneevacuationcodec.h"

#include "gateway/cborfields.h"

#include <algorithm>
#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "zone-evacuations";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;
/// Longest age that is told; it is for operators only.
constexpr std::uint64_t kMaxAgeMs = 86'400'000;

Json encodeZone(const ZoneEvacuation &zone)
{
    return Json::array({zone.zone, zone.revision.era, zone.revision.number, zone.isEvacuated});
}

std::optional<ZoneEvacuation> decodeZone(const Json &value)
{
    constexpr std::size_t kFields = 4;
    const bool isZone = value.is_array() && value.size() >= kFields && value[0].is_string()
        && value[1].is_number_unsigned() && value[2].is_number_unsigned() && value[3].is_boolean();
    if (!isZone)
        return std::nullopt;
    return ZoneEvacuation{value[0].get<std::string>(),
                          {value[1].get<std::uint64_t>(), value[2].get<std::uint64_t>()},
                          value[3].get<bool>()};
}

} // namespace

std::string encodeZoneEvacuations(const ZoneEvacuationNotice &notice)
{
    const auto ageMs = static_cast<std::uint64_t>(std::max(0.0, toMilliseconds(notice.age)));
    return toCbor(Json::array({kFormat, kFormatVersion, std::min(ageMs, kMaxAgeMs),
                               encodeList(notice.zones, encodeZone)}));
}

std::optional<ZoneEvacuationNotice> decodeZoneEvacuations(std::string_view bytes)
{
    constexpr std::size_t kFields = 4;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kFields);
    const bool isNotice = !document.is_discarded() && document[2].is_number_unsigned()
        && document[2].get<std::uint64_t>() <= kMaxAgeMs;
    if (!isNotice)
        return std::nullopt;
    ZoneEvacuationNotice notice;
    notice.age = fromMilliseconds(static_cast<double>(document[2].get<std::uint64_t>()));
    if (!decodeList(document[3], notice.zones, decodeZone))
        return std::nullopt;
    return notice;
}

} // namespace arbutuspier
