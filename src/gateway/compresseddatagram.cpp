// One CBOR array: format, format version, compressed bytes. Later builds may append fields.
#include "gateway/compresseddatagram.h"

#include "gateway/cborfields.h"
#include "net/deflate.h"

#include <cstdint>
#include <vector>

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
    const std::string compressed = deflated(datagram);
    const std::vector<std::uint8_t> bytes(compressed.begin(), compressed.end());
    return toCbor(Json::array({kFormat, kFormatVersion, Json::binary(bytes)}));
}

std::optional<std::string> decodeCompressed(std::string_view bytes)
{
    constexpr std::size_t kMinFields = 3;
    const Json document = parseCbor(bytes);
    const bool isCompressed =
        isFormat(document, kFormat, kFormatVersion, kMinFields) && document[2].is_binary();
    if (!isCompressed)
        return std::nullopt;
    const auto &binary = document[2].get_binary();
    const std::string compressed(binary.begin(), binary.end());
    return inflated(compressed, kMaxBytes);
}

} // namespace arbutuspier
