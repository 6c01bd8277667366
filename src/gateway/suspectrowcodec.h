// Encodes what a VM knows of a suspect request as a row of the metadata store.
#pragma once

#include "arbutuspier/ids.h"
#include "arbutuspier/peer.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct SuspectRow
{
    /// Wall-clock time since 1970.
    std::chrono::seconds writtenAt{};
    std::vector<SuspectNotice> notices;
};

/// Key of the row that `vm` writes for a request. All rows of a request begin with the key of an
/// empty name.
std::string suspectRowKey(Fingerprint fingerprint, std::string_view vm);

std::string encodeSuspectRow(const SuspectRow &row);
/// Returns nullopt if the bytes are not a valid row of this format version.
std::optional<SuspectRow> decodeSuspectRow(std::string_view bytes);

} // namespace arbutuspier
