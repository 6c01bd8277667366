// Compares routing and admission policies: runs the production core of four VMs against engine
// models in virtual time.
//
// Every scenario runs under each policy in the same process with the same seed, so that the printed
// ratios compare results of one run.
#include "model/simulation.h"
#include "model/traceauditor.h"
#include "model/workload.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <thread>

DEFINE_string(scenario, "", "run only scenarios whose name contains this text");
DEFINE_string(policy, "", "run only policies whose name contains this text");
DEFINE_string(csv, "", "write scenario,policy,metric,value to this file");
DEFINE_string(plot, "", "write SVG plots into this existing directory");
DEFINE_uint32(threads, 5, "number of simulations to run in parallel");
DEFINE_uint64(seed, 1, "seed of the workload");

namespace arbutuspier::bench {
namespace {

using namespace model;

constexpr std::size_t kVms = 4;
constexpr std::size_t kEngines = 15;
const std::vector<std::string> kZones = {"zone-a", "zone-b", "zone-c"};
/// Requests per second of the standard mix that the fleet can just serve.
constexpr double kCapacityRate = 80;

struct Policy
{
    std::string name;
    std::function<void(NodeSettings &)> apply;
};

struct Scenario
{
    std::string name;
    Duration duration;
    /// Schedules the load and the faults before the simulation runs.
    std::function<void(Simulation &, Workload &)> schedule;
    /// Changes the options of the simulation before it is set up.
    std::function<void(SimulationOptions &)> adjustOptions = [](SimulationOptions &) {};
    WorkloadMix mix = {};
    /// Requests are measured if they arrive between these times, in seconds from the start; by
    /// default all are.
    double measuredFromSeconds = 0;
    double measuredToSeconds = 1e9;
};

struct RunResult
{
    std::map<std::string, double> metrics;
    /// Prompt tokens and time to first token in seconds, for each request served.
    std::vector<std::pair<double, double>> timesToFirstTokenSeconds;
    /// Tokens that count as goodput, by the second in which their request ended.
    std::vector<double> goodputTokens;
};

double percentile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

VmId runningVmFor(Simulation &simulation, std::uint64_t requestIndex)
{
    const std::vector<VmId> runningVms = simulation.runningVms();
    return runningVms[requestIndex % runningVms.size()];
}

/// Schedules open-loop arrivals between two times in seconds; `rate` gives the requests per second
/// at a time.
void scheduleArrivals(Simulation &simulation, Workload &workload, double beginSeconds,
                      double endSeconds, const std::function<double(double)> &rate,
                      const std::function<RequestSpec(Workload &)> &draw)
{
    Random random(FLAGS_seed * 77 + static_cast<std::uint64_t>(beginSeconds * 10));
    double arrivalSeconds = beginSeconds;
    std::uint64_t requestIndex = 0;
    while (true) {
        arrivalSeconds += -std::log(1.0 - uniform(random)) / rate(arrivalSeconds);
        if (arrivalSeconds >= endSeconds)
            return;
        simulation.at(
            fromSeconds(arrivalSeconds), [&simulation, spec = draw(workload), requestIndex] {
                if (!simulation.runningVms().empty())
                    simulation.submit(runningVmFor(simulation, requestIndex * 7 + requestIndex / 3),
                                      spec);
            });
        ++requestIndex;
    }
}

RequestSpec drawMix(Workload &workload)
{
    return workload.next();
}

void scheduleSteadyLoad(Simulation &simulation, Workload &workload, double rate, double endSeconds)
{
    scheduleArrivals(
        simulation, workload, 0.5, endSeconds, [rate](double) { return rate; }, drawMix);
}

std::vector<Policy> policies()
{
    const auto baseline = [](RoutingMode mode) {
        return [mode](NodeSettings &settings) {
            settings.router.mode = mode;
            settings.router.learnsSlowdown = false;
            settings.router.assumesOthersDispatch = false;
            settings.admission.rejectsEarly = false;
            settings.admission.usesFairQueue = false;
        };
    };
    return {
        {"ours", [](NodeSettings &) {}},
        {"round-robin", baseline(RoutingMode::RoundRobin)},
        {"least-outstanding", baseline(RoutingMode::LeastOutstanding)},
        {"two-choices", baseline(RoutingMode::TwoChoices)},
        {"no-pace", [](NodeSettings &settings) { settings.router.learnsSlowdown = false; }},
        {"no-others",
         [](NodeSettings &settings) { settings.router.assumesOthersDispatch = false; }},
        {"no-admission", [](NodeSettings &settings) { settings.admission.rejectsEarly = false; }},
        {"no-cache", [](NodeSettings &settings) { settings.router.usesPrefixCache = false; }},
        {"no-antiherd", [](NodeSettings &settings) { settings.router.avoidsHerding = false; }},
        {"no-fairness", [](NodeSettings &settings) { settings.admission.usesFairQueue = false; }},
    };
}

std::vector<Scenario> scenarios()
{
    const auto steadyMix = [](double factor, double endSeconds) {
        return [factor, endSeconds](Simulation &simulation, Workload &workload) {
            scheduleSteadyLoad(simulation, workload, kCapacityRate * factor, endSeconds);
        };
    };
    std::vector<Scenario> all;
    all.push_back({"steady", std::chrono::seconds{60}, steadyMix(0.7, 50)});
    WorkloadMix shorts;
    shorts.longFraction = 0;
    shorts.mediumFraction = 0;
    all.push_back({"short-only", std::chrono::seconds{60},
                   [](Simulation &simulation, Workload &workload) {
                       scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.7 * 0.88, 50);
                   },
                   [](SimulationOptions &) {}, shorts});
    for (double rate : {90.0, 120.0, 150.0, 180.0}) {
        char name[32];
        std::snprintf(name, sizeof(name), "shorts-%.0f", rate);
        all.push_back({name, std::chrono::seconds{60},
                       [rate](Simulation &simulation, Workload &workload) {
                           scheduleSteadyLoad(simulation, workload, rate, 50);
                       },
                       [](SimulationOptions &) {}, shorts});
    }
    WorkloadMix archive;
    archive.longFraction = 0;
    archive.mediumFraction = 1;
    archive.shortMax = 12'000;
    archive.mediumMax = 20'000;
    archive.sharedPrefixFraction = 0.9;
    archive.sharedPrefixes = 40;
    archive.prefixBlocks = 11;
    all.push_back({"archive", std::chrono::seconds{60},
                   [](Simulation &simulation, Workload &workload) {
                       scheduleSteadyLoad(simulation, workload, 14, 50);
                   },
                   [](SimulationOptions &) {}, archive});
    all.push_back({"flood-base",
                   std::chrono::seconds{60},
                   [](Simulation &simulation, Workload &workload) {
                       scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.5, 50);
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   40});
    all.push_back({"shift-start",
                   std::chrono::seconds{70},
                   [](Simulation &simulation, Workload &workload) {
                       scheduleArrivals(
                           simulation, workload, 0.5, 50,
                           [](double seconds) {
                               const double base = 15;
                               if (seconds < 15)
                                   return base;
                               return base * std::min(10.0, 1 + (seconds - 15) / 2 * 9);
                           },
                           [](Workload &generator) { return generator.nextShort(); });
                       scheduleArrivals(
                           simulation, workload, 0.6, 50, [](double) { return 0.35; },
                           [](Workload &generator) { return generator.nextLong(); });
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   50});
    all.push_back({"recall-notice",
                   std::chrono::seconds{90},
                   [](Simulation &simulation, Workload &workload) {
                       scheduleArrivals(
                           simulation, workload, 0.5, 12, [](double) { return 1.0; },
                           [](Workload &generator) { return generator.nextLong(); });
                       scheduleArrivals(
                           simulation, workload, 0.6, 60,
                           [](double seconds) { return seconds < 15 ? 8.0 : 110.0; },
                           [](Workload &generator) { return generator.nextShort(); });
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   60});
    all.push_back(
        {"engine-lost", std::chrono::seconds{60}, [](Simulation &simulation, Workload &workload) {
             scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.9, 50);
             simulation.at(std::chrono::seconds{20},
                           [&simulation] { simulation.crashUpstream(UpstreamId{4}); });
         }});
    all.push_back(
        {"vm-lost", std::chrono::seconds{60}, [](Simulation &simulation, Workload &workload) {
             scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.8, 50);
             simulation.at(std::chrono::seconds{20},
                           [&simulation] { simulation.crashVm(VmId{2}); });
         }});
    all.push_back(
        {"zone-cut", std::chrono::seconds{60}, [](Simulation &simulation, Workload &workload) {
             scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.6, 50);
             const auto setPartition = [&simulation](bool isPartitioned) {
                 simulation.setZonePartition("zone-a", "zone-b", isPartitioned);
                 simulation.setZonePartition("zone-a", "zone-c", isPartitioned);
                 simulation.setPlatformPartition("zone-a", isPartitioned);
             };
             simulation.at(std::chrono::seconds{20}, [setPartition] { setPartition(true); });
             simulation.at(std::chrono::seconds{35}, [setPartition] { setPartition(false); });
         }});
    all.push_back({"team-flood",
                   std::chrono::seconds{60},
                   [](Simulation &simulation, Workload &workload) {
                       scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.5, 50);
                       scheduleArrivals(
                           simulation, workload, 15, 40, [](double) { return 150.0; },
                           [](Workload &generator) {
                               RequestSpec spec = generator.nextShort();
                               spec.team = "flood";
                               return spec;
                           });
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   40});
    all.push_back(
        {"prompt-storm", std::chrono::seconds{240}, [](Simulation &simulation, Workload &workload) {
             scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.4, 60);
             for (int i = 0; i < 8; ++i) {
                 simulation.at(std::chrono::milliseconds{10'000 + i * 150}, [&simulation, i] {
                     RequestSpec spec;
                     spec.team = "officer";
                     spec.className = "files";
                     spec.target = "m";
                     spec.promptTokens = 700'000 + i * 30'000;
                     spec.maxTokens = 200;
                     spec.fingerprint = Fingerprint{900'000u + i};
                     spec.timeLimit = std::chrono::seconds{220};
                     simulation.submit(runningVmFor(simulation, i), spec);
                 });
             }
         }});
    for (double lag : {0.2, 1.0, 5.0}) {
        char name[32];
        std::snprintf(name, sizeof(name), "lag-%.1fs", lag);
        all.push_back(
            {name, std::chrono::seconds{60}, steadyMix(0.8, 50),
             [lag](SimulationOptions &options) { options.reportLag = fromSeconds(lag); }});
    }
    all.push_back(
        {"cold-caches", std::chrono::seconds{60}, [](Simulation &simulation, Workload &workload) {
             scheduleSteadyLoad(simulation, workload, kCapacityRate * 0.8, 50);
             for (std::uint64_t i = 1; i <= kEngines; i += 5)
                 simulation.at(std::chrono::seconds{20},
                               [&simulation, i] { simulation.crashUpstream(UpstreamId{i}); });
         }});
    for (double factor : {0.5, 0.75, 1.0, 1.25, 1.5, 2.0}) {
        char name[32];
        std::snprintf(name, sizeof(name), "sweep-%.2fx", factor);
        all.push_back({name, std::chrono::seconds{60}, steadyMix(factor, 50)});
    }
    return all;
}

SimulationOptions makeSimulationOptions(const Scenario &scenario, const Policy &policy)
{
    SimulationOptions options;
    options.seed = FLAGS_seed;
    for (std::uint64_t i = 0; i < kVms; ++i)
        options.vms.push_back({VmId{i + 1}, kZones[i % kZones.size()]});
    for (std::uint64_t i = 0; i < kEngines; ++i)
        options.upstreams.push_back({UpstreamId{i + 1}, "engine-" + std::to_string(i + 1),
                                     RequestKind::Prompt, "m", kZones[i % kZones.size()], 400'000,
                                     true});
    scenario.adjustOptions(options);
    policy.apply(options.node);
    return options;
}

std::string lengthClassOf(std::uint64_t tokens)
{
    if (tokens < 4'096)
        return "short";
    return tokens < 32'768 ? "medium" : tokens <= 360'000 ? "long" : "gang";
}

void collectMetrics(Simulation &simulation, const Scenario &scenario, RunResult &result)
{
    std::map<std::string, std::vector<double>> timesToFirstTokenByClass;
    std::map<std::string, std::vector<double>> interEventGapsByClass;
    std::map<std::string, double> offered;
    std::map<std::string, double> served;
    std::vector<double> otherTeamsTimesToFirstToken;
    double goodTokens = 0;
    double lateCount = 0;
    result.goodputTokens.assign(static_cast<std::size_t>(toSeconds(scenario.duration)) + 1, 0);
    for (const RequestEnded &ended : simulation.endedRequests()) {
        const std::string lengthClass = lengthClassOf(ended.promptTokens);
        const double endedAtSeconds = toSeconds(ended.at - simulation.startedAt());
        const double arrivalSeconds = endedAtSeconds - toSeconds(ended.total);
        if (arrivalSeconds < scenario.measuredFromSeconds
            || arrivalSeconds > scenario.measuredToSeconds)
            continue;
        ++offered[lengthClass];
        if (ended.verdict != Verdict::Ran)
            continue;
        ++served[lengthClass];
        const double timeToFirstToken = toSeconds(ended.timeToFirstToken);
        timesToFirstTokenByClass[lengthClass].push_back(timeToFirstToken);
        result.timesToFirstTokenSeconds.emplace_back(static_cast<double>(ended.promptTokens),
                                                     timeToFirstToken);
        if (ended.team != "flood" && lengthClass == "short")
            otherTeamsTimesToFirstToken.push_back(timeToFirstToken);
        if (ended.tokens > 1)
            interEventGapsByClass[lengthClass].push_back(
                toSeconds(ended.total - ended.timeToFirstToken)
                / static_cast<double>(ended.tokens - 1));
        // A short request whose first token takes longer than 0.94 s doesn't count as goodput.
        const bool countsAsGoodput = lengthClass != "short" || timeToFirstToken <= 0.94;
        if (!countsAsGoodput) {
            ++lateCount;
            continue;
        }
        goodTokens += static_cast<double>(ended.promptTokens + ended.tokens);
        const auto second = static_cast<std::size_t>(std::max(0.0, endedAtSeconds));
        if (second < result.goodputTokens.size())
            result.goodputTokens[second] += static_cast<double>(ended.promptTokens + ended.tokens);
    }
    for (const char *lengthClass : {"short", "medium", "long", "gang"}) {
        const std::string name = lengthClass;
        result.metrics[name + "_first_p50"] = percentile(timesToFirstTokenByClass[name], 0.5);
        result.metrics[name + "_first_p95"] = percentile(timesToFirstTokenByClass[name], 0.95);
        result.metrics[name + "_between_p95"] = percentile(interEventGapsByClass[name], 0.95);
        result.metrics[name + "_served"] = served[name];
        result.metrics[name + "_offered"] = offered[name];
    }
    result.metrics["others_first_p95"] = percentile(otherTeamsTimesToFirstToken, 0.95);
    result.metrics["short_late"] = lateCount;
    result.metrics["good_tokens"] = goodTokens;
    double busy = 0;
    for (std::uint64_t i = 1; i <= kEngines; ++i)
        busy += simulation.engine(UpstreamId{i})->busySeconds();
    result.metrics["engine_busy"] = busy
        / (static_cast<double>(kEngines) * toSeconds(simulation.now() - simulation.startedAt()));
}

RunResult runScenario(const Scenario &scenario, const Policy &policy)
{
    RunResult result;
    Simulation simulation(makeSimulationOptions(scenario, policy));
    Workload workload(scenario.mix, "m", FLAGS_seed);
    scenario.schedule(simulation, workload);
    // Lets the last deadlines pass, so that a reservation that still exists at the end has leaked.
    simulation.runUntil(scenario.duration + std::chrono::seconds{260});
    collectMetrics(simulation, scenario, result);
    simulation.finish();
    const auto violations = TraceAuditor().audit(simulation.trace());
    result.metrics["violations"] = static_cast<double>(violations.size());
    for (const Violation &violation : violations) {
        if (policy.name == "ours")
            std::printf("VIOLATION %s %s: %s\n", scenario.name.c_str(),
                        std::string(guaranteeName(violation.guarantee)).c_str(),
                        violation.description.c_str());
    }
    return result;
}

struct Job
{
    const Scenario *scenario;
    const Policy *policy;
    RunResult result;
};

void printTable(const std::vector<Job> &jobs)
{
    std::printf("%-14s %-18s %7s %6s %7s %7s %7s %7s %6s %6s %8s %5s %5s %5s\n", "scenario",
                "policy", "short95", "ratio", "others", "betw95", "med95", "long95", "short%",
                "long%", "good/1M", "late", "busy", "viol");
    double ourShortP95 = 0;
    for (const Job &job : jobs) {
        const auto &metrics = job.result.metrics;
        if (job.policy->name == "ours")
            ourShortP95 = metrics.at("short_first_p95");
        const auto servedPercent = [&](const char *lengthClass) {
            const double offered = metrics.at(std::string(lengthClass) + "_offered");
            return offered == 0 ? 0.0
                                : 100 * metrics.at(std::string(lengthClass) + "_served") / offered;
        };
        std::printf("%-14s %-18s %7.3f %6.2f %7.3f %7.4f %7.2f %7.1f %6.1f %6.1f %8.2f %5.0f %5.2f "
                    "%5.0f\n",
                    job.scenario->name.c_str(), job.policy->name.c_str(),
                    metrics.at("short_first_p95"),
                    ourShortP95 > 0 ? metrics.at("short_first_p95") / ourShortP95 : 0.0,
                    metrics.at("others_first_p95"), metrics.at("short_between_p95"),
                    metrics.at("medium_first_p95"), metrics.at("long_first_p95"),
                    servedPercent("short"), servedPercent("long"), metrics.at("good_tokens") / 1e6,
                    metrics.at("short_late"), metrics.at("engine_busy"), metrics.at("violations"));
    }
}

void writeCsv(const std::vector<Job> &jobs)
{
    std::ofstream file(FLAGS_csv);
    file << "scenario,policy,metric,value\n";
    for (const Job &job : jobs) {
        for (const auto &[metric, value] : job.result.metrics)
            file << job.scenario->name << ',' << job.policy->name << ',' << metric << ',' << value
                 << '\n';
    }
}

/// Writes an SVG plot with one line per policy. Both axes are linear and start at zero.
void writePlot(const std::string &fileName, const std::string &title,
               const std::vector<std::pair<std::string, std::vector<double>>> &lines)
{
    constexpr double kWidth = 640;
    constexpr double kHeight = 320;
    constexpr double kMargin = 40;
    const char *colours[] = {"#1b6ca8", "#c8553d", "#588b8b", "#8a5a9e", "#444444"};
    double maxValue = 0;
    std::size_t count = 1;
    for (const auto &[name, values] : lines) {
        count = std::max(count, values.size());
        for (double value : values)
            maxValue = std::max(maxValue, value);
    }
    std::ofstream file(FLAGS_plot + '/' + fileName);
    file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth << "' height='" << kHeight
         << "' font-family='sans-serif' font-size='11'>\n<text x='" << kMargin << "' y='16'>"
         << title << " (maximum " << maxValue << ")</text>\n";
    std::size_t index = 0;
    for (const auto &[name, values] : lines) {
        const char *colour = colours[index % 5];
        file << "<polyline fill='none' stroke='" << colour << "' points='";
        for (std::size_t i = 0; i < values.size(); ++i) {
            const double x = kMargin
                + (kWidth - 2 * kMargin) * static_cast<double>(i) / static_cast<double>(count);
            const double y = kHeight - kMargin
                - (kHeight - 2 * kMargin) * (maxValue > 0 ? values[i] / maxValue : 0);
            file << x << ',' << y << ' ';
        }
        file << "'/>\n<text x='" << kWidth - 150 << "' y='" << 30 + 14 * index << "' fill='"
             << colour << "'>" << name << "</text>\n";
        ++index;
    }
    file << "</svg>\n";
}

/// 95th percentile of the time to first token, by prompt length in powers of two from 1000 tokens.
std::vector<double> timeToFirstTokenP95ByLength(const RunResult &result)
{
    std::vector<double> line;
    for (double low = 1'000; low < 1'000'000; low *= 2) {
        std::vector<double> values;
        for (const auto &[tokens, timeToFirstToken] : result.timesToFirstTokenSeconds) {
            if (tokens >= low && tokens < 2 * low)
                values.push_back(timeToFirstToken);
        }
        line.push_back(percentile(values, 0.95));
    }
    return line;
}

void writePlots(const std::vector<Job> &jobs)
{
    std::map<std::string, std::vector<std::pair<std::string, std::vector<double>>>> goodputTokens;
    std::map<std::string, std::vector<std::pair<std::string, std::vector<double>>>> lengths;
    for (const Job &job : jobs) {
        if (job.policy->name.rfind("no-", 0) == 0)
            continue;
        goodputTokens[job.scenario->name].emplace_back(job.policy->name, job.result.goodputTokens);
        lengths[job.scenario->name].emplace_back(job.policy->name,
                                                 timeToFirstTokenP95ByLength(job.result));
    }
    for (const char *name : {"steady", "shift-start", "recall-notice"}) {
        writePlot(std::string("goodput-") + name + ".svg",
                  std::string(name) + ": goodput in tokens per second over time",
                  goodputTokens[name]);
        writePlot(std::string("first-token-") + name + ".svg",
                  std::string(name)
                      + ": p95 of the time to first token in seconds, prompts 1k to 1M",
                  lengths[name]);
    }
}

int runAll()
{
    const std::vector<Scenario> allScenarios = scenarios();
    const std::vector<Policy> allPolicies = policies();
    std::vector<Job> jobs;
    for (const Scenario &scenario : allScenarios) {
        if (scenario.name.find(FLAGS_scenario) == std::string::npos)
            continue;
        for (const Policy &policy : allPolicies) {
            if (policy.name.find(FLAGS_policy) != std::string::npos)
                jobs.push_back({&scenario, &policy, {}});
        }
    }
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < FLAGS_threads; ++i) {
        threads.emplace_back([&] {
            for (std::size_t job = next++; job < jobs.size(); job = next++)
                jobs[job].result = runScenario(*jobs[job].scenario, *jobs[job].policy);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    printTable(jobs);
    if (!FLAGS_csv.empty())
        writeCsv(jobs);
    if (!FLAGS_plot.empty())
        writePlots(jobs);
    return 0;
}

} // namespace
} // namespace arbutuspier::bench

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("compares routing and admission policies in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return arbutuspier::bench::runAll();
}
