// CBOR form of the messages between entry VMs.
#pragma once

#include "arbutuspier/peer.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodePeerMessage(const PeerMessage &message);

/// Empty if the bytes are no message of a version this VM knows.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace arbutuspier
