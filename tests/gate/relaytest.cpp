// Sends requests to a VM without a path to the replicas, which relays them to a peer.
#include "gatewayfixture.h"
#include "responsetext.h"

#include "gateway/relayhead.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

namespace {

constexpr const char *kConfig = R"({"version":3,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":9000,"goalMs":500,"service":"assist","maxAttempts":2},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":9000,"goalMs":500,"service":"assist","maxAttempts":1},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":9000,"goalMs":500,"service":"assist","maxAttempts":3,"resumable":true,"gapTargetMs":300}],
 "services":[{"name":"assist","maxConnections":100}],
 "tenants":[{"name":"carvers","apiKeys":["saw-key"]}]})";
constexpr const char *kKey = "Authorization: Bearer saw-key\r\n";
const std::string kAnswer = "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
                            "X-Arbutuspier-Response-Signature: sig\r\nContent-Length: 2\r\n\r\nok";
const std::string kRest = "HTTP/1.1 503 Service Unavailable\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
                          "X-Arbutuspier-Not-Executed: 1\r\nRetry-After: 2.5\r\n"
                          "Content-Length: 0\r\n\r\n";
/// A rest that doesn't end during a test.
const std::string kLongRest =
    "HTTP/1.1 503 Service Unavailable\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
    "X-Arbutuspier-Not-Executed: 1\r\nRetry-After: 60\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string kError = "HTTP/1.1 500 Internal Server Error\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
                           "X-Arbutuspier-Response-Signature: sig\r\nContent-Length: 0\r\n\r\n";
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: sig\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::string kEnd = "0\r\n\r\n";

/// A peer in the same process. It shares nothing with the VM but the thread.
class PeerGateway
{
public:
    /// Listens on a free port if `port` is zero.
    PeerGateway(asio::io_context &context, const Clock &clock, const char *host = "127.0.0.1",
                std::uint16_t port = 0)
        : state(context.get_executor(), settings, clock)
        , m_context(context)
        , m_acceptor(context, Tcp::endpoint(asio::ip::make_address(host), port))
    {
        state.applyConfiguration(*platform::decodeConfiguration(kConfig), "test");
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void close() { m_acceptor.close(); }

    GatewaySettings settings;
    GatewayState state;

private:
    Task<void> accept()
    {
        while (m_acceptor.is_open()) {
            auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
            if (error)
                co_return;
            auto connection = std::make_shared<CallerConnection>(std::move(socket), state,
                                                                 CallerConnection::Origin::Peer);
            asio::co_spawn(m_context, connection->run(connection), asio::detached);
        }
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
};

} // namespace

TEST_GROUP(AVmWithoutAPath)
{
    GatewayFixture fixture;
    PeerGateway peer{fixture.context, fixture.clock};

    void setup() override
    {
        fixture.settings.relays = {"127.0.0.1", peer.port()};
        fixture.state.relayPeers.setPeers({{"peer", "127.0.0.1"}});
        fixture.configure(kConfig);
        for (const char *id : {"i-1", "i-2", "i-3"})
            fixture.addReplica(id, "assist", {ReplicaStep{kAnswer}}).close();
    }

    /// A replica that only the peer reaches.
    ScriptedReplica &addPeerReplica(const std::string &id, std::vector<ReplicaStep> steps)
    {
        return addReplicaOf(peer, id, std::move(steps));
    }

    ScriptedReplica &addReplicaOf(PeerGateway & vm, const std::string &id,
                                  std::vector<ReplicaStep> steps)
    {
        m_replicas.push_back(std::make_unique<ScriptedReplica>(
            fixture.context, std::make_shared<Script>(std::move(steps))));
        ReplicaEntry entry;
        entry.id = id;
        entry.service = "assist";
        entry.address = m_replicas.back()->address();
        entry.slots = 6;
        entry.startedAtMs = 1;
        vm.state.directory.applyChanges({{id, entry}}, fixture.clock.now());
        return *m_replicas.back();
    }

    std::string call(const char *path)
    {
        return fixture.call(GatewayFixture::request("POST", path, kKey, "x"));
    }

    /// Sends the request to the peer as another VM would relay it.
    void relayToPeer(const char *path, const RelayHead &head)
    {
        platform::Fields fields;
        setRelayHead(fields, head);
        std::string headers = kKey;
        for (const auto &field : fields)
            headers +=
                std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
        fixture.callAt(peer.port(), GatewayFixture::request("POST", path, headers, "x"));
    }

    void losePath()
    {
        call("/look/first");
        fixture.runFor(milliseconds{50});
        CHECK(fixture.state.paths.isLost("assist"));
    }

    /// Three equal calls are in flight as the connections of their replicas are reset.
    void cutThreeCalls()
    {
        for (const char *id : {"i-1", "i-2", "i-3"})
            fixture.state.directory.applyChanges({{id, std::nullopt}}, fixture.clock.now());
        addPeerReplica("i-9", {ReplicaStep{kAnswer}});
        ReplicaStep cut = crash();
        cut.delay = milliseconds{100};
        for (const char *id : {"i-41", "i-42", "i-43"})
            fixture.addReplica(id, "assist", {cut});
        for (int i = 0; i < 3; ++i)
            fixture.start(GatewayFixture::request("POST", "/look/1", kKey, "x"));
        fixture.runFor(milliseconds{600});
        CHECK(fixture.state.paths.isLost("assist"));
    }

    std::vector<std::unique_ptr<ScriptedReplica>> m_replicas;
};

// Guards against VMs that refuse what a peer could serve
// (docs/incidents/vm-without-a-path-to-replicas.md).
TEST(AVmWithoutAPath, servesItsCallersThroughAPeer)
{
    ScriptedReplica &replica = addPeerReplica("i-9", {ReplicaStep{kAnswer}});
    for (const char *path : {"/look/1", "/order/1", "/look/2"})
        CHECK(call(path).find("200 OK") != std::string::npos);
    LONGS_EQUAL(3, replica.requests().size());
    const auto &sent = replica.requests().back();
    CHECK(sent["X-Arbutuspier-Tenant"] == "carvers");
    CHECK(sent["X-Arbutuspier-Expected-Instance"] == "i-9");
    CHECK(sent["Authorization"].empty());
    CHECK(sent["Relay-Config-Version"].empty());
    CHECK(std::stoi(std::string(sent["X-Arbutuspier-Deadline-Ms"])) <= 9000);
}

// Guards against calls that wait at replicas that can't be reached, though the VM knows that it has
// lost its paths to the others.
TEST(AVmWithoutAPath, checksThePathsToOtherServicesToo)
{
    for (const char *id : {"i-21", "i-22"})
        fixture.addReplica(id, "orders", {ReplicaStep{kAnswer}}).close();
    std::vector<ScriptedReplica *> reachable;
    for (const char *id : {"i-31", "i-32", "i-33", "i-34", "i-35"})
        reachable.push_back(&fixture.addReplica(id, "drawings", {ReplicaStep{kAnswer}}));
    losePath();
    CHECK(fixture.state.paths.isLost("orders"));
    CHECK(!fixture.state.paths.isLost("drawings"));
    int connections = 0;
    for (const ScriptedReplica *replica : reachable)
        connections += replica->connections();
    CHECK(connections <= 3);
}

// Guards against harmless requests that are rejected for the crashes of replicas that a VM can't
// reach (docs/incidents/vm-without-a-path-to-replicas.md).
TEST(AVmWithoutAPath, blamesNoRequestThatWasInFlightAtTheCut)
{
    for (const char *id : {"i-21", "i-22"})
        fixture.addReplica(id, "orders", {ReplicaStep{kAnswer}}).close();
    cutThreeCalls();
    CHECK(fixture.state.paths.isLost("orders"));
    CHECK(call("/look/1").find("200 OK") != std::string::npos);
    // Another attempt there is found lost only now, and the replica still can't be reached.
    const RequestIdentity late{Fingerprint{7}, {}};
    const ReplicaEntry replica = *fixture.state.directory.find("i-41");
    fixture.state.suspects.onLost(replica, late, AttemptProgress::NoOutput, fixture.clock.now());
    fixture.runFor(milliseconds{400});
    CHECK(fixture.state.suspects.quarantine().noticesOf(late.fingerprint).empty());
}

// A request that crashes all replicas of a service makes no other service unreachable.
TEST(AVmWithoutAPath, blamesARequestThatCrashedAllReplicasOfOneService)
{
    for (const char *id : {"i-21", "i-22"})
        fixture.addReplica(id, "orders", {ReplicaStep{kAnswer}});
    cutThreeCalls();
    CHECK(call("/look/1").find("503") != std::string::npos);
}

TEST(AVmWithoutAPath, tellsTheCallerNothingOfTheRelay)
{
    addPeerReplica("i-9", {ReplicaStep{kAnswer}});
    CHECK(call("/look/1").find("Relay-") == std::string::npos);
}

TEST(AVmWithoutAPath, refusesAtOnceWhatNoPeerCanServe)
{
    losePath();
    fixture.state.relayPeers.setPeers({});
    const TimePoint start = fixture.clock.now();
    const std::string response = call("/look/1");
    CHECK(response.find("503") != std::string::npos);
    CHECK(response.find("Retry-After: 0.500") != std::string::npos);
    CHECK(fixture.clock.now() - start < milliseconds{200});
    CHECK(fixture.state.canServeNothing());
}

TEST(AVmWithoutAPath, doesNotSayNotRunOfACallThatMayHaveRun)
{
    ScriptedReplica &replica = addPeerReplica("i-9", {ReplicaStep{"", true}});
    losePath();
    const std::size_t before = replica.requests().size();
    CHECK(call("/order/1").find("502") != std::string::npos);
    LONGS_EQUAL(1, replica.requests().size() - before);
}

TEST(AVmWithoutAPath, saysNotRunOfACallThatThePeerRefused)
{
    losePath();
    CHECK(call("/order/1").find("503") != std::string::npos);
}

TEST(AVmWithoutAPath, countsTheAttemptsOfBothVmsTogether)
{
    ScriptedReplica &first = addPeerReplica("i-8", {ReplicaStep{kError}});
    ScriptedReplica &second = addPeerReplica("i-9", {ReplicaStep{kError}});
    call("/order/1");
    const std::size_t before = first.requests().size() + second.requests().size();
    CHECK(call("/look/1").find("500") != std::string::npos);
    LONGS_EQUAL(2, first.requests().size() + second.requests().size() - before);
}

TEST(AVmWithoutAPath, resumesAStreamThatBrokeAtThePeer)
{
    ScriptedReplica &replica =
        addPeerReplica("i-9",
                       {ReplicaStep{kStreamHead + chunk(event(0)) + chunk(event(1)), false, true},
                        ReplicaStep{kStreamHead + chunk(event(2)) + kEnd}});
    const std::string response = fixture.call(GatewayFixture::request("POST", "/ask/1", kKey, "x"));
    for (const char *id : {"id: 0\n", "id: 1\n", "id: 2\n"})
        CHECK(response.find(id) != std::string::npos);
    CHECK(response.find("id: 1\n") == response.rfind("id: 1\n"));
    CHECK(response.substr(response.size() - 5) == kEnd);
    LONGS_EQUAL(2, replica.requests().size());
    CHECK(replica.requests()[1]["Last-Event-Id"] == "1");
}

TEST(AVmWithoutAPath, cancelsAtThePeerWhatItsCallerLeft)
{
    ReplicaStep slow{kAnswer};
    slow.delay = std::chrono::seconds{5};
    ScriptedReplica &replica = addPeerReplica("i-9", {slow});
    const std::string request = GatewayFixture::request("POST", "/look/1", kKey, "x");
    fixture.startAndDisconnect(request, [&] { return !replica.requests().empty(); });
    const TimePoint end = fixture.clock.now() + milliseconds{500};
    while (peer.state.dispatchQueue.running() > 0 && fixture.clock.now() < end)
        fixture.runFor(milliseconds{20});
    LONGS_EQUAL(0, peer.state.dispatchQueue.running());
}

TEST(AVmWithoutAPath, getsNoAnswerByAnOlderConfiguration)
{
    ScriptedReplica &replica = addPeerReplica("i-9", {ReplicaStep{kAnswer}});
    std::string newer = kConfig;
    newer.replace(newer.find("\"version\":3"), 11, "\"version\":4");
    fixture.configure(newer);
    CHECK(call("/look/1").find("503") != std::string::npos);
    LONGS_EQUAL(0, replica.requests().size());
    peer.state.applyConfiguration(*platform::decodeConfiguration(newer), "test");
    fixture.runFor(milliseconds{600});
    CHECK(call("/look/2").find("200 OK") != std::string::npos);
}

TEST(AVmWithoutAPath, isNotServedByADrainingPeer)
{
    addPeerReplica("i-9", {ReplicaStep{kAnswer}});
    peer.state.beginDrain();
    CHECK(call("/order/1").find("503") != std::string::npos);
}

TEST(AVmWithoutAPath, goesOnWithAPeerThatFoundSomeReplicasUnreachable)
{
    for (const char *id : {"i-4", "i-5", "i-6"})
        addPeerReplica(id, {ReplicaStep{kAnswer}}).close();
    ScriptedReplica &replica = addPeerReplica("i-9", {ReplicaStep{kAnswer}});
    losePath();
    const TimePoint end = fixture.clock.now() + std::chrono::seconds{2};
    while (replica.requests().empty() && fixture.clock.now() < end) {
        call("/look/1");
        fixture.runFor(milliseconds{100});
    }
    CHECK(call("/look/2").find("200 OK") != std::string::npos);
    CHECK(call("/look/3").find("200 OK") != std::string::npos);
}

// Guards against a request that is given up though a replica is left that it wasn't tried at.
TEST(AVmWithoutAPath, triesTheReplicasThatAreLeftIfThePeerFindsNone)
{
    for (const char *id : {"i-4", "i-5", "i-6"})
        addPeerReplica(id, {ReplicaStep{kAnswer}}).close();
    fixture.addReplica("i-7", "assist", {ReplicaStep{kAnswer}}).close();
    for (const char *id : {"i-10", "i-11", "i-12", "i-13", "i-14", "i-15"}) {
        fixture.addReplica(id, "assist", {ReplicaStep{kAnswer}});
        CHECK(call("/look/1").find("200 OK") != std::string::npos);
        fixture.state.directory.applyChanges({{id, std::nullopt}}, fixture.clock.now());
        fixture.state.health = ReplicaHealth{{}};
        fixture.runFor(milliseconds{600});
    }
}

// Guards against requests that go round between VMs.
TEST(AVmWithoutAPath, takesNoRelayedRequests)
{
    losePath();
    PeerGateway other{fixture.context, fixture.clock};
    peer.settings.relays = {"127.0.0.1", other.port()};
    peer.state.relayPeers.setPeers({{"other", "127.0.0.1"}});
    for (const char *id : {"i-4", "i-5"}) {
        ScriptedReplica &replica = addPeerReplica(id, {ReplicaStep{kAnswer}});
        replica.close();
    }
    const std::uint64_t before = other.state.dispatchQueue.running();
    CHECK(call("/look/1").find("503") != std::string::npos);
    CHECK(call("/look/2").find("503") != std::string::npos);
    LONGS_EQUAL(before, other.state.dispatchQueue.running());
    CHECK(!other.state.paths.isLost("assist"));
}

// Guards against callers that come back in vain, as the time at which a peer can serve them is
// lost.
TEST(AVmWithoutAPath, passesOnWhenThePeersReplicasHaveRested)
{
    addPeerReplica("i-9", {ReplicaStep{kRest}});
    losePath();
    fixture.runFor(milliseconds{600});
    const std::string response = call("/order/1");
    CHECK(response.find("503") != std::string::npos);
    const std::size_t at = response.find("Retry-After: ");
    CHECK(at != std::string::npos);
    DOUBLES_EQUAL(2.0, std::stod(response.substr(at + std::string("Retry-After: ").size())), 0.5);
}

// Guards against callers that come back at once, as the first VM could ask another peer at once.
TEST(AVmWithoutAPath, tellsItsOwnTimeIfThePeerCannotTakeRelays)
{
    losePath();
    fixture.runFor(milliseconds{600});
    peer.state.beginDrain();
    const std::string response = call("/order/1");
    CHECK(response.find("503") != std::string::npos);
    STRCMP_CONTAINS("Retry-After: 0.300", response.c_str());
}

// Guards against a refusal while a peer is left whose replicas have asked it for no rest.
TEST(AVmWithoutAPath, isServedByAnotherPeerIfAllReplicasRestAtOne)
{
    ScriptedReplica &resting = addPeerReplica("i-9", {ReplicaStep{kLongRest}});
    losePath();
    PeerGateway other{fixture.context, fixture.clock, "127.0.0.2", peer.port()};
    ScriptedReplica &replica = addReplicaOf(other, "i-8", {ReplicaStep{kAnswer}});
    fixture.runFor(milliseconds{600});
    fixture.state.relayPeers.setPeers({{"peer", "127.0.0.1"}, {"other", "127.0.0.2"}});
    for (const char *path : {"/look/1", "/look/2", "/order/3", "/order/4"}) {
        CHECK(call(path).find("200 OK") != std::string::npos);
        fixture.runFor(milliseconds{600});
    }
    LONGS_EQUAL(1, resting.requests().size());
    LONGS_EQUAL(4, replica.requests().size());
    other.close();
}

// Guards against a peer that tries more replicas of a request that was sent before.
TEST(AVmWithoutAPath, triesTwoReplicasOfAPeerForARequestThatWasSentBefore)
{
    const std::vector<const char *> ids{"i-4", "i-5", "i-6", "i-7", "i-8", "i-9"};
    for (const char *id : ids)
        addPeerReplica(id, {ReplicaStep{kAnswer}}).close();
    RelayHead sentBefore;
    sentBefore.configVersion = 3;
    sentBefore.reachedAttempts = 1;
    relayToPeer("/look/1", sentBefore);
    const auto wasUnreachable = [&](const char *id) {
        return peer.state.health.isEjected({id, 1}, fixture.clock.now());
    };
    LONGS_EQUAL(2, std::count_if(ids.begin(), ids.end(), wasUnreachable));
}

// Guards against a request that spends the retries of all others at replicas that can't be reached.
TEST(AVmWithoutAPath, spendsFewRetriesOnARequestThatWasSentBefore)
{
    fixture.state.relayPeers.setPeers({});
    for (const char *id : {"i-1", "i-2", "i-3"})
        fixture.state.directory.applyChanges({{id, std::nullopt}}, fixture.clock.now());
    fixture.addReplica("i-0", "assist", {crash()});
    const auto retriesLeft = [&] {
        FleetRetryBudget budget = fixture.state.retryBudget("assist");
        int count = 0;
        while (budget.trySpend(fixture.clock.now(), 1))
            ++count;
        return count;
    };
    const int before = retriesLeft();
    call("/look/1");
    CHECK(before - retriesLeft() <= 7);
}

TEST(AVmWithoutAPath, blamesNoReplicaAfterThePathIsBack)
{
    addPeerReplica("i-9", {ReplicaStep{kAnswer}});
    losePath();
    const auto ejectedCount = [&] {
        int count = 0;
        for (const char *id : {"i-1", "i-2", "i-3"})
            count += fixture.state.health.isEjected({id, 1}, fixture.clock.now()) ? 1 : 0;
        return count;
    };
    CHECK(ejectedCount() >= 2);
    const TimePoint end = fixture.clock.now() + std::chrono::seconds{2};
    while (fixture.state.paths.isLost("assist") && fixture.clock.now() < end) {
        fixture.state.paths.onConnected(*fixture.state.directory.find("i-1"));
        fixture.state.paths.onConnected(*fixture.state.directory.find("i-2"));
        fixture.runFor(milliseconds{20});
    }
    CHECK(!fixture.state.paths.isLost("assist"));
    LONGS_EQUAL(0, ejectedCount());
}
