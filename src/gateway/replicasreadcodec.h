// The datagram in which a VM tells its peers that it has read the list of replicas from the store.
#pragma once

#include <string>
#include <string_view>

namespace arbutuspier {

std::string encodeReplicasRead();
/// Whether the bytes are such a datagram.
bool isReplicasRead(std::string_view bytes);

} // namespace arbutuspier
