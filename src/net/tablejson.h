// JSON form of table calls and outcomes, as the platform's table service speaks it.
#pragma once

#include "arbutuspier/table.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodeTableRequest(const TableRequest &request);
std::optional<TableRequest> decodeTableRequest(std::string_view text);
std::string encodeTableOutcome(const TableOutcome &outcome);
/// Anything that is no outcome is unknown.
TableOutcome decodeTableOutcome(std::string_view text);

} // namespace arbutuspier
