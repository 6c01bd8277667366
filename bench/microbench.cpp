// Measures the hot paths (routing, queueing, reading prompts) at today's fleet sizes and at those
// expected in two years.
#include "arbutuspier/fairqueue.h"
#include "arbutuspier/random.h"
#include "arbutuspier/router.h"
#include "net/promptreader.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace {

using namespace arbutuspier;

std::vector<UpstreamInfo> makeUpstreams(std::size_t count)
{
    std::vector<UpstreamInfo> list;
    for (std::uint64_t i = 1; i <= count; ++i)
        list.push_back({UpstreamId{i}, "engine", RequestKind::Prompt, "m",
                        "zone-" + std::to_string(i % 5), 400'000, true});
    return list;
}

RequestSpec shortPrompt()
{
    RequestSpec spec;
    spec.target = "m";
    spec.promptTokens = 2'000;
    spec.maxTokens = 100;
    spec.prefixBlocks = {1, 2};
    spec.fingerprint = Fingerprint{99};
    return spec;
}

/// Chooses an upstream for a short prompt; the argument is the number of upstreams.
void routeOne(benchmark::State &state)
{
    const auto list = makeUpstreams(static_cast<std::size_t>(state.range(0)));
    Router router("zone-1", list, RouterOptions{});
    Random random(1);
    const RequestSpec spec = shortPrompt();
    const TimePoint now{std::chrono::seconds{100}};
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(spec, LengthClass::Short, {}, now, random));
}

/// Baseline for routeOne: takes the next usable upstream of the list without computing a score.
void routeRoundRobin(benchmark::State &state)
{
    const auto list = makeUpstreams(static_cast<std::size_t>(state.range(0)));
    RouterOptions options;
    options.mode = RoutingMode::RoundRobin;
    Router router("zone-1", list, options);
    Random random(1);
    const RequestSpec spec = shortPrompt();
    const TimePoint now{std::chrono::seconds{100}};
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(spec, LengthClass::Short, {}, now, random));
}

/// Adds a request to the fair queue and removes one; the argument is the number of active teams.
void queueOne(benchmark::State &state)
{
    FairQueue queue;
    const auto teams = static_cast<std::uint64_t>(state.range(0));
    std::vector<std::string> names;
    std::uint64_t nextId = 1;
    for (std::uint64_t i = 0; i < teams; ++i) {
        names.push_back("team-" + std::to_string(i));
        queue.push(RequestId{nextId++}, "ask", names.back(), LengthClass::Short, 2'000, 1);
        queue.push(RequestId{nextId++}, "ask", names.back(), LengthClass::Short, 2'000, 1);
    }
    std::uint64_t team = 0;
    for (auto _ : state) {
        queue.push(RequestId{nextId++}, "ask", names[team++ % teams], LengthClass::Short, 2'000, 1);
        benchmark::DoNotOptimize(queue.pop(LengthClass::Short));
    }
}

/// Reads a request body whose prompt has as many tokens as the benchmark's argument.
void readBody(benchmark::State &state)
{
    const std::string body = "{\"model\":\"m\",\"prompt\":\""
        + std::string(static_cast<std::size_t>(state.range(0)) * kBytesPerToken, 'x') + "\"}";
    for (auto _ : state)
        benchmark::DoNotOptimize(readPrompt(body));
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * body.size()));
}

BENCHMARK(readBody)->Arg(1'000)->Arg(1'000'000);
BENCHMARK(routeOne)->Arg(15)->Arg(500)->Arg(2'500);
BENCHMARK(routeRoundRobin)->Arg(15)->Arg(500)->Arg(2'500);
BENCHMARK(queueOne)->Arg(10)->Arg(1'000)->Arg(20'000);

} // namespace

BENCHMARK_MAIN();
