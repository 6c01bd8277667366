// One CBOR array: format, format version, VM, services. Builds that don't know the format drop it.
#include "gateway/lostpathscodec.h"

#include "gateway/cborfields.h"

#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "lost-paths";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

std::optional<std::string> decodeName(const Json &value)
{
    return value.is_string() ? std::optional(value.get<std::string>()) : std::nullopt;
}

} // namespace

std::string encodeLostPaths(const LostPaths &lost)
{
    const Json document = Json::array({kFormat, kFormatVersion, lost.vm, lost.services});
    return toCbor(document);
}

std::optional<LostPaths> decodeLostPaths(std::string_view bytes)
{
    constexpr std::size_t kFields = 4;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kFields);
    const bool isLostPaths = isArray(document, kFields) && document[2].is_string();
    if (!isLostPaths)
        return std::nullopt;
    LostPaths lost;
    lost.vm = document[2].get<std::string>();
    if (!decodeList(document[3], lost.services, decodeName))
        return std::nullopt;
    return lost;
}

} // namespace arbutuspier
