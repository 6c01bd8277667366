// How a VM passes its configuration on to a peer that lacks nothing else.
#include "gateway/compresseddatagram.h"
#include "gateway/configurationcodec.h"
#include "gateway/snapshotcodec.h"
#include "net/deflate.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <string>

using namespace arbutuspier;

namespace {

constexpr std::size_t kMaxBytes = 1'000'000;

/// A configuration of 300 routes and 24 teams with their keys.
std::string configurationBytes()
{
    std::string text = R"({"version":1207,"routes":[)";
    for (int i = 0; i < 300; ++i)
        text += R"({"host":"ficu95.example","prefix":"/lohu)" + std::to_string(i * 7919 % 9973)
            + R"(/","service":"s)" + std::to_string(i % 9)
            + R"(","routeKind":"idempotent","timeoutMs":10000,"goalMs":300,"maxAttempts":2},)";
    text += R"({}],"tenants":[)";
    for (int i = 0; i < 24; ++i)
        text += R"({"name":"team)" + std::to_string(i) + R"(","apiKeys":["n2ctn)"
            + std::to_string(i * 104'729) + R"("]},)";
    return text + "{}]}";
}

std::vector<ReplicaEntry> replicas(std::size_t count)
{
    std::vector<ReplicaEntry> result;
    for (std::size_t i = 0; i < count; ++i) {
        ReplicaEntry entry;
        entry.id = "i-" + std::to_string(0x7f3a0000 + i);
        entry.service = "engine";
        entry.address = "10.2." + std::to_string(i / 250) + '.' + std::to_string(i % 250) + ":8080";
        entry.zone = "zone-a";
        result.push_back(entry);
    }
    return result;
}

} // namespace

TEST_GROUP(PeerConfiguration)
{
    std::string bytes = configurationBytes();
};

TEST(PeerConfiguration, arrivesByteForByte)
{
    const auto passedOn = decodePeerConfiguration(encodeConfiguration(deflated(bytes)));
    CHECK(passedOn.has_value());
    const auto configuration = inflated(*passedOn, kMaxBytes);
    CHECK(configuration == bytes);
    CHECK(inflated(deflated(""), kMaxBytes) == std::string());
    for (std::size_t size = 0; size < 200; ++size) {
        const std::string start = bytes.substr(0, size);
        CHECK(inflated(deflated(start), kMaxBytes) == start);
    }
}

TEST(PeerConfiguration, doesNotGrowWithTheReplicasOfAFleetOfThreeHundredVms)
{
    const std::size_t passedOn = encodeConfiguration(deflated(bytes)).size();
    const std::size_t snapshot = encodeSnapshot({bytes, replicas(3'000), {}, {}}).size();
    CHECK(passedOn * 8 < bytes.size());
    CHECK(passedOn * 40 < snapshot);
}

TEST(PeerConfiguration, isRejectedIfItIsLongerThanAllowed)
{
    CHECK(inflated(deflated(bytes), bytes.size()).has_value());
    CHECK(!inflated(deflated(bytes), bytes.size() - 1).has_value());
    CHECK(!inflated(deflated(std::string(100 * kMaxBytes, 'a')), kMaxBytes).has_value());
}

TEST(PeerConfiguration, isRejectedIfItIsCutOffOrOfAnotherFormat)
{
    const std::string passedOn = encodeConfiguration(deflated(bytes));
    CHECK(!decodePeerConfiguration(passedOn.substr(0, passedOn.size() - 1)).has_value());
    CHECK(!decodePeerConfiguration("").has_value());
    CHECK(!decodePeerConfiguration(encodeSnapshot({bytes, {}, {}, {}})).has_value());
    CHECK(!decodeSnapshot(passedOn).has_value());
    const std::string compressed = deflated(bytes);
    CHECK(!inflated(compressed.substr(0, compressed.size() / 2), kMaxBytes).has_value());
    CHECK(!inflated("", kMaxBytes).has_value());
}

TEST(PeerConfiguration, isNoCompressedDatagram)
{
    const std::string datagram(3'000, 'a');
    CHECK(decodeCompressed(encodeCompressed(datagram)) == datagram);
    CHECK(!decodeCompressed(encodeConfiguration(deflated(bytes))).has_value());
    CHECK(!decodeCompressed(encodeCompressed(std::string(kMaxBytes, 'a'))).has_value());
}

TEST(PeerConfiguration, isReadSafelyWhateverItsBytes)
{
    const std::string compressed = deflated(bytes);
    const bool holds = rc::check("mutated configurations", [&compressed] {
        std::string mutated = compressed;
        const auto at = *rc::gen::inRange<std::size_t>(0, mutated.size());
        mutated[at] = *rc::gen::arbitrary<char>();
        const auto configuration = inflated(mutated, kMaxBytes);
        RC_ASSERT(!configuration || configuration->size() <= kMaxBytes);
    });
    CHECK(holds);
}
