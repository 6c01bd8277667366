// A caller's connection that the gateway closes while a request arrives, and one that is kept while
// the configuration changes.
#include "gatewayfixture.h"
#include "responsetext.h"

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

namespace {

std::string routesWithLimits(int version, std::size_t maxBodyBytes, Duration idleTimeout)
{
    const auto idleMs = std::chrono::duration_cast<std::chrono::milliseconds>(idleTimeout).count();
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":4000,
  "goalMs":500,"service":"desk","maxAttempts":1,"public":true}],
 "services":[{"name":"desk","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"headerTimeoutMs":3000,"maxBodyBytes":)"
        + std::to_string(maxBodyBytes) + R"(,"idleTimeoutMs":)" + std::to_string(idleMs) + "}}";
}

} // namespace

TEST_GROUP(AKeptCallerConnection)
{
    static constexpr std::size_t kSmallBytes = 1000;
    static constexpr std::size_t kLargeBytes = 100'000;
    static constexpr Duration kShortTime = std::chrono::milliseconds{100};
    static constexpr Duration kLongTime = std::chrono::seconds{30};

    GatewayFixture fixture;
    Tcp::socket caller{fixture.context};
    std::shared_ptr<CallerConnection> connection;

    void connect()
    {
        Tcp::acceptor acceptor(fixture.context,
                               Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        caller.non_blocking(true);
        connection = std::make_shared<CallerConnection>(acceptor.accept(), fixture.state);
        asio::co_spawn(fixture.context, connection->run(connection), asio::detached);
    }
    /// Sends a request on the connection and returns the status of the response; zero if none
    /// comes.
    int callWithBody(std::size_t bytes)
    {
        std::string request =
            GatewayFixture::request("POST", "/order/1", "", std::string(bytes, 'x'));
        request.erase(request.find("Connection: close\r\n"), sizeof("Connection: close\r\n") - 1);
        ErrorCode error;
        asio::write(caller, asio::buffer(request), error);
        std::string response(4096, ' ');
        std::size_t size = 0;
        constexpr int kMostWaits = 100;
        for (int i = 0; i < kMostWaits && size == 0; ++i) {
            fixture.runFor(std::chrono::milliseconds{10});
            size = caller.read_some(asio::buffer(response), error);
        }
        response.resize(size);
        return statusOf(response);
    }
};

// Guards against a request that a new configuration allows, and that is refused by the limits which
// were in force when its connection became idle.
TEST(AKeptCallerConnection, obeysTheLimitsThatAreInForceAsARequestArrives)
{
    fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    fixture.configure(routesWithLimits(1, kSmallBytes, kLongTime));
    connect();
    LONGS_EQUAL(200, callWithBody(kSmallBytes));
    fixture.runFor(kShortTime);
    fixture.configure(routesWithLimits(2, kLargeBytes, kLongTime));
    LONGS_EQUAL(200, callWithBody(kLargeBytes));
    fixture.runFor(kShortTime);
    fixture.configure(routesWithLimits(3, kSmallBytes, kLongTime));
    LONGS_EQUAL(413, callWithBody(kLargeBytes));
}

// The same for the time for which it may be idle.
TEST(AKeptCallerConnection, staysOpenForTheTimeThatANewConfigurationAllows)
{
    fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    fixture.configure(routesWithLimits(1, kSmallBytes, 2 * kShortTime));
    connect();
    LONGS_EQUAL(200, callWithBody(kSmallBytes));
    fixture.runFor(kShortTime);
    fixture.configure(routesWithLimits(2, kSmallBytes, kLongTime));
    fixture.runFor(3 * kShortTime);
    LONGS_EQUAL(200, callWithBody(kSmallBytes));
}

// Guards against a connection that is held for good by a caller that was asked to go on and never
// sends its body.
TEST(AKeptCallerConnection, isClosedIfABodyThatWasAskedForNeverComes)
{
    fixture.configure(routesWithLimits(1, kSmallBytes, kShortTime));
    connect();
    asio::write(caller,
                asio::buffer(GatewayFixture::request(
                    "POST", "/order/1", "Expect: 100-continue\r\nContent-Length: 9\r\n")));
    fixture.runFor(kShortTime / 2);
    CHECK(connection->isBusy());
    fixture.runFor(2 * kShortTime);
    CHECK(!connection->isBusy());
}

TEST(AKeptCallerConnection, isClosedOnceItHasBeenIdleForTooLong)
{
    fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    fixture.configure(routesWithLimits(1, kSmallBytes, kShortTime));
    connect();
    LONGS_EQUAL(200, callWithBody(kSmallBytes));
    fixture.runFor(3 * kShortTime);
    LONGS_EQUAL(0, callWithBody(kSmallBytes));
}

TEST_GROUP_BASE(ASlowReader, TEST_GROUP_CppUTestGroupAKeptCallerConnection)
{
    /// More than the buffers of a connection hold.
    static constexpr std::size_t kBodyBytes = 7UL * 1024 * 1024;

    void setup() override
    {
        fixture.settings.writeTimeout = kShortTime;
        fixture.addReplica("a", "desk", {{fullResponse(200, std::string(kBodyBytes, 'x'))}});
        fixture.configure(routesWithLimits(1, kSmallBytes, kLongTime));
        connect();
    }
    void send(Duration deadline)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
        asio::write(caller,
                    asio::buffer("GET /order/1 HTTP/1.1\r\nHost: f.example\r\n"
                                 "X-Arbutuspier-Attempt-Id: id1\r\nX-Arbutuspier-Deadline-Ms: "
                                 + std::to_string(ms) + "\r\n\r\n"));
    }
    /// Reads all that there is, until nothing more comes for a moment.
    std::size_t readAll()
    {
        std::vector<char> bytes(1024UL * 1024);
        std::size_t total = 0;
        constexpr int kMostWaits = 10;
        for (int waits = 0; waits < kMostWaits;) {
            ErrorCode error;
            const std::size_t size = caller.read_some(asio::buffer(bytes), error);
            total += size;
            waits = size > 0 ? 0 : waits + 1;
            fixture.runFor(std::chrono::milliseconds{10});
        }
        return total;
    }
};

// Guards against a response that is cut off though its caller still waits for it, and reads on.
TEST(ASlowReader, getsAllOfItsResponseWithinItsDeadline)
{
    constexpr Duration kDeadline = std::chrono::seconds{4};
    send(kDeadline);
    fixture.runFor(4 * kShortTime);
    CHECK(readAll() > kBodyBytes);
}

// Guards against memory that a caller holds for good as it never reads its response.
TEST(ASlowReader, isCutOffOnceItsDeadlineAndTheTimeForWritesAreOver)
{
    send(2 * kShortTime);
    fixture.runFor(kShortTime);
    CHECK(connection->isBusy());
    fixture.runFor(3 * kShortTime);
    CHECK(!connection->isBusy());
    CHECK(readAll() < kBodyBytes);
}
