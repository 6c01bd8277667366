// The policy bench: the real core for four VMs over model engines in virtual time.
//
// Every scenario runs under each policy in the same process; ratios are within one run.
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
DEFINE_string(plot, "", "write SVG plots into this folder");
DEFINE_uint32(threads, 5, "worlds run at once");
DEFINE_uint64(seed, 1, "seed of the workload");

namespace arbutuspier::bench {
namespace {

using namespace model;

constexpr std::size_t kVms = 4;
constexpr std::size_t kEngines = 15;
const std::vector<std::string> kZones = {"zone-a", "zone-b", "zone-c"};
/// Short requests a second that the fleet can just carry beside the standard mix.
constexpr double kCapacityRate = 80;

struct Policy
{
    std::string name;
    std::function<void(NodeSettings &)> apply;
};

struct Scenario
{
    std::string name;
    Duration length;
    /// Submits the load and injects faults.
    std::function<void(Simulation &, Workload &)> script;
    std::function<void(SimulationOptions &)> tune = [](SimulationOptions &) {};
    WorkloadMix mix = {};
    /// Seconds of the session that count as the crest; all if empty.
    double crestFrom = 0;
    double crestTo = 1e9;
};

struct Outcome
{
    std::map<std::string, double> metrics;
    std::vector<std::pair<double, double>> firstTokens;
    std::vector<double> goodput;
};

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

VmId vmFor(Simulation &simulation, std::uint64_t number)
{
    const std::vector<VmId> live = simulation.runningVms();
    return live[number % live.size()];
}

/// Open-loop arrivals at a rate that may change over time.
void arrivals(Simulation &simulation, Workload &workload, double from, double to,
              const std::function<double(double)> &rate,
              const std::function<RequestSpec(Workload &)> &draw)
{
    Random random(FLAGS_seed * 77 + static_cast<std::uint64_t>(from * 10));
    double at = from;
    std::uint64_t number = 0;
    while (true) {
        at += -std::log(1.0 - uniform(random)) / rate(at);
        if (at >= to)
            return;
        simulation.at(fromSeconds(at), [&simulation, spec = draw(workload), number] {
            if (!simulation.runningVms().empty())
                simulation.submit(vmFor(simulation, number * 7 + number / 3), spec);
        });
        ++number;
    }
}

RequestSpec drawMix(Workload &workload)
{
    return workload.next();
}

void steady(Simulation &simulation, Workload &workload, double rate, double to)
{
    arrivals(
        simulation, workload, 0.5, to, [rate](double) { return rate; }, drawMix);
}

std::vector<Policy> policies()
{
    const auto baseline = [](RoutingMode mode) {
        return [mode](NodeSettings &s) {
            s.router.mode = mode;
            s.router.learnsSlowdown = false;
            s.router.assumesOthersDispatch = false;
            s.admission.refusesEarly = false;
            s.admission.isFair = false;
        };
    };
    return {
        {"ours", [](NodeSettings &) {}},
        {"round-robin", baseline(RoutingMode::RoundRobin)},
        {"least-outstanding", baseline(RoutingMode::LeastOutstanding)},
        {"two-choices", baseline(RoutingMode::TwoChoices)},
        {"no-pace", [](NodeSettings &s) { s.router.learnsSlowdown = false; }},
        {"no-others", [](NodeSettings &s) { s.router.assumesOthersDispatch = false; }},
        {"no-admission", [](NodeSettings &s) { s.admission.refusesEarly = false; }},
        {"no-cache", [](NodeSettings &s) { s.router.usesPrefixCache = false; }},
        {"no-antiherd", [](NodeSettings &s) { s.router.avoidsHerding = false; }},
        {"no-fairness", [](NodeSettings &s) { s.admission.isFair = false; }},
    };
}

std::vector<Scenario> scenarios()
{
    const auto mixed = [](double factor, double to) {
        return
            [factor, to](Simulation &w, Workload &l) { steady(w, l, kCapacityRate * factor, to); };
    };
    std::vector<Scenario> all;
    all.push_back({"steady", std::chrono::seconds{60}, mixed(0.7, 50)});
    WorkloadMix shorts;
    shorts.longFraction = 0;
    shorts.mediumFraction = 0;
    all.push_back({"short-only", std::chrono::seconds{60},
                   [](Simulation &w, Workload &l) { steady(w, l, kCapacityRate * 0.7 * 0.88, 50); },
                   [](SimulationOptions &) {}, shorts});
    for (double rate : {90.0, 120.0, 150.0, 180.0}) {
        char name[32];
        std::snprintf(name, sizeof(name), "shorts-%.0f", rate);
        all.push_back({name, std::chrono::seconds{60},
                       [rate](Simulation &w, Workload &l) { steady(w, l, rate, 50); },
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
                   [](Simulation &w, Workload &l) { steady(w, l, 14, 50); },
                   [](SimulationOptions &) {}, archive});
    all.push_back({"flood-base",
                   std::chrono::seconds{60},
                   [](Simulation &w, Workload &l) { steady(w, l, kCapacityRate * 0.5, 50); },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   40});
    all.push_back({"shift-start",
                   std::chrono::seconds{70},
                   [](Simulation &w, Workload &l) {
                       arrivals(
                           w, l, 0.5, 50,
                           [](double t) {
                               const double base = 15;
                               if (t < 15)
                                   return base;
                               return base * std::min(10.0, 1 + (t - 15) / 2 * 9);
                           },
                           [](Workload &load) { return load.nextShort(); });
                       arrivals(
                           w, l, 0.6, 50, [](double) { return 0.35; },
                           [](Workload &load) { return load.nextLong(); });
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   50});
    all.push_back({"recall-notice",
                   std::chrono::seconds{90},
                   [](Simulation &w, Workload &l) {
                       arrivals(
                           w, l, 0.5, 12, [](double) { return 1.0; },
                           [](Workload &load) { return load.nextLong(); });
                       arrivals(
                           w, l, 0.6, 60, [](double t) { return t < 15 ? 8.0 : 110.0; },
                           [](Workload &load) { return load.nextShort(); });
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   60});
    all.push_back({"engine-lost", std::chrono::seconds{60}, [](Simulation &w, Workload &l) {
                       steady(w, l, kCapacityRate * 0.9, 50);
                       w.at(std::chrono::seconds{20}, [&w] { w.crashUpstream(UpstreamId{4}); });
                   }});
    all.push_back({"vm-lost", std::chrono::seconds{60}, [](Simulation &w, Workload &l) {
                       steady(w, l, kCapacityRate * 0.8, 50);
                       w.at(std::chrono::seconds{20}, [&w] { w.crashVm(VmId{2}); });
                   }});
    all.push_back({"zone-cut", std::chrono::seconds{60}, [](Simulation &w, Workload &l) {
                       steady(w, l, kCapacityRate * 0.6, 50);
                       const auto cut = [&w](bool isCut) {
                           w.setZonePartition("zone-a", "zone-b", isCut);
                           w.setZonePartition("zone-a", "zone-c", isCut);
                           w.setPlatformPartition("zone-a", isCut);
                       };
                       w.at(std::chrono::seconds{20}, [cut] { cut(true); });
                       w.at(std::chrono::seconds{35}, [cut] { cut(false); });
                   }});
    all.push_back({"team-flood",
                   std::chrono::seconds{60},
                   [](Simulation &w, Workload &l) {
                       steady(w, l, kCapacityRate * 0.5, 50);
                       arrivals(
                           w, l, 15, 40, [](double) { return 150.0; },
                           [](Workload &load) {
                               RequestSpec spec = load.nextShort();
                               spec.team = "flood";
                               return spec;
                           });
                   },
                   [](SimulationOptions &) {},
                   {},
                   15,
                   40});
    all.push_back({"prompt-storm", std::chrono::seconds{240}, [](Simulation &w, Workload &l) {
                       steady(w, l, kCapacityRate * 0.4, 60);
                       for (int i = 0; i < 8; ++i) {
                           w.at(std::chrono::milliseconds{10'000 + i * 150}, [&w, i] {
                               RequestSpec spec;
                               spec.team = "officer";
                               spec.className = "files";
                               spec.target = "m";
                               spec.promptTokens = 700'000 + i * 30'000;
                               spec.maxTokens = 200;
                               spec.fingerprint = Fingerprint{900'000u + i};
                               spec.timeLimit = std::chrono::seconds{220};
                               w.submit(vmFor(w, i), spec);
                           });
                       }
                   }});
    for (double lag : {0.2, 1.0, 5.0}) {
        char name[32];
        std::snprintf(name, sizeof(name), "lag-%.1fs", lag);
        all.push_back({name, std::chrono::seconds{60}, mixed(0.8, 50),
                       [lag](SimulationOptions &o) { o.reportLag = fromSeconds(lag); }});
    }
    all.push_back({"cold-caches", std::chrono::seconds{60}, [](Simulation &w, Workload &l) {
                       steady(w, l, kCapacityRate * 0.8, 50);
                       for (std::uint64_t i = 1; i <= kEngines; i += 5)
                           w.at(std::chrono::seconds{20},
                                [&w, i] { w.crashUpstream(UpstreamId{i}); });
                   }});
    for (double factor : {0.5, 0.75, 1.0, 1.25, 1.5, 2.0}) {
        char name[32];
        std::snprintf(name, sizeof(name), "sweep-%.2fx", factor);
        all.push_back({name, std::chrono::seconds{60}, mixed(factor, 50)});
    }
    return all;
}

SimulationOptions fleet(const Scenario &scenario, const Policy &policy)
{
    SimulationOptions options;
    options.seed = FLAGS_seed;
    for (std::uint64_t i = 0; i < kVms; ++i)
        options.vms.push_back({VmId{i + 1}, kZones[i % kZones.size()]});
    for (std::uint64_t i = 0; i < kEngines; ++i)
        options.upstreams.push_back({UpstreamId{i + 1}, "engine-" + std::to_string(i + 1),
                                     RequestKind::Prompt, "m", kZones[i % kZones.size()], 400'000,
                                     true});
    scenario.tune(options);
    policy.apply(options.node);
    return options;
}

std::string lengthClassOf(std::uint64_t tokens)
{
    if (tokens < 4'096)
        return "short";
    return tokens < 32'768 ? "medium" : tokens <= 360'000 ? "long" : "gang";
}

void measure(Simulation &simulation, const Scenario &scenario, Outcome &outcome)
{
    std::map<std::string, std::vector<double>> first;
    std::map<std::string, std::vector<double>> between;
    std::map<std::string, double> offered;
    std::map<std::string, double> served;
    std::vector<double> floodedOthers;
    double goodTokens = 0;
    double late = 0;
    outcome.goodput.assign(static_cast<std::size_t>(toSeconds(scenario.length)) + 1, 0);
    for (const RequestEnded &ended : simulation.ended()) {
        const std::string lengthClass = lengthClassOf(ended.promptTokens);
        const double at = toSeconds(ended.at - simulation.startedAt());
        const double arrived = at - toSeconds(ended.total);
        if (arrived < scenario.crestFrom || arrived > scenario.crestTo)
            continue;
        ++offered[lengthClass];
        if (ended.verdict != Verdict::Ran)
            continue;
        ++served[lengthClass];
        const double firstToken = toSeconds(ended.firstToken);
        first[lengthClass].push_back(firstToken);
        outcome.firstTokens.emplace_back(static_cast<double>(ended.promptTokens), firstToken);
        if (ended.team != "flood" && lengthClass == "short")
            floodedOthers.push_back(firstToken);
        if (ended.tokens > 1)
            between[lengthClass].push_back(toSeconds(ended.total - ended.firstToken)
                                           / static_cast<double>(ended.tokens - 1));
        const bool isUseful = lengthClass != "short" || firstToken <= 0.94;
        if (!isUseful) {
            ++late;
            continue;
        }
        goodTokens += static_cast<double>(ended.promptTokens + ended.tokens);
        const auto second = static_cast<std::size_t>(std::max(0.0, at));
        if (second < outcome.goodput.size())
            outcome.goodput[second] += static_cast<double>(ended.promptTokens + ended.tokens);
    }
    for (const char *lengthClass : {"short", "medium", "long", "gang"}) {
        const std::string name = lengthClass;
        outcome.metrics[name + "_first_p50"] = percentile(first[name], 0.5);
        outcome.metrics[name + "_first_p95"] = percentile(first[name], 0.95);
        outcome.metrics[name + "_between_p95"] = percentile(between[name], 0.95);
        outcome.metrics[name + "_served"] = served[name];
        outcome.metrics[name + "_offered"] = offered[name];
    }
    outcome.metrics["others_first_p95"] = percentile(floodedOthers, 0.95);
    outcome.metrics["short_late"] = late;
    outcome.metrics["good_tokens"] = goodTokens;
    double busy = 0;
    for (std::uint64_t i = 1; i <= kEngines; ++i)
        busy += simulation.engine(UpstreamId{i})->busySeconds();
    outcome.metrics["engine_busy"] = busy
        / (static_cast<double>(kEngines) * toSeconds(simulation.now() - simulation.startedAt()));
}

Outcome run(const Scenario &scenario, const Policy &policy)
{
    Outcome outcome;
    Simulation simulation(fleet(scenario, policy));
    Workload workload(scenario.mix, "m", FLAGS_seed);
    scenario.script(simulation, workload);
    // Time for the last deadlines to pass, so that whatever is still held is lost for good.
    simulation.runUntil(scenario.length + std::chrono::seconds{260});
    measure(simulation, scenario, outcome);
    simulation.finish();
    const auto violations = TraceAuditor().audit(simulation.trace());
    outcome.metrics["violations"] = static_cast<double>(violations.size());
    for (const Violation &violation : violations) {
        if (policy.name == "ours")
            std::printf("VIOLATION %s %s: %s\n", scenario.name.c_str(),
                        std::string(guaranteeName(violation.guarantee)).c_str(),
                        violation.description.c_str());
    }
    return outcome;
}

struct Job
{
    const Scenario *scenario;
    const Policy *policy;
    Outcome outcome;
};

void printTable(const std::vector<Job> &jobs)
{
    std::printf("%-14s %-18s %7s %6s %7s %7s %7s %7s %6s %6s %8s %5s %5s %5s\n", "scenario",
                "policy", "short95", "ratio", "others", "betw95", "med95", "long95", "short%",
                "long%", "good/1M", "late", "busy", "viol");
    double reference = 0;
    for (const Job &job : jobs) {
        const auto &m = job.outcome.metrics;
        if (job.policy->name == "ours")
            reference = m.at("short_first_p95");
        const auto part = [&](const char *lengthClass) {
            const double offered = m.at(std::string(lengthClass) + "_offered");
            return offered == 0 ? 0.0 : 100 * m.at(std::string(lengthClass) + "_served") / offered;
        };
        std::printf("%-14s %-18s %7.3f %6.2f %7.3f %7.4f %7.2f %7.1f %6.1f %6.1f %8.2f %5.0f %5.2f "
                    "%5.0f\n",
                    job.scenario->name.c_str(), job.policy->name.c_str(), m.at("short_first_p95"),
                    reference > 0 ? m.at("short_first_p95") / reference : 0.0,
                    m.at("others_first_p95"), m.at("short_between_p95"), m.at("medium_first_p95"),
                    m.at("long_first_p95"), part("short"), part("long"), m.at("good_tokens") / 1e6,
                    m.at("short_late"), m.at("engine_busy"), m.at("violations"));
    }
}

void writeCsv(const std::vector<Job> &jobs)
{
    std::ofstream file(FLAGS_csv);
    file << "scenario,policy,metric,value\n";
    for (const Job &job : jobs) {
        for (const auto &[metric, value] : job.outcome.metrics)
            file << job.scenario->name << ',' << job.policy->name << ',' << metric << ',' << value
                 << '\n';
    }
}

/// A plot of one line a policy; axes are linear and start at zero.
void writePlot(const std::string &fileName, const std::string &title,
               const std::vector<std::pair<std::string, std::vector<double>>> &lines)
{
    constexpr double kWidth = 640;
    constexpr double kHeight = 320;
    constexpr double kMargin = 40;
    const char *colours[] = {"#1b6ca8", "#c8553d", "#588b8b", "#8a5a9e", "#444444"};
    double top = 0;
    std::size_t count = 1;
    for (const auto &[name, values] : lines) {
        count = std::max(count, values.size());
        for (double value : values)
            top = std::max(top, value);
    }
    std::ofstream file(FLAGS_plot + '/' + fileName);
    file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth << "' height='" << kHeight
         << "' font-family='sans-serif' font-size='11'>\n<text x='" << kMargin << "' y='16'>"
         << title << " (top " << top << ")</text>\n";
    std::size_t index = 0;
    for (const auto &[name, values] : lines) {
        const char *colour = colours[index % 5];
        file << "<polyline fill='none' stroke='" << colour << "' points='";
        for (std::size_t i = 0; i < values.size(); ++i) {
            const double x = kMargin
                + (kWidth - 2 * kMargin) * static_cast<double>(i) / static_cast<double>(count);
            const double y =
                kHeight - kMargin - (kHeight - 2 * kMargin) * (top > 0 ? values[i] / top : 0);
            file << x << ',' << y << ' ';
        }
        file << "'/>\n<text x='" << kWidth - 150 << "' y='" << 30 + 14 * index << "' fill='"
             << colour << "'>" << name << "</text>\n";
        ++index;
    }
    file << "</svg>\n";
}

std::vector<double> byLength(const Outcome &outcome)
{
    std::vector<double> line;
    for (double low = 1'000; low < 1'000'000; low *= 2) {
        std::vector<double> values;
        for (const auto &[tokens, first] : outcome.firstTokens) {
            if (tokens >= low && tokens < 2 * low)
                values.push_back(first);
        }
        line.push_back(percentile(values, 0.95));
    }
    return line;
}

void writePlots(const std::vector<Job> &jobs)
{
    std::map<std::string, std::vector<std::pair<std::string, std::vector<double>>>> goodput;
    std::map<std::string, std::vector<std::pair<std::string, std::vector<double>>>> lengths;
    for (const Job &job : jobs) {
        if (job.policy->name.rfind("no-", 0) == 0)
            continue;
        goodput[job.scenario->name].emplace_back(job.policy->name, job.outcome.goodput);
        lengths[job.scenario->name].emplace_back(job.policy->name, byLength(job.outcome));
    }
    for (const char *name : {"steady", "shift-start", "recall-notice"}) {
        writePlot(std::string("goodput-") + name + ".svg",
                  std::string(name) + ": useful tokens a second over time", goodput[name]);
        writePlot(std::string("first-token-") + name + ".svg",
                  std::string(name) + ": first token p95 in seconds, prompts 1k to 1M",
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
                jobs[job].outcome = run(*jobs[job].scenario, *jobs[job].policy);
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
