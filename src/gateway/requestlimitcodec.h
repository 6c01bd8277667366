// Encodes what a VM knows of the request limits of replicas, for datagrams of their own.
#pragma once

#include "arbutuspier/replicarequestlimits.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

std::string encodeRequestLimits(const std::vector<RequestLimitNotice> &notices);
/// Returns nullopt if the bytes are not a valid list of this format version.
std::optional<std::vector<RequestLimitNotice>> decodeRequestLimits(std::string_view bytes);

} // namespace arbutuspier
