// One CBOR array: format, format version, compressed configuration. Later builds may append fields.
#include "gateway/configurationcodec.h"

#include "gateway/cborfields.h"

#include <cstdint>
#include <vector>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "configuration";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

} // namespace

std::string encodeConfiguration(std::string_view deflatedBytes)
{
    const std::vector<std::uint8_t> bytes(deflatedBytes.begin(), deflatedBytes.end());
    return toCbor(Json::array({kFormat, kFormatVersion, Json::binary(bytes)}));
}

std::optional<std::string> decodePeerConfiguration(std::string_view bytes)
{
    constexpr std::size_t kMinFields = 3;
    const Json document = parseCbor(bytes);
    const bool isConfiguration =
        isFormat(document, kFormat, kFormatVersion, kMinFields) && document[2].is_binary();
    if (!isConfiguration)
        return std::nullopt;
    const auto &binary = document[2].get_binary();
    return std::string(binary.begin(), binary.end());
}

} // namespace arbutuspier
