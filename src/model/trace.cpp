// Formats trace entries as text, one event a line. The event names and keys are part of the golden
// files and stay as they are when a struct is renamed.
#include "model/trace.h"

#include "kernel/logline.h"

#include <array>
#include <cstdio>

namespace arbutuspier::model {

namespace {

struct Describer
{
    LogLine operator()(const RequestArrived &event) const
    {
        return LogLine("arrived")
            .add("request", event.request.value)
            .add("vm", event.vm.value)
            .addSeconds("limit", toSeconds(event.timeLimit))
            .add("key", event.atMostOnceKey.empty() ? "-" : event.atMostOnceKey);
    }
    LogLine operator()(const ResponseSent &event) const
    {
        return LogLine("answer")
            .add("request", event.request.value)
            .add("verdict", verdictName(event.verdict))
            .add("reason", reasonName(event.reason))
            .add("units", event.expectedTokens);
    }
    LogLine operator()(const ChunkDelivered &event) const
    {
        return LogLine("piece")
            .add("request", event.request.value)
            .add("made_for", event.generatedFor.value)
            .add("offset", event.offset)
            .add("count", event.count);
    }
    LogLine operator()(const AttemptStarted &event) const
    {
        return LogLine("ran")
            .add("request", event.request.value)
            .add("upstream", event.upstream.value)
            .add("key", event.atMostOnceKey.empty() ? "-" : event.atMostOnceKey);
    }
    LogLine operator()(const CallerLeft &event) const
    {
        return LogLine("caller_left").add("request", event.request.value);
    }
    LogLine operator()(const VmCrashed &event) const
    {
        return LogLine("vm_lost").add("vm", event.vm.value);
    }
    LogLine operator()(const VmFrozen &event) const
    {
        return LogLine("vm_frozen")
            .add("vm", event.vm.value)
            .addSeconds("for", toSeconds(event.duration));
    }
    LogLine operator()(const DrainBegan &event) const
    {
        return LogLine("drain_began").add("vm", event.vm.value);
    }
    LogLine operator()(const VmExited &event) const
    {
        return LogLine("vm_exited").add("vm", event.vm.value);
    }
    LogLine operator()(const UpstreamDrainBegan &event) const
    {
        return LogLine("upstream_left").add("upstream", event.upstream.value);
    }
    LogLine operator()(const UpstreamCrashed &event) const
    {
        return LogLine("upstream_died")
            .add("upstream", event.upstream.value)
            .add("killer", event.cause.value);
    }
    LogLine operator()(const MemoryAtEnd &event) const
    {
        return LogLine("memory_at_end")
            .add("upstream", event.upstream.value)
            .add("held", event.usedTokens);
    }
    LogLine operator()(const EditConfirmed &event) const
    {
        return LogLine("edit_confirmed").add("version", event.version);
    }
    LogLine operator()(const VersionActivated &event) const
    {
        return LogLine("version_in_force").add("vm", event.vm.value).add("version", event.version);
    }
    LogLine operator()(const ReachabilityChanged &event) const
    {
        return LogLine("reach")
            .add("vm", event.vm.value)
            .add("ok", event.canReachPlatform ? "yes" : "no");
    }
    LogLine operator()(const OrderExecuted &event) const
    {
        return LogLine("order_taken")
            .add("upstream", event.upstream.value)
            .add("fence", event.fence);
    }
    LogLine operator()(const SessionEnded &) const { return LogLine("session_ended"); }
};

} // namespace

std::string describe(const TraceEntry &entry)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%10.4f ", toSeconds(entry.at.time_since_epoch()));
    return time.data() + std::visit(Describer{}, entry.event).text();
}

} // namespace arbutuspier::model
