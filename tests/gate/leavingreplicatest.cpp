// Requests of one gateway before replicas that say in their responses that they leave.
#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":400,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":400,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":400}],
 "services":[{"name":"desk","maxConnections":100}]})";

std::string head(int status, std::string_view fields)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n"
        + std::string(fields);
}

const std::string kLeaving = "Server-Leaving: 1\r\n";
const ReplicaStep kServed{head(200, "Content-Length: 4\r\n\r\ndone")};

} // namespace

TEST_GROUP(AReplicaThatSaysItLeaves)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
    }

    std::string call(std::string_view path)
    {
        return fixture.call(GatewayFixture::request("POST", path, "", "x"));
    }

    /// The replica responds in this way once, and as a ready one after that.
    void checkGetsNoMore(const ReplicaStep &leaving, std::string_view path)
    {
        ScriptedReplica &replica = fixture.addReplica("i-1", "desk", {leaving, kServed});
        call(path);
        const std::size_t requests = replica.requests().size();
        fixture.addReplica("i-2", "desk", {kServed});
        for (int i = 0; i < 10; ++i)
            call("/look/2");
        LONGS_EQUAL(requests, replica.requests().size());
        CHECK(!fixture.state.directory.isUsable({"i-1", 1}));
        // The other VMs are told.
        const std::vector<Departure> departures = fixture.state.directory.takeNewDepartures();
        LONGS_EQUAL(1, departures.size());
        CHECK(departures.front().wasDraining);
    }
};

// Guards against requests to a replica whose departure the store tells later than the replica does.
TEST(AReplicaThatSaysItLeaves, getsNoMoreRequestsAfterASuccess)
{
    checkGetsNoMore({head(200, kLeaving + "Content-Length: 4\r\n\r\ndone")}, "/look/1");
}

TEST(AReplicaThatSaysItLeaves, getsNoMoreRequestsAfterAnError)
{
    checkGetsNoMore({head(500, kLeaving + "Content-Length: 0\r\n\r\n")}, "/look/1");
}

TEST(AReplicaThatSaysItLeaves, getsNoMoreRequestsAfterARefusal)
{
    checkGetsNoMore(
        {head(503, kLeaving + "X-Arbutuspier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")},
        "/look/1");
}

TEST(AReplicaThatSaysItLeaves, getsNoMoreRequestsFromTheHeadOfAStreamOn)
{
    checkGetsNoMore({head(200,
                          kLeaving
                              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                                "\r\nf\r\nid: 0\ndata: x\n\n\r\n0\r\n\r\n")},
                    "/ask/1");
}

TEST(AReplicaThatSaysItLeaves, staysGoneWhateverTheStoreSays)
{
    fixture.addReplica("i-1", "desk", {{head(200, kLeaving + "Content-Length: 4\r\n\r\ndone")}});
    call("/look/1");
    ReplicaEntry entry = *fixture.state.directory.find("i-1");
    fixture.state.directory.applyChanges({{"i-1", entry}}, fixture.clock.now());
    CHECK(!fixture.state.directory.isUsable({"i-1", 1}));
    entry.startedAtMs = 2;
    fixture.state.directory.applyChanges({{"i-1", entry}}, fixture.clock.now());
    CHECK(fixture.state.directory.isUsable({"i-1", 2}));
}

TEST(AReplicaThatSaysItLeaves, isKeptIfAnotherProcessSaysSo)
{
    fixture.addReplica("i-1", "desk",
                       {{head(421, kLeaving + "Content-Length: 0\r\n\r\n")}, kServed});
    call("/look/1");
    CHECK(fixture.state.directory.isUsable({"i-1", 1}));
    for (const char *value : {"0", "", "no"}) {
        platform::Fields fields;
        fields.set("Server-Leaving", value);
        CHECK(!platform::readResponseHead(200, fields).isLeaving);
    }
}
