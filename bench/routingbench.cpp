// Compares, in virtual time, rules by which VMs place the calls to a plain service: by load, speed
// of the replicas and age of the reports. Prints p50 and p99 by kind of call.
#include "model/callfleet.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <vector>

DEFINE_uint64(vms, 33, "VMs of the fleet");
DEFINE_uint64(replicas, 7, "replicas of the service");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(seconds, 80, "length of each run; the first 20 s aren't measured");

using namespace arbutuspier;
using namespace arbutuspier::model;

namespace {

constexpr CallRule kRules[] = {CallRule::FewestRunning,    CallRule::TwoRandomChoices,
                               CallRule::LeastOutstanding, CallRule::ShortestExpectedWork,
                               CallRule::LearnedCost,      CallRule::Oracle};
constexpr double kLoads[] = {0.6, 0.8, 0.95};
/// Without and with this many slow replicas.
constexpr std::size_t kSlowReplicas[] = {0, 2};
/// Urgent reports, those that wait for others, and those of a disturbed network.
constexpr Duration kReportAges[] = {std::chrono::milliseconds{5}, std::chrono::milliseconds{200},
                                    std::chrono::seconds{2}};

void printRow(const CallFleetOptions &options)
{
    const CallFleetResult result = runCallFleet(options);
    std::printf("%4.2f  %-6s %6.3f  %-23s", options.load, options.slowReplicas ? "uneven" : "even",
                toSeconds(options.reportAge), toText(options.rule).c_str());
    for (const CallKindResult &kind : result.kinds)
        std::printf("  %6.0f %6.0f", kind.p50Ms, kind.p99Ms);
    std::printf("  %6.0f  %6.4f\n", result.all.p99Ms, result.all.lateFraction);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%zu VMs, %zu replicas, times in ms\n", static_cast<std::size_t>(FLAGS_vms),
                static_cast<std::size_t>(FLAGS_replicas));
    std::printf("load  speeds  age/s  %-23s  short: p50 p99   long: p50 p99  all p99   late\n",
                "rule");
    CallFleetOptions options;
    options.vmCount = FLAGS_vms;
    options.replicaCount = FLAGS_replicas;
    options.seed = FLAGS_seed;
    options.duration = fromSeconds(FLAGS_seconds);
    for (const double load : kLoads) {
        for (const std::size_t slow : kSlowReplicas) {
            for (const Duration age : kReportAges) {
                for (const CallRule rule : kRules) {
                    options.load = load;
                    options.slowReplicas = slow;
                    options.reportAge = age;
                    options.rule = rule;
                    printRow(options);
                }
            }
        }
    }
    return 0;
}
