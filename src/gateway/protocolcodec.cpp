// One CBOR array: format, format version, VM, incarnation, protocol, cores, link in Mbit/s. Builds
// before the third protocol send no fields after it. Builds that don't know the format drop it;
// later ones may append fields.
#include "gateway/protocolcodec.h"

#include "gateway/cborfields.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "protocol";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

/// A capacity that is no positive number isn't known.
double capacityField(const Json &value)
{
    const double capacity = value.get<double>();
    return std::isfinite(capacity) ? std::max(0.0, capacity) : 0;
}

} // namespace

std::string encodeProtocol(const ProtocolAnnouncement &announcement)
{
    const Json document = Json::array(
        {kFormat, kFormatVersion, announcement.vm, announcement.incarnation, announcement.protocol,
         announcement.capacity.cores, announcement.capacity.linkMbps});
    return toCbor(document);
}

std::optional<ProtocolAnnouncement> decodeProtocol(std::string_view bytes)
{
    constexpr std::size_t kMinFields = 5;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kMinFields);
    const bool isAnnouncement = !document.is_discarded() && document[2].is_string()
        && document[3].is_number_unsigned() && document[4].is_number_unsigned();
    if (!isAnnouncement)
        return std::nullopt;
    ProtocolAnnouncement announcement{document[2].get<std::string>(),
                                      document[3].get<std::uint64_t>(),
                                      document[4].get<std::uint64_t>()};
    constexpr std::size_t kFieldsWithCapacity = 7;
    const bool hasCapacity = document.size() >= kFieldsWithCapacity && document[5].is_number()
        && document[6].is_number();
    if (hasCapacity)
        announcement.capacity = {capacityField(document[5]), capacityField(document[6])};
    return announcement;
}

} // namespace arbutuspier
