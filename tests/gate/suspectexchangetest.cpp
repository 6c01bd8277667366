// How VMs tell each other which requests crash replicas: by datagrams, which may be lost, and by
// rows of the metadata store.
#include "gatewayfixture.h"

#include "gateway/partnoticescodec.h"
#include "gateway/peermessenger.h"
#include "gateway/repeatednotices.h"
#include "gateway/suspectrowcodec.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

TEST_GROUP(ARepeatedNotice)
{
    const TimePoint start{std::chrono::seconds{100}};
    RepeatedNotices<int> notices{std::chrono::seconds{3}};
};

TEST(ARepeatedNotice, isSentForTheRepeatTime)
{
    notices.add(1, start);
    notices.add(2, start + std::chrono::seconds{2});
    LONGS_EQUAL(2, notices.current(start + std::chrono::seconds{3}).size());
    const std::vector<int> later = notices.current(start + std::chrono::seconds{4});
    LONGS_EQUAL(1, later.size());
    LONGS_EQUAL(2, later.front());
}

TEST_GROUP(ASuspectRow)
{
    const Fingerprint fingerprint{77};
    const SuspectRow row{std::chrono::seconds{1'796'000'000},
                         {{fingerprint, {1}, CrashState::Unconfirmed},
                          {fingerprint, {2, 3}, CrashState::Confirmed},
                          {fingerprint, {4}, CrashState::Cleared}}};
};

TEST(ASuspectRow, decodesToWhatWasEncoded)
{
    const auto decoded = decodeSuspectRow(encodeSuspectRow(row));
    CHECK(decoded.has_value());
    CHECK(decoded->writtenAt == row.writtenAt);
    LONGS_EQUAL(3, decoded->notices.size());
    for (std::size_t i = 0; i < row.notices.size(); ++i) {
        CHECK(decoded->notices[i].state == row.notices[i].state);
        CHECK(decoded->notices[i].crashes == row.notices[i].crashes);
    }
}

TEST(ASuspectRow, isRejectedIfItIsDamaged)
{
    const std::string bytes = encodeSuspectRow(row);
    CHECK(!decodeSuspectRow(bytes.substr(0, bytes.size() - 1)));
    CHECK(!decodeSuspectRow("row"));
    CHECK(!decodeSuspectRow(""));
}

TEST(ASuspectRow, hasAKeyThatBeginsWithItsFingerprint)
{
    STRCMP_EQUAL("000000000000004d/edge-1", suspectRowKey(fingerprint, "edge-1").c_str());
}

TEST_GROUP(AVmThatMissedANotice)
{
    GatewayFixture fixture;
    asio::ip::udp::socket peer{fixture.context, {asio::ip::make_address("127.0.0.1"), 0}};

    static asio::ip::udp::endpoint freeEndpoint(asio::io_context & context)
    {
        asio::ip::udp::socket probe(context, {asio::ip::make_address("127.0.0.1"), 0});
        return probe.local_endpoint();
    }
    /// Datagrams that the peer receives within the time.
    std::vector<PeerDatagram> receiveFor(Duration duration)
    {
        fixture.runFor(duration);
        std::vector<PeerDatagram> received;
        std::array<char, 65536> bytes{};
        while (peer.available() > 0) {
            const std::size_t size = peer.receive(asio::buffer(bytes));
            if (auto datagram = decodePeerDatagram({bytes.data(), size}))
                received.push_back(std::move(*datagram));
        }
        return received;
    }
    static bool names(const std::vector<PeerDatagram> &datagrams, Fingerprint fingerprint)
    {
        return std::any_of(datagrams.begin(), datagrams.end(), [&](const PeerDatagram &datagram) {
            return std::any_of(
                datagram.suspects.begin(), datagram.suspects.end(),
                [&](const SuspectNotice &notice) { return notice.fingerprint == fingerprint; });
        });
    }
};

// Guards against a VM that never hears of a request that crashes replicas, as its one datagram was
// lost or the VM started later.
TEST(AVmThatMissedANotice, getsItWithTheFullStateOfAPeer)
{
    const Fingerprint fingerprint{77};
    const asio::ip::udp::endpoint endpoint = freeEndpoint(fixture.context);
    fixture.settings.vm = "edge-1";
    fixture.settings.peers = {"127.0.0.1", endpoint.port()};
    fixture.state.suspects.merge({fingerprint, {1, 2}}, "edge-2");
    StoreWatcher store(fixture.context, fixture.state);
    PeerMessenger messenger(fixture.context, fixture.state, store);
    CHECK(messenger.open().has_value());
    messenger.start();
    PeerDatagram request;
    request.requestsFullState = true;
    peer.send_to(asio::buffer(encodePeerDatagram(request)), endpoint);
    CHECK(names(receiveFor(milliseconds{200}), fingerprint));
}

TEST(AVmThatMissedANotice, getsItAgainWithTheNextHeartbeats)
{
    const Fingerprint fingerprint{78};
    const asio::ip::udp::endpoint endpoint = freeEndpoint(fixture.context);
    fixture.settings.vm = "edge-1";
    fixture.settings.peers = {"127.0.0.1", endpoint.port()};
    StoreWatcher store(fixture.context, fixture.state);
    PeerMessenger messenger(fixture.context, fixture.state, store);
    CHECK(messenger.open().has_value());
    messenger.start();
    messenger.broadcast(SuspectNotice{fingerprint, {1}});
    fixture.runFor(milliseconds{100});
    // This VM becomes known as a peer only now, after the notice was sent.
    PeerDatagram status;
    status.incarnationTag = incarnationTagOf(5);
    status.sequence = 1;
    status.status = PeerStatus{"edge-2", 5, 0, {}, true, false};
    peer.send_to(asio::buffer(encodePeerDatagram(status)), endpoint);
    CHECK(names(receiveFor(milliseconds{1500}), fingerprint));
}

// Guards against a departure that is told to nobody, as a datagram of a peer arrives before it is
// sent.
TEST(AVmThatMissedANotice, isToldOfADepartureThatAPeerFoundAsItsDatagramArrived)
{
    const asio::ip::udp::endpoint endpoint = freeEndpoint(fixture.context);
    fixture.settings.vm = "edge-1";
    fixture.settings.peers = {"127.0.0.1", endpoint.port()};
    fixture.addReplica("a", "desk", {{""}});
    StoreWatcher store(fixture.context, fixture.state);
    PeerMessenger messenger(fixture.context, fixture.state, store);
    CHECK(messenger.open().has_value());
    messenger.start();
    PeerDatagram status;
    status.incarnationTag = incarnationTagOf(5);
    status.sequence = 1;
    status.status = PeerStatus{"edge-2", 5, 0, {}, true, false};
    peer.send_to(asio::buffer(encodePeerDatagram(status)), endpoint);
    fixture.runFor(milliseconds{100});
    fixture.state.directory.applyChanges({{"a", std::nullopt}}, fixture.clock.now());
    status.sequence = 2;
    peer.send_to(asio::buffer(encodePeerDatagram(status)), endpoint);
    bool isTold = false;
    for (const PeerDatagram &datagram : receiveFor(milliseconds{1500})) {
        for (const Departure &departure : datagram.departures)
            isTold = isTold || departure.incarnation.id == "a";
    }
    CHECK(isTold);
}

TEST_GROUP_BASE(AVmThatMissedAPartNotice, TEST_GROUP_CppUTestGroupAVmThatMissedANotice)
{
    const PromptPartId part{2};

    /// Evidence of four crashes, one after the other, on two requests each.
    PartNotices evidence() const
    {
        PartNotices notices;
        for (std::uint32_t level = 1; level <= 4; ++level)
            notices.evidence.push_back({level, Fingerprint{level}, {{part, level, false}}});
        return notices;
    }
    bool isRejected()
    {
        return fixture.state.suspects.isQuarantined({Fingerprint{99}, {part}});
    }
};

TEST(AVmThatMissedAPartNotice, rejectsThePartOnceAPeerTellsIt)
{
    const asio::ip::udp::endpoint endpoint = freeEndpoint(fixture.context);
    fixture.settings.vm = "edge-1";
    fixture.settings.peers = {"127.0.0.1", endpoint.port()};
    StoreWatcher store(fixture.context, fixture.state);
    PeerMessenger messenger(fixture.context, fixture.state, store);
    CHECK(messenger.open().has_value());
    messenger.start();
    CHECK(!isRejected());
    peer.send_to(asio::buffer(encodePartRow({{}, evidence()})), endpoint);
    fixture.runFor(milliseconds{100});
    CHECK(isRejected());
}

// Guards against a VM that never hears of a part that crashes replicas, as its one datagram was
// lost or the VM started later.
TEST(AVmThatMissedAPartNotice, getsItWithTheFullStateOfAPeer)
{
    const asio::ip::udp::endpoint endpoint = freeEndpoint(fixture.context);
    fixture.settings.vm = "edge-1";
    fixture.settings.peers = {"127.0.0.1", endpoint.port()};
    fixture.state.suspects.merge(evidence());
    StoreWatcher store(fixture.context, fixture.state);
    PeerMessenger messenger(fixture.context, fixture.state, store);
    CHECK(messenger.open().has_value());
    messenger.start();
    PeerDatagram request;
    request.requestsFullState = true;
    peer.send_to(asio::buffer(encodePeerDatagram(request)), endpoint);
    fixture.runFor(milliseconds{200});
    std::array<char, 65536> bytes{};
    std::size_t items = 0;
    while (peer.available() > 0) {
        const std::size_t size = peer.receive(asio::buffer(bytes));
        if (const auto row = decodePartRow({bytes.data(), size}))
            items += row->notices.evidence.size();
    }
    LONGS_EQUAL(4, items);
}
