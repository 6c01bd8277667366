// The datagram with which a VM tells its peers which zones are evacuated.
#pragma once

#include "arbutuspier/zoneevacuations.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodeZoneEvacuations(const ZoneEvacuationNotice &notice);
/// Returns nullopt if the bytes are no such datagram.
std::optional<ZoneEvacuationNotice> decodeZoneEvacuations(std::string_view bytes);

} // namespace arbutuspier
