// Requests of one gateway while the zone of some replicas is evacuated, and how it learns of that
// from the store and from its peers.
#include "gatewayfixture.h"
#include "responsetext.h"
#include "scriptedstore.h"

#include "gateway/memoryreservation.h"
#include "gateway/peermessenger.h"
#include "gateway/storewatcher.h"
#include "gateway/zoneevacuationcodec.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":3,"public":true,"resumable":true,"gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100}]})";
constexpr const char *kEngineRoutes = R"({"version":2,"routes":[
 {"host":"f.example","prefix":"/prompt/","routeKind":"streaming","timeoutMs":20000,"goalMs":3000,
  "service":"engine","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000}],
 "services":[{"name":"engine","maxConnections":100,
  "runtime":{"slots":16,"kvCapacity":315000,"stride":51,"step_ms":0.85,"read_per_s":177000.0,
  "pairs_per_m":0.184,"chunk":2048}}]})";
constexpr std::size_t kManyCalls = 12;

std::string responseHead(int status)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n";
}

ReplicaStep answer(int status)
{
    return {responseHead(status) + "Content-Length: 4\r\n\r\ndone"};
}

ReplicaStep firstEvents()
{
    return {responseHead(200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(0))};
}

} // namespace

TEST_GROUP(AGatewayBeforeAnEvacuatedZone)
{
    GatewayFixture fixture;
    std::uint64_t revision = 10;

    void setup() override
    {
        fixture.configure(kRoutes);
    }
    /// The replica "a" is in the zone "east", all others are in "yard".
    ScriptedReplica &addInEast(std::vector<ReplicaStep> steps)
    {
        ScriptedReplica &replica = fixture.addReplica("a", "desk", std::move(steps));
        ReplicaEntry entry = *fixture.state.directory.find("a");
        entry.zone = "east";
        fixture.state.directory.applyChanges({{"a", entry}}, fixture.clock.now());
        return replica;
    }
    ScriptedReplica &addInYard(std::vector<ReplicaStep> steps)
    {
        return fixture.addReplica("b", "desk", std::move(steps));
    }
    void set(const std::string &zone, bool isEvacuated)
    {
        const ZoneEvacuationNotice notice{{}, {{zone, {0, ++revision}, isEvacuated}}};
        fixture.state.applyEvacuations(fixture.state.evacuations.merge(notice, fixture.clock.now()),
                                       "test");
    }
    std::string call(std::string_view path)
    {
        return fixture.call(GatewayFixture::request("GET", path));
    }
};

TEST(AGatewayBeforeAnEvacuatedZone, sendsNothingThereUntilItReturns)
{
    auto &evacuated = addInEast({answer(200)});
    auto &other = addInYard({answer(200)});
    set("east", true);
    for (std::size_t i = 0; i < kManyCalls; ++i)
        CHECK(isAnswered(call("/look/1")));
    LONGS_EQUAL(0, evacuated.connections());
    LONGS_EQUAL(kManyCalls, other.requests().size());
    set("yard", true);
    set("east", false);
    CHECK(isAnswered(call("/look/1")));
    LONGS_EQUAL(1, evacuated.requests().size());
}

// Guards against a retry to the only replica that has not failed the request yet.
TEST(AGatewayBeforeAnEvacuatedZone, sendsNoRetryThere)
{
    auto &evacuated = addInEast({answer(200)});
    auto &failing = addInYard({answer(500), answer(200)});
    set("east", true);
    CHECK(isAnswered(call("/look/1")));
    LONGS_EQUAL(0, evacuated.connections());
    LONGS_EQUAL(2, failing.requests().size());
}

// Guards against a stream that is resumed in an evacuated zone, and against one that waits.
TEST(AGatewayBeforeAnEvacuatedZone, resumesNoStreamThere)
{
    auto &evacuated = addInEast({answer(200)});
    ReplicaStep broken = firstEvents();
    broken.closesConnection = true;
    addInYard({broken});
    set("east", true);
    const std::string response = call("/ask/1");
    CHECK(contains(response, "id: 0"));
    LONGS_EQUAL(0, evacuated.connections());
}

TEST(AGatewayBeforeAnEvacuatedZone, letsAStreamEndThatRunsThere)
{
    ReplicaStep stream = firstEvents();
    stream.laterBytes = chunk(event(1));
    auto &evacuated = addInEast({stream});
    fixture.start(GatewayFixture::request("GET", "/ask/1"));
    while (evacuated.requests().empty())
        fixture.context.run_one();
    set("east", true);
    fixture.runFor(milliseconds{100});
    LONGS_EQUAL(1, fixture.state.dispatchQueue.running());
    LONGS_EQUAL(0, evacuated.closedByGateway());
}

// Guards against requests that wait until their deadline for replicas that may get none.
TEST(AGatewayBeforeAnEvacuatedZone, rejectsAtOnceIfAllReplicasAreThere)
{
    auto &evacuated = addInEast({answer(200)});
    set("east", true);
    const TimePoint before = fixture.clock.now();
    const std::string response = call("/look/1");
    CHECK(fixture.clock.now() < before + milliseconds{500});
    LONGS_EQUAL(503, statusOf(response));
    CHECK(contains(response, "Retry-After: 1"));
    LONGS_EQUAL(0, evacuated.connections());
    CHECK(contains(fixture.state.metrics.prometheusText(), "rejected"));
}

TEST(AGatewayBeforeAnEvacuatedZone, rejectsWhatWaitsIfTheLastZoneIsEvacuated)
{
    auto &replica = addInEast({firstEvents()});
    ReplicaEntry entry = *fixture.state.directory.find("a");
    entry.slots = 1;
    fixture.state.directory.applyChanges({{"a", entry}}, fixture.clock.now());
    fixture.start(GatewayFixture::request("GET", "/ask/1"));
    while (replica.requests().empty())
        fixture.context.run_one();
    const auto &waiting = fixture.start(GatewayFixture::request("GET", "/look/1"));
    fixture.runFor(milliseconds{50});
    LONGS_EQUAL(1, fixture.state.dispatchQueue.waiting());
    set("east", true);
    fixture.runFor(milliseconds{50});
    LONGS_EQUAL(503, statusOf(waiting.response));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(AGatewayBeforeAnEvacuatedZone, placesAnewWhatWaits)
{
    auto &evacuated = addInEast({firstEvents()});
    ReplicaEntry entry = *fixture.state.directory.find("a");
    entry.slots = 1;
    fixture.state.directory.applyChanges({{"a", entry}}, fixture.clock.now());
    fixture.start(GatewayFixture::request("GET", "/ask/1"));
    while (evacuated.requests().empty())
        fixture.context.run_one();
    const auto &waiting = fixture.start(GatewayFixture::request("GET", "/look/1"));
    fixture.runFor(milliseconds{50});
    LONGS_EQUAL(1, fixture.state.dispatchQueue.waiting());
    addInYard({answer(200)});
    set("east", true);
    while (!waiting.isDone)
        fixture.context.run_one();
    CHECK(isAnswered(waiting.response));
}

// Guards against replicas that get requests again before it is known that they are cold.
TEST(AGatewayBeforeAnEvacuatedZone, takesTheReplicasForColdBeforeTheirZoneIsUsedAgain)
{
    addInEast({answer(200)});
    const ReplicaIncarnation incarnation = fixture.state.directory.find("a")->incarnation();
    ColdReplicas &cold = fixture.state.cold;
    cold.setBound(ColdBound{});
    cold.figures = [](const std::string &) { return ColdFigures{std::chrono::seconds{3}, 14}; };
    std::vector<std::string> turnedCold;
    std::size_t usable = 0;
    cold.onCold = [&](const ReplicaIncarnation &replica, Duration) {
        turnedCold.push_back(replica.id);
        usable = fixture.state.directory.usable("desk").size();
    };
    set("east", true);
    CHECK(turnedCold.empty());
    set("east", false);
    CHECK(turnedCold == std::vector<std::string>{"a"});
    LONGS_EQUAL(0, usable);
    LONGS_EQUAL(1, fixture.state.directory.usable("desk").size());
    CHECK(cold.isCold(incarnation, fixture.clock.now()));
}

// Guards against a replica that is forgotten, or not known to drain, as its zone is evacuated.
TEST(AGatewayBeforeAnEvacuatedZone, stillFollowsTheListOfReplicas)
{
    addInEast({answer(200)});
    const ReplicaIncarnation incarnation = fixture.state.directory.find("a")->incarnation();
    set("east", true);
    CHECK(!fixture.state.directory.isUsable(incarnation));
    CHECK(fixture.state.directory.isServing(incarnation));
    CHECK(fixture.state.directory.services().empty());
    CHECK(fixture.state.directory.areAllEvacuated("desk"));
    fixture.state.directory.applyDeparture({incarnation, true});
    CHECK(!fixture.state.directory.isServing(incarnation));
    CHECK(!fixture.state.directory.areAllEvacuated("desk"));
    set("east", false);
    CHECK(!fixture.state.directory.isUsable(incarnation));
}

// Guards against memory that is taken in an evacuated zone, and memory elsewhere that isn't given
// back.
TEST(AGatewayBeforeAnEvacuatedZone, reservesNoMemoryThere)
{
    const ReplicaStep done{"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"};
    auto &evacuated = addInEast({done});
    auto &other = addInYard({done});
    set("east", true);
    bool isDone = false;
    std::unique_ptr<MemoryReservation> reservation;
    asio::co_spawn(
        fixture.context,
        [&]() -> Task<void> {
            std::vector<ReservationPart> parts;
            for (const char *id : {"a", "b"})
                parts.push_back({*fixture.state.directory.find(id), 1'000, "hold-1"});
            reservation = co_await MemoryReservation::acquire(fixture.state, std::move(parts));
            isDone = true;
        },
        asio::detached);
    while (!isDone)
        fixture.context.run_one();
    CHECK(reservation == nullptr);
    fixture.runFor(milliseconds{200});
    for (const ScriptedReplica::Request &request : evacuated.requests())
        CHECK(contains(request.body(), "release"));
    LONGS_EQUAL(2, other.requests().size());
    CHECK(contains(other.requests().back().body(), "release"));
}

TEST_GROUP_BASE(ASplitPromptBeforeAnEvacuatedZone,
                TEST_GROUP_CppUTestGroupAGatewayBeforeAnEvacuatedZone)
{
    std::map<std::string, ScriptedReplica *> engines;
    const GatewayFixture::StartedCall *call = nullptr;

    /// Two engines in each zone, which are slow to confirm that memory is reserved.
    void setup() override
    {
        fixture.configure(kEngineRoutes);
        for (const char *id : {"e-1", "e-2", "y-1", "y-2"}) {
            engines[id] = &fixture.addReplica(
                id, "engine", std::make_shared<Script>([](const ReplicaRequest &request) {
                    return request.target() == "/order" ? confirmation() : wholeStream();
                }));
            ReplicaEntry entry = *fixture.state.directory.find(id);
            entry.zone = id[0] == 'e' ? "east" : "yard";
            fixture.state.directory.applyChanges({{id, entry}}, fixture.clock.now());
        }
    }
    static ReplicaStep confirmation()
    {
        ReplicaStep step{""};
        step.pause = milliseconds{150};
        step.afterPause = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}";
        return step;
    }
    static ReplicaStep wholeStream()
    {
        return {responseHead(200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(0))
                + chunk("data: [DONE]\n\n") + "0\r\n\r\n"};
    }
    /// Starts a prompt that needs the memory of several engines, and waits until a helper was asked
    /// to reserve its memory. Returns the primary engine.
    std::string startPrompt()
    {
        call = &fixture.start(GatewayFixture::request(
            "POST", "/prompt/1", "X-Arbutuspier-Token-Usage: 406077,100\r\n", "prompt"));
        while (!isOneAsked())
            fixture.context.run_one();
        return fixture.state.load.activeRequestsOf(fixture.settings.vm)
            .front()
            .parts.front()
            .replica;
    }
    bool isOneAsked() const
    {
        return std::any_of(engines.begin(), engines.end(),
                           [](const auto &item) { return !item.second->requests().empty(); });
    }
    void evacuateZoneOf(const std::string &id)
    {
        set(fixture.state.directory.find(id)->zone, true);
        const TimePoint end = fixture.clock.now() + std::chrono::seconds{5};
        while (!call->isDone && fixture.clock.now() < end)
            fixture.runFor(milliseconds{10});
        CHECK(contains(call->response, event(0)));
        CHECK(contains(fixture.state.metrics.prometheusText(), "placed-anew"));
    }
    /// Checks that one prompt was sent, to the zone that isn't evacuated, with helpers there.
    void checkSentElsewhere()
    {
        std::size_t elsewhere = 0;
        for (const auto &[id, engine] : engines) {
            const bool isEvacuated =
                fixture.state.directory.isEvacuated(*fixture.state.directory.find(id));
            if (isEvacuated) {
                LONGS_EQUAL(0, prompts(*engine));
                continue;
            }
            elsewhere += prompts(*engine);
            for (const ReplicaRequest &request : engine->requests())
                CHECK(request.target() == "/order" || !namesEvacuated(request));
        }
        LONGS_EQUAL(1, elsewhere);
    }
    bool namesEvacuated(const ReplicaRequest &request)
    {
        for (const auto &[id, engine] : engines) {
            const bool isEvacuated =
                fixture.state.directory.isEvacuated(*fixture.state.directory.find(id));
            for (const auto &field : request) {
                if (isEvacuated && contains(std::string(field.value()), engine->address()))
                    return true;
            }
        }
        return false;
    }
    static std::size_t prompts(const ScriptedReplica &engine)
    {
        return static_cast<std::size_t>(
            std::count_if(engine.requests().begin(), engine.requests().end(),
                          [](const auto &request) { return request.target() != "/order"; }));
    }
};

// Guards against a prompt that spends a retry, or is lost, as the zone of its replica was evacuated
// while memory was reserved.
TEST(ASplitPromptBeforeAnEvacuatedZone, isPlacedAnewIfItsReplicaIsThere)
{
    evacuateZoneOf(startPrompt());
    checkSentElsewhere();
}

// Guards against a prompt with helpers in a zone that was evacuated while they reserved memory.
TEST(ASplitPromptBeforeAnEvacuatedZone, isPlacedAnewIfHelpersAreThere)
{
    const std::string primary = startPrompt();
    evacuateZoneOf(primary[0] == 'e' ? "y-1" : "e-1");
    checkSentElsewhere();
}

TEST_GROUP(AGatewayThatReadsTheOperatorsRows)
{
    GatewayFixture fixture;
    ScriptedStore store{fixture.context};
    std::unique_ptr<StoreWatcher> watcher;
    int readsReported = 0;

    void setup() override
    {
        fixture.settings.store = store.address();
        fixture.settings.drainBound = milliseconds{3'000};
        fixture.settings.configBound = milliseconds{3'000};
        store.writeConfiguration(2);
        watcher = std::make_unique<StoreWatcher>(fixture.context, fixture.state);
        watcher->onEvacuationsRead = [this] { ++readsReported; };
    }
    void startAndRead()
    {
        watcher->start();
        while (!fixture.state.routes())
            fixture.runFor(milliseconds{10});
    }
    bool isEvacuated() const
    {
        return fixture.state.evacuations.isEvacuated("east");
    }
    void runUntilEvacuated(bool evacuated)
    {
        const TimePoint end = fixture.clock.now() + std::chrono::seconds{10};
        while (isEvacuated() != evacuated && fixture.clock.now() < end)
            fixture.runFor(milliseconds{10});
        CHECK(isEvacuated() == evacuated);
    }
};

// Guards against a VM that starts during an evacuation and serves before it knows of it.
TEST(AGatewayThatReadsTheOperatorsRows, knowsEvacuatedZonesWithItsFirstConfiguration)
{
    store.evacuate("east", 3);
    bool wasKnown = false;
    watcher->onConfiguration = [&] { wasKnown = isEvacuated(); };
    startAndRead();
    CHECK(wasKnown);
    // Those that were there before know it.
    LONGS_EQUAL(0, readsReported);
}

TEST(AGatewayThatReadsTheOperatorsRows, learnsOfEachChangeWithinASecondAndTellsIt)
{
    startAndRead();
    fixture.runFor(milliseconds{500});
    store.evacuate("east", 3);
    const TimePoint evacuatedAt = fixture.clock.now();
    runUntilEvacuated(true);
    CHECK(fixture.clock.now() - evacuatedAt < milliseconds{1'000});
    store.endEvacuation("east", 4);
    runUntilEvacuated(false);
    LONGS_EQUAL(2, readsReported);
}

TEST(AGatewayThatReadsTheOperatorsRows, learnsThatAZoneReturnedWhileTheHistoryWasDropped)
{
    store.evacuate("east", 3);
    startAndRead();
    runUntilEvacuated(true);
    store.dropOperatorHistory();
    store.forgetEvacuation("east", 5);
    runUntilEvacuated(false);
}

// Guards against a VM that wakes and relies on peers whose notices it has slept through.
TEST(AGatewayThatReadsTheOperatorsRows, readsThemAfterASuspensionThoughOthersReadForIt)
{
    fixture.settings.drainBound = std::chrono::seconds{20};
    watcher = std::make_unique<StoreWatcher>(fixture.context, fixture.state);
    fixture.state.setStoreReaderCount(7);
    fixture.state.setStoreReader(false);
    startAndRead();
    watcher->onPeerReadReplicas();
    fixture.runFor(milliseconds{700});
    store.evacuate("east", 3);
    watcher->onPeerReadReplicas();
    fixture.runFor(milliseconds{400});
    CHECK(!isEvacuated());
    watcher->onResumed();
    runUntilEvacuated(true);
}

TEST_GROUP(AVmThatPeersTellOfAnEvacuation)
{
    GatewayFixture fixture;
    asio::ip::udp::socket peer{fixture.context, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::udp::endpoint endpoint;
    std::unique_ptr<StoreWatcher> store;
    std::unique_ptr<PeerMessenger> messenger;

    void setup() override
    {
        {
            asio::ip::udp::socket probe(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
            endpoint = probe.local_endpoint();
        }
        fixture.settings.vm = "edge-1";
        fixture.settings.peers = {"127.0.0.1", endpoint.port()};
        store = std::make_unique<StoreWatcher>(fixture.context, fixture.state);
        messenger = std::make_unique<PeerMessenger>(fixture.context, fixture.state, *store);
        CHECK(messenger->open().has_value());
        messenger->start();
    }
    void merge(bool evacuated, std::uint64_t number)
    {
        fixture.state.applyEvacuations(
            fixture.state.evacuations.merge({{}, {{"east", {0, number}, evacuated}}},
                                            fixture.clock.now()),
            "test");
    }
    void becomeKnown()
    {
        PeerDatagram status;
        status.incarnationTag = incarnationTagOf(5);
        status.sequence = 1;
        status.status = PeerStatus{"edge-2", 5, 0, {}, true, false};
        peer.send_to(asio::buffer(encodePeerDatagram(status)), endpoint);
    }
    /// Datagrams on evacuated zones that the peer receives within the time.
    std::vector<ZoneEvacuationNotice> receiveFor(Duration duration)
    {
        fixture.runFor(duration);
        std::vector<ZoneEvacuationNotice> received;
        std::array<char, 65536> bytes{};
        while (peer.available() > 0) {
            const std::size_t size = peer.receive(asio::buffer(bytes));
            if (auto notice = decodeZoneEvacuations({bytes.data(), size}))
                received.push_back(std::move(*notice));
        }
        return received;
    }
};

TEST(AVmThatPeersTellOfAnEvacuation, obeysIt)
{
    const ZoneEvacuationNotice notice{{}, {{"east", {0, 7}, true}}};
    peer.send_to(asio::buffer(encodeZoneEvacuations(notice)), endpoint);
    fixture.runFor(milliseconds{100});
    CHECK(fixture.state.evacuations.isEvacuated("east"));
}

// Guards against a VM that starts while the store is down.
TEST(AVmThatPeersTellOfAnEvacuation, tellsItWithItsFullState)
{
    merge(true, 7);
    PeerDatagram request;
    request.requestsFullState = true;
    peer.send_to(asio::buffer(encodePeerDatagram(request)), endpoint);
    const auto received = receiveFor(milliseconds{200});
    CHECK(!received.empty());
    CHECK(received.front().zones == std::vector<ZoneEvacuation>({{"east", {0, 7}, true}}));
}

// Guards against a VM that starts and can't tell whether no zone is evacuated or nobody knows.
TEST(AVmThatPeersTellOfAnEvacuation, tellsThatItKnowsOfNone)
{
    PeerDatagram request;
    request.requestsFullState = true;
    peer.send_to(asio::buffer(encodePeerDatagram(request)), endpoint);
    CHECK(receiveFor(milliseconds{200}).empty());
    fixture.state.evacuations.applyRead({}, {0, 5}, fixture.clock.now());
    peer.send_to(asio::buffer(encodePeerDatagram(request)), endpoint);
    const auto received = receiveFor(milliseconds{200});
    LONGS_EQUAL(1, received.size());
    CHECK(received.front().zones.empty());
}

// Guards against a peer that hears of an evacuation after seconds, as one datagram was lost.
TEST(AVmThatPeersTellOfAnEvacuation, repeatsWhatItHasRead)
{
    merge(true, 7);
    messenger->broadcastEvacuations();
    fixture.runFor(milliseconds{100});
    // The peer becomes known only now, after the datagram was sent.
    becomeKnown();
    CHECK(receiveFor(milliseconds{1'500}).size() >= 2);
}

TEST(AVmThatPeersTellOfAnEvacuation, repeatsNothingIfOthersRead)
{
    becomeKnown();
    fixture.runFor(milliseconds{600});
    receiveFor(milliseconds{10});
    merge(true, 7);
    // The status of the peer says that it can read the store too, so that two of two read.
    fixture.state.setStoreReader(false);
    CHECK(receiveFor(milliseconds{300}).empty());
}
