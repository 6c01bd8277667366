// Which zones are evacuated, by reads of the store and notices of other VMs in any order.
#include "arbutuspier/zoneevacuations.h"

#include "gateway/cborfields.h"
#include "gateway/zoneevacuationcodec.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ZoneEvacuation evacuated(const std::string &zone, std::uint64_t number, std::uint64_t era = 0)
{
    return {zone, {era, number}, true};
}

ZoneEvacuation returned(const std::string &zone, std::uint64_t number, std::uint64_t era = 0)
{
    return {zone, {era, number}, false};
}

ZoneEvacuationNotice noticeOf(std::vector<ZoneEvacuation> zones, Duration age = {})
{
    return {age, std::move(zones)};
}

} // namespace

TEST_GROUP(AnEvacuatedZone)
{
    ZoneEvacuations zones{ZoneEvacuationsOptions{}};
    TimePoint now{seconds{100}};

    void read(std::vector<ZoneEvacuation> rows, std::uint64_t number, std::uint64_t era = 0)
    {
        zones.applyRead(rows, {era, number}, now);
    }
};

TEST(AnEvacuatedZone, isReportedOnceByTheReadThatFindsIt)
{
    CHECK(!zones.isKnown());
    const auto changed = zones.applyRead({evacuated("a", 5)}, {0, 7}, now);
    LONGS_EQUAL(1, changed.size());
    CHECK(changed.front() == evacuated("a", 5));
    CHECK(zones.applyRead({evacuated("a", 5)}, {0, 9}, now).empty());
    CHECK(zones.isKnown());
    CHECK(zones.isEvacuated("a"));
    CHECK(!zones.isEvacuated("b"));
}

TEST(AnEvacuatedZone, returnsWithTheRemovalOfItsRow)
{
    read({evacuated("a", 5), evacuated("b", 6)}, 7);
    const auto changed = zones.applyChanges({returned("a", 8)}, now);
    LONGS_EQUAL(1, changed.size());
    CHECK(zones.evacuated() == std::set<std::string>{"b"});
}

// Guards against a zone that stays evacuated for ever, as its row was removed while the store
// dropped its history.
TEST(AnEvacuatedZone, returnsWithACompleteReadThatLacksIt)
{
    read({evacuated("a", 5)}, 7);
    const auto changed = zones.applyRead({}, {0, 12}, now);
    LONGS_EQUAL(1, changed.size());
    CHECK(changed.front() == returned("a", 12));
    CHECK(zones.evacuated().empty());
}

// Guards against requests to an evacuated zone after a read of a copy that is seconds old.
TEST(AnEvacuatedZone, staysSoAfterAnOlderReadThatLacksIt)
{
    zones.merge(noticeOf({evacuated("a", 9)}), now);
    CHECK(zones.applyRead({}, {0, 8}, now).empty());
    CHECK(zones.isEvacuated("a"));
}

TEST(AnEvacuatedZone, staysReturnedAfterAnOlderNotice)
{
    read({evacuated("a", 5)}, 7);
    read({}, 12);
    CHECK(zones.merge(noticeOf({evacuated("a", 5)}), now).empty());
    CHECK(zones.evacuated().empty());
    LONGS_EQUAL(1, zones.merge(noticeOf({evacuated("a", 13)}), now).size());
}

// Guards against a VM that takes the lower numbers of a store that came back from a copy for old.
TEST(AnEvacuatedZone, followsAStoreThatCameBackFromACopy)
{
    read({evacuated("a", 50)}, 60);
    read({evacuated("b", 20, 1)}, 40, 1);
    CHECK(zones.evacuated() == std::set<std::string>{"b"});
    CHECK(zones.merge(noticeOf({evacuated("a", 55), returned("b", 70)}), now).empty());
    CHECK(zones.evacuated() == std::set<std::string>{"b"});
}

// Guards against VMs that disagree because datagrams came in another order, or twice.
TEST(AnEvacuatedZone, isTheSameForAllOrdersOfNotices)
{
    std::vector<ZoneEvacuation> records = {evacuated("a", 3), returned("a", 5),
                                           evacuated("a", 8), evacuated("b", 4),
                                           returned("b", 4),  returned("a", 2, 1)};
    std::vector<std::size_t> order = {0, 1, 2, 3, 4, 5};
    do {
        ZoneEvacuations vm{ZoneEvacuationsOptions{}};
        for (const std::size_t i : order) {
            vm.merge(noticeOf({records[i]}), now);
            vm.merge(noticeOf({records[order.front()]}), now);
        }
        CHECK(vm.evacuated() == std::set<std::string>{"b"});
        CHECK(vm.notice(now).zones
              == std::vector<ZoneEvacuation>({returned("a", 2, 1), evacuated("b", 4)}));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(AnEvacuatedZone, isKnownToAVmThatAPeerTellsThatThereIsNone)
{
    zones.merge(noticeOf({}, seconds{3}), now);
    CHECK(zones.isKnown());
    CHECK(zones.age(now) == std::optional<Duration>(seconds{3}));
    now += seconds{2};
    CHECK(zones.age(now) == std::optional<Duration>(seconds{5}));
    zones.applyChanges({}, now);
    CHECK(zones.age(now) == std::optional<Duration>(Duration{}));
}

TEST(AnEvacuatedZone, isTakenToStayEvacuatedForAsLongAsItWas)
{
    read({evacuated("a", 5)}, 7);
    CHECK(zones.retryAfter(now) == seconds{1});
    now += seconds{4};
    CHECK(zones.retryAfter(now) == seconds{4});
    zones.applyChanges({evacuated("b", 8)}, now);
    CHECK(zones.retryAfter(now) == seconds{1});
    now += seconds{60};
    CHECK(zones.retryAfter(now) == seconds{10});
}

// Guards against memory and datagrams that grow with each zone that was ever named.
TEST(AnEvacuatedZone, isNeverForgottenButThoseThatReturnedAre)
{
    read({evacuated("a", 1)}, 2);
    for (std::uint64_t i = 0; i < 1000; ++i)
        zones.applyChanges({returned("z" + std::to_string(i), 10 + i)}, now);
    LONGS_EQUAL(ZoneEvacuationsOptions{}.maxZones, zones.notice(now).zones.size());
    CHECK(zones.isEvacuated("a"));
}

TEST(AnEvacuatedZone, isNamedInADatagram)
{
    const ZoneEvacuationNotice sent =
        noticeOf({evacuated("a", 5, 2), returned("b", 6)}, milliseconds{1500});
    const std::string bytes = encodeZoneEvacuations(sent);
    CHECK(isNamedFormat(bytes));
    const auto received = decodeZoneEvacuations(bytes);
    CHECK(received.has_value());
    CHECK(received->zones == sent.zones);
    CHECK(received->age == sent.age);
}

TEST(AnEvacuatedZone, isReadFromADatagramOfALaterBuild)
{
    const Json zone = Json::array({"a", 0U, 5U, true, "more"});
    const Json document = Json::array({"zone-evacuations", 1U, 0U, Json::array({zone}), "more"});
    const auto received = decodeZoneEvacuations(toCbor(document));
    CHECK(received && received->zones == std::vector<ZoneEvacuation>{evacuated("a", 5)});
}

TEST(AnEvacuatedZone, isNotReadFromBytesOfAnotherKind)
{
    CHECK(!decodeZoneEvacuations(""));
    CHECK(!decodeZoneEvacuations(toCbor(Json::array({"zone-evacuations", 2U, 0U, Json::array()}))));
    const Json zone = Json::array({"a", -1, 5U, true});
    CHECK(!decodeZoneEvacuations(
        toCbor(Json::array({"zone-evacuations", 1U, 0U, Json::array({zone})}))));
}
