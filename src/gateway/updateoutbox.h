// Changes of this VM's active requests that wait to be sent to its peers.
//
// A change that others may act on at once is sent within milliseconds. One that frees a little of
// what is plentiful waits longer, so that several changes share a datagram: with many peers, their
// number decides what the reports cost. A request that ends while its begin still waits is never
// reported.
#pragma once

#include "arbutuspier/clock.h"
#include "gateway/activerequestupdate.h"

#include <optional>
#include <vector>

namespace arbutuspier {

struct UpdateOutboxOptions
{
    /// Longest time that an urgent change and any other one waits.
    Duration urgentDelay = std::chrono::milliseconds{3};
    Duration maxDelay = std::chrono::milliseconds{300};
};

class UpdateOutbox
{
public:
    explicit UpdateOutbox(UpdateOutboxOptions options)
        : m_options(options)
    {
    }

    void add(const ActiveRequestUpdate &update, TimePoint now);
    /// When the changes have to be sent; empty if there are none.
    std::optional<TimePoint> due() const { return m_due; }
    /// Returns and removes all changes, in the order in which they were added.
    std::vector<ActiveRequestUpdate> takeAll();

private:
    /// Removes the changes of a request whose begin is among them. False if it isn't.
    bool dropUnreported(std::uint64_t id);

    UpdateOutboxOptions m_options;
    std::vector<ActiveRequestUpdate> m_updates;
    /// Invariant: empty exactly if there are no changes.
    std::optional<TimePoint> m_due;
};

} // namespace arbutuspier
