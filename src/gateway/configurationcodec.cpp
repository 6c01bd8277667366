// One CBOR array: format, format version, compressed configuration. Later builds may append fields.
#include "gateway/configurationcodec.h"

#include "gateway/cborfields.h"

#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "configuration";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

} // namespace

std::string encodeConfiguration(std::string_view deflatedBytes)
{
    return encodeByteString(kFormat, kFormatVersion, deflatedBytes);
}

std::optional<std::string> decodePeerConfiguration(std::string_view bytes)
{
    return decodeByteString(bytes, kFormat, kFormatVersion);
}

} // namespace arbutuspier
