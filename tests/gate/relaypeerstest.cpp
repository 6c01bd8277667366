// Tests which peer a VM without a path chooses, and the notices on lost paths and read lists.
#include "gateway/relaypeers.h"
#include "gateway/lostpathscodec.h"
#include "gateway/relayhead.h"
#include "gateway/replicasreadcodec.h"
#include "gateway/requestlimitcodec.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

TEST_GROUP(RelayPeersOfAVm)
{
    RelayPeers peers;
    TimePoint now{std::chrono::seconds{100}};

    void setup() override
    {
        peers.setPeers({{"b", "10.0.0.2"}, {"c", "10.0.0.3"}});
    }

    std::string chosen(const std::set<std::string> &excluded = {})
    {
        const auto peer = peers.choose("assist", excluded, now);
        return peer ? peer->vm : "none";
    }
};

TEST(RelayPeersOfAVm, takeRequestsInTurn)
{
    for (int i = 0; i < 10; ++i)
        peers.onStart(chosen());
    peers.onEnd("b");
    STRCMP_EQUAL("b", chosen().c_str());
}

TEST(RelayPeersOfAVm, areLeftOutWhileTheyHaveNoPathToTheService)
{
    peers.applyLostPaths({"b", {"assist"}}, now);
    peers.applyLostPaths({"c", {"orders"}}, now);
    for (int i = 0; i < 4; ++i)
        STRCMP_EQUAL("c", chosen().c_str());
    peers.applyLostPaths({"c", {"assist"}}, now);
    STRCMP_EQUAL("none", chosen().c_str());
    CHECK(!peers.knowsPath("assist", now));
    peers.applyLostPaths({"b", {}}, now);
    STRCMP_EQUAL("b", chosen().c_str());
}

TEST(RelayPeersOfAVm, areThoughtToHaveThePathAgainWithoutNews)
{
    peers.applyLostPaths({"b", {"assist"}}, now);
    peers.applyLostPaths({"c", {"assist"}}, now);
    now += milliseconds{1900};
    CHECK(peers.knowsPath("assist", now));
}

TEST(RelayPeersOfAVm, areLeftOutWhileTheyDrainOrAfterAFailure)
{
    peers.setPeers({{"b", "10.0.0.2", true}, {"c", "10.0.0.3"}});
    STRCMP_EQUAL("c", chosen().c_str());
    peers.onFailure("c", now);
    STRCMP_EQUAL("none", chosen().c_str());
    now += milliseconds{600};
    STRCMP_EQUAL("c", chosen().c_str());
    STRCMP_EQUAL("none", chosen({"c"}).c_str());
}

TEST(RelayPeersOfAVm, areKnownByTheirAddress)
{
    CHECK(peers.isPeer("10.0.0.3"));
    CHECK(!peers.isPeer("10.0.0.4"));
}

TEST(RelayPeersOfAVm, relayNoMoreThanItHasRoomFor)
{
    for (std::size_t i = 0; i < RelayPeers::kMaxAccepted; ++i)
        CHECK(peers.tryAccept());
    CHECK(!peers.tryAccept());
    peers.endAccepted();
    CHECK(peers.tryAccept());
}

TEST_GROUP(ANoticeOfLostPaths){};

TEST(ANoticeOfLostPaths, isDecodedAsItWasEncoded)
{
    const auto decoded = decodeLostPaths(encodeLostPaths({"edge-1", {"assist", "orders"}}));
    CHECK(decoded.has_value());
    STRCMP_EQUAL("edge-1", decoded->vm.c_str());
    LONGS_EQUAL(2, decoded->services.size());
}

TEST(ANoticeOfLostPaths, isToldFromOtherDatagrams)
{
    CHECK(!decodeLostPaths(encodeRequestLimits({})));
    CHECK(!decodeRequestLimits(encodeLostPaths({"edge-1", {}})));
    CHECK(!decodeLostPaths(""));
    std::string bytes = encodeLostPaths({"edge-1", {"assist"}});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(!decodeLostPaths(std::string_view(bytes).substr(0, size)));
}

TEST_GROUP(ANoticeOfAReadList){};

TEST(ANoticeOfAReadList, isToldFromOtherDatagrams)
{
    const std::string bytes = encodeReplicasRead();
    CHECK(isReplicasRead(bytes));
    CHECK(!isReplicasRead(encodeLostPaths({"edge-1", {}})));
    CHECK(!decodeLostPaths(bytes));
    CHECK(!decodeRequestLimits(bytes));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(!isReplicasRead(std::string_view(bytes).substr(0, size)));
}

TEST_GROUP(TheHeadOfARelayedRequest){};

TEST(TheHeadOfARelayedRequest, isTakenOutOfTheFields)
{
    platform::Fields fields;
    CHECK(!takeRelayHead(fields));
    setRelayHead(fields, {12, 3});
    const auto head = takeRelayHead(fields);
    CHECK(head.has_value());
    LONGS_EQUAL(12, head->configVersion);
    LONGS_EQUAL(3, head->reachedAttempts);
    CHECK(!takeRelayHead(fields));
}

TEST(TheHeadOfARelayedRequest, isAnsweredByAReport)
{
    platform::Fields fields;
    CHECK(!takeRelayReport(fields));
    setRelayReport(fields, {2, true});
    const auto report = takeRelayReport(fields);
    CHECK(report.has_value());
    LONGS_EQUAL(2, report->reachedAttempts);
    CHECK(report->isPeerUnable);
    CHECK(fields.begin() == fields.end());
}

TEST(TheHeadOfARelayedRequest, isRejectedIfANumberIsWrong)
{
    for (const char *text : {"", "x", "-1", "1x", "99999999999999999999999"}) {
        platform::Fields fields;
        setRelayHead(fields, {12, 3});
        fields.set("Relay-Config-Version", text);
        CHECK(!takeRelayHead(fields));
    }
}
