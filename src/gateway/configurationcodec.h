// The configuration as a VM passes it on to a peer that lacks nothing else.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

/// HTTP path from which peers fetch the configuration. Builds before the third protocol don't know
/// it.
inline constexpr std::string_view kConfigurationPath = "/configuration";

/// Encodes a configuration that was compressed by deflated().
std::string encodeConfiguration(std::string_view deflatedBytes);
/// Returns the compressed configuration, or nullopt if the bytes are not of this format.
std::optional<std::string> decodePeerConfiguration(std::string_view bytes);

} // namespace arbutuspier
