// One CBOR array: format, format version, VM, incarnation, protocol, cores, link in Mbit/s. Builds
// before the third protocol send no fields after it. Builds that don't know the format drop it;
// later ones may append fields.
#include "gateway/protocolcodec.h"

#include "gateway/cborfields.h"

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "protocol";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

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
    const Json document = parseCbor(bytes);
    const bool isAnnouncement = isFormat(document, kFormat, kFormatVersion, kMinFields)
        && document[2].is_string() && document[3].is_number_unsigned()
        && document[4].is_number_unsigned();
    if (!isAnnouncement)
        return std::nullopt;
    ProtocolAnnouncement announcement{document[2].get<std::string>(),
                                      document[3].get<std::uint64_t>(),
                                      document[4].get<std::uint64_t>()};
    constexpr std::size_t kFieldsWithCapacity = 7;
    const bool hasCapacity = document.size() >= kFieldsWithCapacity && document[5].is_number()
        && document[6].is_number();
    if (hasCapacity)
        announcement.capacity = {document[5].get<double>(), document[6].get<double>()};
    return announcement;
}

} // namespace arbutuspier
