// A caller's connection that the gateway closes while a request arrives.
#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":4000,
  "goalMs":500,"service":"desk","maxAttempts":1,"public":true}],
 "services":[{"name":"desk","maxConnections":100}]})";

} // namespace

TEST_GROUP(ACallerConnection)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
        fixture.runFor(std::chrono::milliseconds{10});
    }

    /// Sends a request, handles so many events, closes the connection if it is idle, and returns
    /// what the caller gets.
    std::string callAndCloseAfter(int eventCount)
    {
        Tcp::acceptor acceptor(fixture.context,
                               Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        Tcp::socket caller(fixture.context);
        caller.connect(acceptor.local_endpoint());
        const std::string request = GatewayFixture::request("POST", "/order/1", "", "stone=3");
        asio::write(caller, asio::buffer(request));
        auto connection = std::make_shared<CallerConnection>(acceptor.accept(), fixture.state);
        asio::co_spawn(fixture.context, connection->run(connection), asio::detached);
        for (int i = 0; i < eventCount; ++i)
            fixture.context.poll_one();
        connection->closeIfIdle();
        fixture.runFor(std::chrono::milliseconds{50});
        std::string response(4096, ' ');
        ErrorCode error;
        caller.non_blocking(true);
        response.resize(caller.read_some(asio::buffer(response), error));
        return response;
    }
};

// Guards against a request that is executed although its connection was closed while it was read.
TEST(ACallerConnection, getsTheResponseOfEachRequestThatIsPassedOn)
{
    const std::string done =
        "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
        "X-Arbutuspier-Response-Signature: s1\r\nContent-Length: 4\r\n\r\ndone";
    auto &replica = fixture.addReplica("a", "desk", {{done}});
    constexpr int kMostEvents = 8;
    for (int eventCount = 0; eventCount <= kMostEvents; ++eventCount) {
        const std::size_t before = replica.requests().size();
        const std::string response = callAndCloseAfter(eventCount);
        const bool isPassedOn = replica.requests().size() > before;
        CHECK_EQUAL(isPassedOn, response.ends_with("done"));
    }
    CHECK(!replica.requests().empty());
}
