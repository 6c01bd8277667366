// Compression of what VMs keep to pass on, in the raw deflate format (RFC 1951).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

/// The stream is followed by one zero byte.
std::string deflated(std::string_view bytes);
/// Returns nullopt if the bytes are not in this format, or if there are more than `maxBytes`
/// without the compression.
std::optional<std::string> inflated(std::string_view bytes, std::size_t maxBytes);

} // namespace arbutuspier
