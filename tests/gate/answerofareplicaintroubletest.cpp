// Responses of replicas in trouble that are no HTTP, or of which only a part came: none may reach a
// caller as a response.
#include "gatewayfixture.h"
#include "responsetext.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":20000,
  "goalMs":8000,"service":"desk","maxAttempts":1,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

constexpr std::string_view kBody = "done";

/// A signed response with a status line and further fields of a replica's choice.
std::string answer(std::string_view statusLine, std::string_view fields)
{
    return std::string(statusLine)
        + "\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n"
        + std::string(fields) + "\r\n" + std::string(kBody);
}

std::string answerWithStatus(std::string_view status)
{
    return answer("HTTP/1.1 " + std::string(status) + " X", "Content-Length: 4\r\n");
}

ReplicaStep closing(std::string response)
{
    ReplicaStep step;
    step.response = std::move(response);
    step.closesConnection = true;
    return step;
}

/// The body of a response that isn't the gateway's own.
std::string bodyIfAnswered(const std::string &response)
{
    constexpr int kBadGateway = 502;
    if (statusOf(response) == kBadGateway)
        return {};
    return response.substr(response.find("\r\n\r\n") + 4);
}

} // namespace

TEST_GROUP(AnAnswerOfAReplicaInTrouble){
    /// Sends a call, and one that may be retried, to replicas that answer so at first.
    void checkIsNoAnswer(const ReplicaStep &step){GatewayFixture once;
once.configure(kRoutes);
auto &replica = once.addReplica("a", "desk", {step});
const std::string response = once.call(GatewayFixture::request("POST", "/order/5", "", "stone=3"));
STRCMP_EQUAL("", bodyIfAnswered(response).c_str());
LONGS_EQUAL(1, replica.requests().size());

GatewayFixture retrying;
retrying.configure(kRoutes);
const auto script =
    std::make_shared<Script>(std::vector<ReplicaStep>{step, {fullResponse(200, "sound")}});
retrying.addReplica("a", "desk", script);
retrying.addReplica("b", "desk", script);
const std::string retried = retrying.call(GatewayFixture::request("GET", "/look/5"));
STRCMP_EQUAL("sound", bodyIfAnswered(retried).c_str());
}
}
;

// Guards against a response whose status is no status of HTTP, and which the caller gets as one:
// 000 was taken for "no response yet".
TEST(AnAnswerOfAReplicaInTrouble, hasNoStatusThatHttpDoesNotKnow)
{
    for (const char *status : {"000", "007", "099", "600", "999"})
        checkIsNoAnswer(closing(answerWithStatus(status)));
}

// Guards against a switch of protocols that nobody asked for, whose caller waits for its bytes.
TEST(AnAnswerOfAReplicaInTrouble, isNoSwitchOfProtocols)
{
    checkIsNoAnswer(closing(answer("HTTP/1.1 101 X", "Upgrade: h2c\r\n")));
}
