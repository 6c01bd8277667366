// The datagram in which a VM passes on what it has read of the list of replicas.
#pragma once

#include "gateway/replicanews.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodeReplicaNotice(const ReplicaNotice &notice);
/// Returns nullopt if the bytes are not such a datagram.
std::optional<ReplicaNotice> decodeReplicaNotice(std::string_view bytes);

} // namespace arbutuspier
