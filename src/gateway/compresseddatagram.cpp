// One CBOR array: format, format version, compressed bytes. Later builds may append fields.
#include "gateway/compresseddatagram.h"

#include "gateway/cborfields.h"
#include "net/deflate.h"

#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "compressed";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;
/// Longest datagram before it was compressed. The compressed one fits into a packet.
constexpr std::size_t kMaxBytes = 262'144;

} // namespace

std::string encodeCompressed(std::string_view datagram)
{
    return encodeByteString(kFormat, kFormatVersion, deflated(datagram));
}

std::optional<std::string> decodeCompressed(std::string_view bytes)
{
    const auto compressed = decodeByteString(bytes, kFormat, kFormatVersion);
    return compressed ? inflated(*compressed, kMaxBytes) : std::nullopt;
}

} // namespace arbutuspier
