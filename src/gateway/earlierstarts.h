// Finds replicas that have started again under their id with a lower start time, as after their
// VM's clock was set back.
//
// An entry with a lower start time may also be a late write of a process that has ended. Only the
// process that runs writes a second one, and no other comes between them.
#pragma once

#include "arbutuspier/upstreamdirectory.h"
#include "platform/storeclient.h"

#include <cstdint>
#include <map>
#include <string>

namespace arbutuspier {

class EarlierStarts
{
public:
    /// Takes an entry as it was read at `version`, while `known` is the one in use. Returns whether
    /// the incarnation of `known` has ended, as another process runs under its id.
    bool hasReplaced(const ReplicaEntry &known, const ReplicaEntry &read,
                     platform::StoreRevision version);

private:
    struct Start
    {
        std::int64_t startedAtMs = 0;
        platform::StoreRevision version;
    };

    /// By id; the first entry seen with a lower start time than that of the known one.
    std::map<std::string, Start, std::less<>> m_seen;
};

} // namespace arbutuspier
