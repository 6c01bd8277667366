// Tests the gateway's settings file and its log sink.
#include "gateway/gatewaysettings.h"
#include "gateway/ratelimitedlogsink.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace arbutuspier;

namespace {

constexpr const char *kSettings = R"([vm]
name = "edge-1"
zone = "yard"
[listen]
callers = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
peers = "10.1.0.40:7340"
metrics = "10.1.0.40:9464"
[peers]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
[platform]
store = "10.200.1.7:8223"
[limits]
cores = 0.084
link_mbps = 14
write_timeout_s = 4
memory_mb = 112
[bounds]
drain_ms = 2000
grace_s = 8
[retries]
ratio = 0.2
slack = 102
)";

} // namespace

TEST_GROUP(GatewaySettingsFile){};

TEST(GatewaySettingsFile, isParsedCompletely)
{
    const auto settings = parseGatewaySettings(kSettings, "gate.toml");
    CHECK(settings.has_value());
    STRCMP_EQUAL("edge-1", settings->vm.c_str());
    LONGS_EQUAL(7340, settings->peers.port);
    LONGS_EQUAL(2, settings->seedHosts.size());
    STRCMP_EQUAL("10.2.0.29", settings->seedHosts[1].c_str());
    CHECK(settings->grace == std::chrono::seconds{8});
    DOUBLES_EQUAL(102, settings->retrySlack, 1e-9);
    DOUBLES_EQUAL(0.084, settings->capacity.cores, 1e-9);
    DOUBLES_EQUAL(14, settings->capacity.linkMbps, 1e-9);
    CHECK(settings->writeTimeout == std::chrono::seconds{4});
    LONGS_EQUAL(112'000'000, settings->memoryBytes);
}

TEST(GatewaySettingsFile, placesRequestsByLearnedCostOnlyIfItSaysSo)
{
    CHECK(!parseGatewaySettings(kSettings, "gate.toml")->learnedCost);
    const std::string text = std::string(kSettings) + "[routing]\nlearned_cost = ";
    const auto reloaded = parseGatewaySettings(text + "true\n", "gate.toml");
    CHECK(reloaded->learnedCost);
    GatewaySettings active = *parseGatewaySettings(kSettings, "gate.toml");
    CHECK(applyGatewaySettings(active, *reloaded).empty());
    CHECK(active.learnedCost);
    const auto wrong = parseGatewaySettings(text + "\"yes\"\n", "gate.toml");
    CHECK(!wrong.has_value());
    CHECK(wrong.error().message.find("routing.learned_cost") != std::string::npos);
}

TEST(GatewaySettingsFile, reportsAllErrorsAtOnce)
{
    const auto settings = parseGatewaySettings("[vm]\nname = \"\"\n[retries]\nratio = -1\n", "g");
    CHECK(!settings.has_value());
    const std::string &message = settings.error().message;
    for (const char *key :
         {"vm.name", "vm.zone", "listen.callers", "platform.store", "retries.ratio"})
        CHECK(message.find(key) != std::string::npos);
}

TEST(GatewaySettingsFile, appliesSettingsThatNeedNoRestart)
{
    GatewaySettings active = *parseGatewaySettings(kSettings, "gate.toml");
    GatewaySettings reloaded = active;
    reloaded.grace = std::chrono::seconds{20};
    reloaded.retrySlack = 7;
    reloaded.seedHosts = {"10.9.0.1"};
    CHECK(applyGatewaySettings(active, reloaded).empty());
    CHECK(active.grace == std::chrono::seconds{20});
    DOUBLES_EQUAL(7, active.retrySlack, 1e-9);
    STRCMP_EQUAL("10.9.0.1", active.seedHosts.front().c_str());
}

TEST(GatewaySettingsFile, reportsWhatNeedsARestartAndLeavesItUnchanged)
{
    GatewaySettings active = *parseGatewaySettings(kSettings, "gate.toml");
    GatewaySettings reloaded = active;
    reloaded.zone = "hall";
    reloaded.callers.port = 1;
    const auto names = applyGatewaySettings(active, reloaded);
    LONGS_EQUAL(2, names.size());
    STRCMP_EQUAL("vm.zone", names[0].c_str());
    STRCMP_EQUAL("listen.callers", names[1].c_str());
    STRCMP_EQUAL("yard", active.zone.c_str());
}

TEST(GatewaySettingsFile, isRejectedIfItIsNotToml)
{
    CHECK(!parseGatewaySettings("[vm\nname", "g").has_value());
}

TEST_GROUP(ARateLimitedLogSink)
{
    ManualClock clock;
    std::array<int, 2> pipeEnds{};

    void setup() override
    {
        CHECK(::pipe(pipeEnds.data()) == 0);
    }
    void teardown() override
    {
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }

    void log(RateLimitedLogSink & sink, const std::string &text)
    {
        sink.send(google::GLOG_INFO, "", "", 0, google::LogMessageTime(), text.data(), text.size());
    }
    std::string read()
    {
        ::fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
        std::string text(1 << 20, '\0');
        const ssize_t size = ::read(pipeEnds[0], text.data(), text.size());
        text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return text;
    }
};

TEST(ARateLimitedLogSink, writesOneLineForEachMessage)
{
    RateLimitedLogSink sink(pipeEnds[1], {}, clock);
    log(sink, "event=started vm=a");
    const std::string text = read();
    CHECK(text.find("level=INFO event=started vm=a\n") != std::string::npos);
}

TEST(ARateLimitedLogSink, dropsAndCountsLinesWhileThePipeIsFull)
{
    RateLimitedLogSink sink(pipeEnds[1], {1e9, 1e9}, clock);
    const std::string message(1000, 'x');
    for (int i = 0; i < 5000; ++i)
        log(sink, message);
    CHECK(sink.droppedLines() > 0);
    read();
    log(sink, "event=after");
    const std::string text = read();
    CHECK(text.find("event=after\n") != std::string::npos);
    CHECK(text.find("event=log_lines_dropped count=") != std::string::npos);
}

TEST(ARateLimitedLogSink, limitsABurstAndAcceptsLinesAfterwards)
{
    RateLimitedLogSink sink(pipeEnds[1], {10, 5}, clock);
    for (int i = 0; i < 20; ++i)
        log(sink, "event=burst");
    LONGS_EQUAL(15, sink.droppedLines());
    clock.advance(std::chrono::seconds{1});
    log(sink, "event=calm");
    CHECK(read().find("count=15") != std::string::npos);
}
