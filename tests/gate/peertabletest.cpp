// What VMs tell each other: the bytes, and what to make of hints that are lost, late or unknown.
#include "gateway/peertable.h"
#include "gateway/peerdatagramcodec.h"
#include "gateway/snapshotcodec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ActiveRequest someWork(std::uint64_t id)
{
    ActiveRequest work;
    work.id = id;
    work.eventGapObjective = milliseconds{250};
    work.weight = 1.5;
    work.parts = {{"i-1", 31, 5000, 6600, true}, {"i-2", 31, 0, 0, false}};
    return work;
}

} // namespace

TEST_GROUP(AHint)
{
    PeerDatagram datagram;

    void setup() override
    {
        datagram.incarnationTag = 17;
        datagram.sequence = 3;
        datagram.status = PeerStatus{"edge-1", 17, 9, 40, true, false};
        datagram.whole = std::vector<ActiveRequest>{someWork(5)};
        datagram.news = {{ActiveRequestUpdate::Kind::Began, 5, someWork(5)},
                         {ActiveRequestUpdate::Kind::Writing, 3, std::nullopt},
                         {ActiveRequestUpdate::Kind::Ended, 4, std::nullopt}};
        datagram.departures = {{{"i-3", 99}, true}};
        datagram.suspects = {{Fingerprint{77}, {1, 2}, false}};
    }
};

TEST(AHint, comesOutAsItWentIn)
{
    const auto decoded = decodePeerDatagram(encodePeerDatagram(datagram));
    CHECK(decoded.has_value());
    LONGS_EQUAL(17, decoded->incarnationTag);
    LONGS_EQUAL(3, decoded->sequence);
    CHECK(decoded->status == datagram.status);
    LONGS_EQUAL(2, decoded->whole->front().parts.size());
    DOUBLES_EQUAL(1.5, decoded->whole->front().weight, 1e-9);
    CHECK(decoded->news[0].work.has_value());
    CHECK(decoded->news[1].kind == ActiveRequestUpdate::Kind::Writing);
    LONGS_EQUAL(3, decoded->news[1].id);
    CHECK(decoded->news[2].kind == ActiveRequestUpdate::Kind::Ended);
    LONGS_EQUAL(4, decoded->news[2].id);
    CHECK(decoded->departures[0].isDraining);
    LONGS_EQUAL(2, decoded->suspects[0].crashes.size());
    CHECK(!decoded->asksWhole);
}

TEST(AHint, isShortWhereOneRequestBeginsOrEnds)
{
    PeerDatagram began;
    began.incarnationTag = 4'000'000'000;
    began.sequence = 100'000;
    began.news = {{ActiveRequestUpdate::Kind::Began, 30'000, someWork(30'000)}};
    began.news[0].work->parts.pop_back();
    CHECK(encodePeerDatagram(began).size() <= 48);
    PeerDatagram ended = began;
    ended.news = {{ActiveRequestUpdate::Kind::Ended, 30'000, std::nullopt}};
    CHECK(encodePeerDatagram(ended).size() <= 18);
}

TEST(AHint, tellsNothingRunsFromNothingSaid)
{
    PeerDatagram idle;
    CHECK(!decodePeerDatagram(encodePeerDatagram(idle))->whole.has_value());
    idle.whole.emplace();
    CHECK(decodePeerDatagram(encodePeerDatagram(idle))->whole.has_value());
    idle.asksWhole = true;
    CHECK(decodePeerDatagram(encodePeerDatagram(idle))->asksWhole);
}

TEST(AHint, isNoneIfItsBytesAreOdd)
{
    const std::string bytes = encodePeerDatagram(datagram);
    CHECK(!decodePeerDatagram("").has_value());
    CHECK(!decodePeerDatagram(bytes.substr(0, bytes.size() - 1)).has_value());
    const bool holds = rc::check("mutated hints", [&bytes] {
        std::string odd = bytes;
        const int edits = *rc::gen::inRange(1, 5);
        for (int i = 0; i < edits; ++i)
            odd[*rc::gen::inRange<std::size_t>(0, odd.size())] = *rc::gen::arbitrary<char>();
        decodePeerDatagram(odd);
    });
    CHECK(holds);
}

TEST_GROUP(ASnapshot)
{
    Snapshot snapshot{"configuration bytes",
                      {{"i-1", "assist", "127.0.0.1:8000", "north", 8, ReplicaState::Draining,
                        1'700'000'000'000}},
                      {{{"i-3", 99}, true}},
                      {{Fingerprint{77}, {1, 2}, false}}};
};

TEST(ASnapshot, comesOutAsItWentIn)
{
    const auto decoded = decodeSnapshot(encodeSnapshot(snapshot));
    CHECK(decoded.has_value());
    STRCMP_EQUAL("configuration bytes", decoded->configuration.c_str());
    const ReplicaEntry &replica = decoded->replicas.front();
    STRCMP_EQUAL("assist", replica.service.c_str());
    STRCMP_EQUAL("127.0.0.1:8000", replica.address.c_str());
    STRCMP_EQUAL("north", replica.zone.c_str());
    LONGS_EQUAL(8, replica.slots);
    CHECK(replica.incarnation() == snapshot.replicas.front().incarnation());
    CHECK(replica.state == ReplicaState::Draining);
    CHECK(decoded->departures.front().isDraining);
    LONGS_EQUAL(2, decoded->suspects.front().crashes.size());
}

TEST(ASnapshot, isNoneIfItsBytesAreOdd)
{
    const std::string bytes = encodeSnapshot(snapshot);
    CHECK(!decodeSnapshot("").has_value());
    CHECK(!decodeSnapshot(bytes.substr(0, bytes.size() - 1)).has_value());
    CHECK(!decodeSnapshot(encodePeerDatagram({})).has_value());
    const bool holds = rc::check("mutated snapshots", [&bytes] {
        std::string odd = bytes;
        const int edits = *rc::gen::inRange(1, 5);
        for (int i = 0; i < edits; ++i)
            odd[*rc::gen::inRange<std::size_t>(0, odd.size())] = *rc::gen::arbitrary<char>();
        decodeSnapshot(odd);
    });
    CHECK(holds);
}

TEST_GROUP(APeerTable)
{
    PeerTable table{"edge-1"};
    const UdpEndpoint peer{asio::ip::make_address("127.0.0.2"), 9000};
    TimePoint now = TimePoint{} + seconds{100};

    static PeerDatagram brief(std::uint64_t sequence, std::uint64_t incarnation = 17)
    {
        PeerDatagram datagram;
        datagram.incarnationTag = incarnationTagOf(incarnation);
        datagram.sequence = sequence;
        datagram.news = {{ActiveRequestUpdate::Kind::Ended, 4, std::nullopt}};
        return datagram;
    }
    static PeerDatagram full(std::uint64_t sequence, std::uint64_t incarnation = 17)
    {
        PeerDatagram datagram = brief(sequence, incarnation);
        datagram.status = PeerStatus{"edge-2", incarnation, 1, 1, true, false};
        datagram.whole.emplace();
        return datagram;
    }
    PeerTable::Reaction take(const PeerDatagram &datagram, milliseconds later = milliseconds{200})
    {
        now += later;
        return table.take(datagram, peer, now);
    }
};

TEST(APeerTable, asksAnUnknownPeerAndTakesNewsOnceItIsKnown)
{
    const auto first = take(brief(5));
    CHECK(first.asks);
    CHECK(!first.hasNews);
    const auto answer = take(full(5));
    CHECK(answer.isNewIncarnation);
    CHECK(answer.hasNews);
    CHECK(!answer.asks);
    STRCMP_EQUAL("edge-2", answer.vm.c_str());
    const auto next = take(brief(6));
    CHECK(next.hasNews);
    CHECK(!next.asks);
    LONGS_EQUAL(1, table.alive());
}

TEST(APeerTable, asksForWhatAGapSwallowedAndTakesTheNewsBesideIt)
{
    take(full(5));
    const auto afterGap = take(brief(8));
    CHECK(afterGap.asks);
    CHECK(afterGap.hasNews);
    CHECK(!take(brief(9)).asks);
}

TEST(APeerTable, takesNoHintTwiceAndNoneThatCameLate)
{
    take(full(5));
    CHECK(!take(brief(5)).hasNews);
    CHECK(!take(brief(4)).hasNews);
    CHECK(take(full(5)).hasNews);
}

TEST(APeerTable, asksAndAnswersOncePerLoss)
{
    take(full(5));
    CHECK(take(brief(8)).asks);
    CHECK(!take(brief(11), milliseconds{1}).asks);
    PeerDatagram ask = brief(1);
    ask.asksWhole = true;
    CHECK(take(ask).answers);
    CHECK(!take(ask, milliseconds{1}).answers);
    CHECK(!take(ask).hasNews);
}

TEST(APeerTable, beginsAnewWithALaterLifeAndIgnoresTheEarlierOne)
{
    take(full(50));
    CHECK(take(brief(1, 18)).asks);
    const auto restarted = take(full(1, 18));
    CHECK(restarted.isNewIncarnation);
    CHECK(restarted.hasNews);
    CHECK(!take(full(51)).hasNews);
}

TEST(APeerTable, asksAPeerThatIsHeardAgainAfterSilence)
{
    take(full(5));
    now += seconds{2};
    LONGS_EQUAL(1, table.forgetSilent(now).size());
    LONGS_EQUAL(0, table.alive());
    const auto back = take(brief(6));
    CHECK(back.asks);
    CHECK(back.hasNews);
    LONGS_EQUAL(1, table.alive());
}

TEST(APeerTable, forgetsAPeerLongUnheardUnlessTheStoreNamesIt)
{
    take(full(5));
    now += seconds{21};
    table.setKnown(peer, now);
    table.forgetSilent(now);
    LONGS_EQUAL(1, table.endpoints([](const std::string &) { return true; }).size());
    now += seconds{21};
    table.forgetSilent(now);
    LONGS_EQUAL(0, table.endpoints([](const std::string &) { return true; }).size());
}

TEST(APeerTable, namesThePeersThatAreWanted)
{
    take(full(5));
    const auto none = table.endpoints([](const std::string &vm) { return vm != "edge-2"; });
    LONGS_EQUAL(0, none.size());
}

TEST(APeerTable, isNotMovedByItsOwnHints)
{
    PeerDatagram own = full(5);
    own.status->vm = "edge-1";
    CHECK(!take(own).hasNews);
    LONGS_EQUAL(0, table.endpoints([](const std::string &) { return true; }).size());
}

TEST(APeerTable, countsReadersAmongThePeersThatStay)
{
    PeerDatagram leaving = full(5);
    take(leaving);
    LONGS_EQUAL(1, table.readers());
    leaving = full(6);
    leaving.status->isLeaving = true;
    take(leaving);
    LONGS_EQUAL(0, table.readers());
    LONGS_EQUAL(1, table.alive());
}
