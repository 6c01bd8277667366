// CBOR encoding of what a VM saw of replicas, for its peers.
#pragma once

#include "arbutuspier/sharedreplicahealth.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodeOutcomeReport(const OutcomeReport &report);

/// Empty if the bytes are no valid report, or one of a format that this build doesn't know.
std::optional<OutcomeReport> decodeOutcomeReport(std::string_view bytes);

} // namespace arbutuspier
