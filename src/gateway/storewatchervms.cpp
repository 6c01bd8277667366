// The part of StoreWatcher that registers this VM and reads the list of VMs.
#include "gateway/storewatcher.h"

#include "kernel/logline.h"
#include "platform/tablenames.h"

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

using Outcome = platform::StoreRead::Outcome;

Task<bool> StoreWatcher::registerSelf()
{
    co_return co_await m_vmClient.write(platform::kVmTable, m_state.settings.vm,
                                        m_state.settings.peers.text(), kCallTimeout);
}

Task<void> StoreWatcher::deleteStaleRegistrations(const platform::StoreRead &read)
{
    const TimePoint now = m_state.clock.now();
    std::vector<std::string> others;
    for (const platform::StoreRow &row : read.rows) {
        const bool isOther = row.key != m_state.settings.vm;
        if (isOther && m_state.groups.isInOwnGroup(row.key))
            others.push_back(row.key);
    }
    m_roster.onRegistered(others, now);
    const std::vector<std::string> removedVms = m_roster.removedVms(now);
    for (const platform::StoreRow &row : read.rows) {
        if (std::find(removedVms.begin(), removedVms.end(), row.key) == removedVms.end())
            continue;
        const bool isRemoved =
            co_await m_vmClient.remove(platform::kVmTable, row.key, row.version, kCallTimeout);
        LOG(INFO) << LogLine("vm_gone")
                         .add("vm", row.key)
                         .add("outcome", isRemoved ? "removed" : "left")
                         .text();
    }
}

Task<void> StoreWatcher::watchVms()
{
    std::uint32_t failures = 0;
    bool isRegistered = false;
    while (true) {
        if (!isRegistered)
            isRegistered = co_await registerSelf();
        const platform::StoreRead read =
            co_await m_vmClient.readTable(platform::kVmTable, kCallTimeout);
        std::vector<VmRegistration> vms;
        for (const platform::StoreRow &row : read.rows)
            vms.push_back({row.key, row.bytes, row.version});
        if (read.outcome == Outcome::Done) {
            if (onVms)
                onVms(vms);
            // Peers that got no message from this VM for long may have deleted its registration.
            isRegistered = std::any_of(vms.begin(), vms.end(), [this](const VmRegistration &row) {
                return row.vm == m_state.settings.vm;
            });
            co_await deleteStaleRegistrations(read);
        }
        const bool isDone = isRegistered && read.outcome == Outcome::Done;
        if (isDone)
            failures = 0;
        const Duration interval =
            jittered(m_state.random, m_vmInterval.interval(m_state.storeReaderCount()));
        const Duration delay = isDone ? interval : pauseAfter(failures++);
        co_await awaitPoll(m_vmSchedule, m_vmTimer, m_state.clock.now() + delay);
    }
}

} // namespace arbutuspier
