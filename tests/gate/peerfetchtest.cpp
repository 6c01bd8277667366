// What a VM fetches from a peer that has a newer configuration, beside peers of this and of older
// builds, and who reads the store just after a start.
#include "gatewayfixture.h"

#include "arbutuspier/readerrank.h"
#include "gateway/configurationcodec.h"
#include "gateway/peermessenger.h"
#include "net/deflate.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

constexpr std::uint64_t kIncarnation = 5;
constexpr std::size_t kVms = 60;

/// The VMs that the store lists.
std::vector<std::string> vmNames()
{
    std::vector<std::string> vms;
    for (std::size_t i = 1; i <= kVms; ++i)
        vms.push_back("edge-" + std::to_string(i));
    return vms;
}

std::vector<VmRegistration> registrations()
{
    std::vector<VmRegistration> vms;
    for (const std::string &vm : vmNames())
        vms.push_back({vm, "127.0.0.1:" + vm.substr(vm.find('-') + 1), {}});
    return vms;
}

/// Whether a VM is one of the readers among all that are listed.
bool isReaderOfList(const std::string &vm)
{
    std::vector<std::string> others = vmNames();
    std::erase(others, vm);
    return isAmongReaders(vm, others, GatewayState::kMaxReaders);
}

/// The first listed VM that is a reader, or that is none.
std::string firstVm(bool isReader)
{
    const std::vector<std::string> vms = vmNames();
    return *std::find_if(vms.begin(), vms.end(), [isReader](const std::string &vm) {
        return isReaderOfList(vm) == isReader;
    });
}

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

ReplicaStep respond(const std::string &body)
{
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body};
}

ReplicaStep respondNotFound()
{
    return {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
}

/// A peer of this build, and one that knows only the snapshot.
ReplicaStep stepOfThisBuild(const ReplicaRequest &request)
{
    if (request.target() != kConfigurationPath)
        return respondNotFound();
    return respond(encodeConfiguration(deflated(configuration(3))));
}

ReplicaStep stepOfOlderBuild(const ReplicaRequest &request)
{
    if (request.target() != kSnapshotPath)
        return respondNotFound();
    return respond(encodeSnapshot({configuration(3), {}, {}, {}}));
}

} // namespace

TEST_GROUP(AVmThatHearsOfANewerConfiguration)
{
    GatewayFixture fixture;
    std::unique_ptr<ScriptedReplica> peer;
    std::unique_ptr<asio::ip::udp::socket> peerSocket;
    std::unique_ptr<StoreWatcher> watcher;
    std::unique_ptr<PeerMessenger> messenger;

    void setup() override
    {
        const Tcp::acceptor freePort(fixture.context,
                                     Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        fixture.settings.vm = firstVm(false);
        fixture.settings.peers = {"127.0.0.1", freePort.local_endpoint().port()};
        fixture.settings.configBound = std::chrono::milliseconds{300};
        watcher = std::make_unique<StoreWatcher>(fixture.context, fixture.state);
        messenger = std::make_unique<PeerMessenger>(fixture.context, fixture.state, *watcher);
        CHECK(messenger->open().has_value());
        messenger->start();
        messenger->setVms(registrations());
        fixture.configure(configuration(2));
        watcher->onPeerReadReplicas();
    }
    void startPeer(ReplicaStep(*step)(const ReplicaRequest &))
    {
        peer = std::make_unique<ScriptedReplica>(fixture.context, std::make_shared<Script>(step));
        peerSocket = std::make_unique<asio::ip::udp::socket>(
            fixture.context,
            asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), peer->port()));
    }
    /// The peer tells that it has version 3.
    void sendStatus()
    {
        PeerDatagram datagram;
        datagram.incarnationTag = incarnationTagOf(kIncarnation);
        datagram.sequence = 1;
        datagram.status = PeerStatus{"edge-of-peer", kIncarnation, 3, {}, true, false};
        const std::string bytes = encodePeerDatagram(datagram);
        peerSocket->send_to(asio::buffer(bytes),
                            asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"),
                                                    fixture.settings.peers.port));
    }
    void runUntilVersion(std::uint64_t version)
    {
        const TimePoint end = fixture.clock.now() + std::chrono::seconds{5};
        while (fixture.state.routes()->version() < version && fixture.clock.now() < end)
            fixture.runFor(std::chrono::milliseconds{10});
        LONGS_EQUAL(version, fixture.state.routes()->version());
    }
};

TEST(AVmThatHearsOfANewerConfiguration, fetchesNothingElse)
{
    startPeer(stepOfThisBuild);
    sendStatus();
    runUntilVersion(3);
    LONGS_EQUAL(1, peer->requests().size());
    CHECK(inflated(watcher->deflatedConfiguration(), 1'000) == configuration(3));
}

TEST(AVmThatHearsOfANewerConfiguration, fetchesTheSnapshotOfAPeerThatKnowsNothingElse)
{
    startPeer(stepOfOlderBuild);
    sendStatus();
    runUntilVersion(3);
    LONGS_EQUAL(2, peer->requests().size());
    // Peers of older builds fetch the snapshot of this VM.
    STRCMP_EQUAL(configuration(3).c_str(), watcher->snapshot().configuration.c_str());
}

TEST(AVmThatHearsOfANewerConfiguration, fetchesNothingIfItHasReadItItselfMeanwhile)
{
    startPeer(stepOfThisBuild);
    sendStatus();
    fixture.handleDueEvents();
    fixture.configure(configuration(3));
    fixture.runFor(std::chrono::milliseconds{200});
    LONGS_EQUAL(0, peer->requests().size());
}

TEST_GROUP_BASE(AVmThatHasJustStarted, TEST_GROUP_CppUTestGroupAVmThatHearsOfANewerConfiguration){};

TEST(AVmThatHasJustStarted, leavesReadingToTheReadersOfTheList)
{
    LONGS_EQUAL(kVms, fixture.state.storeReaderCount());
    CHECK(!fixture.state.isStoreReader());
    fixture.settings.vm = firstVm(true);
    messenger->setVms(registrations());
    CHECK(fixture.state.isStoreReader());
}

TEST(AVmThatHasJustStarted, readsOnceItShouldHaveHeardTheOthers)
{
    fixture.runFor(std::chrono::milliseconds{2'700});
    CHECK(fixture.state.isStoreReader());
    LONGS_EQUAL(1, fixture.state.storeReaderCount());
}
