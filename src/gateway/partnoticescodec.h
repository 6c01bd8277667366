// Encodes what a VM knows of the parts of prompts that may crash replicas, for datagrams of their
// own and for rows of the metadata store.
#pragma once

#include "arbutuspier/promptpartquarantine.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

struct PartRow
{
    /// Wall-clock time since 1970; zero in a datagram.
    std::chrono::seconds writtenAt{};
    PartNotices notices;
};

/// Key of the row that `vm` writes. No key of a suspect request begins like it.
std::string partRowKey(std::string_view vm);
bool isPartRowKey(std::string_view key);

std::string encodePartRow(const PartRow &row);
/// Returns nullopt if the bytes are not a valid row of this format version.
std::optional<PartRow> decodePartRow(std::string_view bytes);

} // namespace arbutuspier
