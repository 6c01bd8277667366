// JSON encoding of the calls to the platform's table service and of their outcomes.
#pragma once

#include "arbutuspier/table.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodeTableRequest(const TableRequest &request);
/// Returns an empty value if the text is no valid request.
std::optional<TableRequest> decodeTableRequest(std::string_view text);
std::string encodeTableOutcome(const TableOutcome &outcome);
/// Returns `TableUnknown` for text that is no valid outcome.
TableOutcome decodeTableOutcome(std::string_view text);

} // namespace arbutuspier
