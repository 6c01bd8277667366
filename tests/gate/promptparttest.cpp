// Requests that share a part of their prompts which crashes each replica that runs them, among
// requests that share their other parts.
#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100}]})";

constexpr std::string_view kSharedPart = "5c1e07a2:800";
constexpr std::string_view kCrashingPart = "91bd3f06:410";
constexpr std::string_view kHarmlessPart = "77aa0011:300";
/// Crashes that the gateway needs to find the part.
constexpr std::size_t kMaxCrashes = 5;
constexpr std::size_t kReplicas = 12;
constexpr int kRequests = 6;

ReplicaStep answer()
{
    return {"HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
            "X-Arbutuspier-Response-Signature: s1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "f\r\nid: 0\ndata: x\n\n\r\n0\r\n\r\n"};
}

/// The replica reads the prompt and crashes when it begins to write.
ReplicaStep crashAfterPrefill()
{
    ReplicaStep step = crash();
    step.delay = milliseconds{120};
    return step;
}

bool holds(const ReplicaRequest &request, std::string_view part)
{
    const auto prefix = request["X-Arbutuspier-Prompt-Prefix"];
    return std::string_view(prefix.data(), prefix.size()).find(part) != std::string_view::npos;
}

std::string prompt(std::string_view parts, int number)
{
    const std::string own = std::to_string(1000 + number);
    return GatewayFixture::request("POST", "/ask/1",
                                   "X-Arbutuspier-Prompt-Prefix: " + std::string(parts) + ',' + own
                                       + ":5\r\n",
                                   "question " + own);
}

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (std::string_view part : parts)
        text += (text.empty() ? "" : ",") + std::string(part);
    return text;
}

bool hasStatus(const std::string &response, std::string_view status)
{
    return response.starts_with("HTTP/1.1 " + std::string(status));
}

} // namespace

TEST_GROUP(APromptPart)
{
    GatewayFixture fixture;
    std::vector<const ScriptedReplica *> replicas;

    void setup() override
    {
        fixture.configure(kRoutes);
    }
    /// Adds replicas that crash on `crashingPart` and answer anything else.
    void addReplicas(std::string_view crashingPart)
    {
        const auto script = std::make_shared<Script>([=](const ReplicaRequest &request) {
            return holds(request, crashingPart) ? crashAfterPrefill() : answer();
        });
        for (std::size_t i = 0; i < kReplicas; ++i)
            replicas.push_back(&fixture.addReplica("r" + std::to_string(i), "desk", script));
    }
    std::size_t sendsWith(std::string_view part) const
    {
        std::size_t sends = 0;
        for (const ScriptedReplica *replica : replicas)
            sends += static_cast<std::size_t>(
                std::count_if(replica->requests().begin(), replica->requests().end(),
                              [&](const ReplicaRequest &request) { return holds(request, part); }));
        return sends;
    }
};

// Guards against requests that went on to crash replicas as no two of them were alike.
TEST(APromptPart, thatCrashesReplicasIsSentToFiveOfThemAtMost)
{
    addReplicas(kCrashingPart);
    for (int number = 0; number < kRequests; ++number)
        fixture.call(prompt(joined({kSharedPart, kCrashingPart}), number));
    CHECK(sendsWith(kCrashingPart) <= kMaxCrashes);
    CHECK(hasStatus(fixture.call(prompt(joined({kSharedPart, kCrashingPart}), 99)), "503"));
}

// Guards against the same for a part that comes first, before parts of any kind.
TEST(APromptPart, thatCrashesReplicasAndComesFirstIsSentToFiveOfThemAtMost)
{
    addReplicas(kCrashingPart);
    for (int number = 0; number < kRequests; ++number) {
        const std::string other = "ab" + std::to_string(number) + ":20";
        fixture.call(prompt(joined({kCrashingPart, other}), number));
    }
    CHECK(sendsWith(kCrashingPart) <= kMaxCrashes);
}

// Guards against a route whose requests are all rejected, as they share a part with those that
// crash replicas.
TEST(APromptPart, thatIsSharedWithRequestsThatCrashReplicasIsNotToBlame)
{
    addReplicas(kCrashingPart);
    for (int number = 0; number < kRequests; ++number) {
        fixture.call(prompt(joined({kSharedPart, kCrashingPart}), number));
        const std::string response =
            fixture.call(prompt(joined({kSharedPart, kHarmlessPart}), 100 + number));
        if (sendsWith(kCrashingPart) < kReplicas)
            CHECK(hasStatus(response, "200"));
    }
    CHECK(hasStatus(fixture.call(prompt(joined({kSharedPart, kHarmlessPart}), 200)), "200"));
}

// Guards against the same after a start of all VMs, before any request with the part has succeeded.
TEST(APromptPart, thatIsSharedIsNotToBlameThoughNothingHasSucceededYet)
{
    addReplicas(kCrashingPart);
    for (int number = 0; number < kRequests; ++number)
        fixture.call(prompt(joined({kSharedPart, kCrashingPart}), number));
    CHECK(hasStatus(fixture.call(prompt(joined({kSharedPart, kHarmlessPart}), 200)), "200"));
}

// Guards against the last part, which belongs to the request or its session, being blamed: a single
// request that crashes replicas is recognised by its fingerprint.
TEST(APromptPart, thatComesLastIsNotToBlame)
{
    addReplicas("1000:5");
    for (int copy = 0; copy < 3; ++copy)
        fixture.call(prompt(joined({kSharedPart, kHarmlessPart}), 0));
    CHECK(sendsWith("1000:5") <= 3);
    CHECK(hasStatus(fixture.call(prompt(joined({kSharedPart, kHarmlessPart}), 1)), "200"));
}
