// A datagram of another kind, compressed. Builds before the third protocol don't know it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

/// Shorter datagrams hardly become shorter.
inline constexpr std::size_t kMinCompressedBytes = 512;

std::string encodeCompressed(std::string_view datagram);
/// Returns the datagram, or nullopt if the bytes are not one of this kind.
std::optional<std::string> decodeCompressed(std::string_view bytes);

} // namespace arbutuspier
