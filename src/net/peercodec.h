// CBOR encoding of the messages between entry VMs.
#pragma once

#include "arbutuspier/peer.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodePeerMessage(const PeerMessage &message);

/// Returns an empty value if the bytes are no valid message of the wire version this VM supports.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace arbutuspier
