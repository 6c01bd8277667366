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
    LogLine operator()(const RequestArrived &f) const
    {
        return LogLine("arrived")
            .add("request", f.request.value)
            .add("vm", f.vm.value)
            .addSeconds("limit", toSeconds(f.limit))
            .add("key", f.atMostOnceKey.empty() ? "-" : f.atMostOnceKey);
    }
    LogLine operator()(const ResponseSent &f) const
    {
        return LogLine("answer")
            .add("request", f.request.value)
            .add("verdict", verdictName(f.verdict))
            .add("reason", reasonName(f.reason))
            .add("units", f.wholeUnits);
    }
    LogLine operator()(const ChunkDelivered &f) const
    {
        return LogLine("piece")
            .add("request", f.request.value)
            .add("made_for", f.generatedFor.value)
            .add("offset", f.offset)
            .add("count", f.count);
    }
    LogLine operator()(const AttemptRan &f) const
    {
        return LogLine("ran")
            .add("request", f.request.value)
            .add("upstream", f.upstream.value)
            .add("key", f.atMostOnceKey.empty() ? "-" : f.atMostOnceKey);
    }
    LogLine operator()(const CallerLeft &f) const
    {
        return LogLine("caller_left").add("request", f.request.value);
    }
    LogLine operator()(const VmLost &f) const { return LogLine("vm_lost").add("vm", f.vm.value); }
    LogLine operator()(const VmFrozen &f) const
    {
        return LogLine("vm_frozen").add("vm", f.vm.value).addSeconds("for", toSeconds(f.duration));
    }
    LogLine operator()(const DrainBegan &f) const
    {
        return LogLine("drain_began").add("vm", f.vm.value);
    }
    LogLine operator()(const VmExited &f) const
    {
        return LogLine("vm_exited").add("vm", f.vm.value);
    }
    LogLine operator()(const UpstreamLeft &f) const
    {
        return LogLine("upstream_left").add("upstream", f.upstream.value);
    }
    LogLine operator()(const UpstreamDied &f) const
    {
        return LogLine("upstream_died")
            .add("upstream", f.upstream.value)
            .add("killer", f.killer.value);
    }
    LogLine operator()(const MemoryAtEnd &f) const
    {
        return LogLine("memory_at_end")
            .add("upstream", f.upstream.value)
            .add("held", f.reservedTokens);
    }
    LogLine operator()(const EditConfirmed &f) const
    {
        return LogLine("edit_confirmed").add("version", f.version);
    }
    LogLine operator()(const VersionInForce &f) const
    {
        return LogLine("version_in_force").add("vm", f.vm.value).add("version", f.version);
    }
    LogLine operator()(const ReachChanged &f) const
    {
        return LogLine("reach").add("vm", f.vm.value).add("ok", f.canReach ? "yes" : "no");
    }
    LogLine operator()(const OrderTaken &f) const
    {
        return LogLine("order_taken").add("upstream", f.upstream.value).add("fence", f.fence);
    }
    LogLine operator()(const SessionEnded &) const { return LogLine("session_ended"); }
};

} // namespace

std::string describe(const TraceEntry &entry)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%10.4f ", toSeconds(entry.at.time_since_epoch()));
    return time.data() + std::visit(Describer{}, entry.fact).text();
}

} // namespace arbutuspier::model
