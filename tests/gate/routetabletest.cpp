// Tests the lookup of routes and teams, and the choice of a service by weight.
#include "arbutuspier/routetable.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;

namespace {

ServiceRoute route(std::string host, std::string prefix, std::string service)
{
    ServiceRoute route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.services = {{std::move(service), 1}};
    return route;
}

} // namespace

TEST_GROUP(ARouteTable)
{
    std::shared_ptr<const RouteTable> table;

    void setup() override
    {
        Configuration configuration;
        configuration.version = 7;
        configuration.routes = {route("desk.example", "/", "any"),
                                route("desk.example", "/orders/", "orders"),
                                route("desk.example", "/orders/stone/", "stone"),
                                route("yard.example", "/orders/", "yard")};
        configuration.teams = {{"carvers", {"key-a", "key-b"}, 2}, {"cutters", {"key-c"}, {}}};
        table = RouteTable::make(std::move(configuration));
    }

    std::string serviceOf(std::string_view host, std::string_view path) const
    {
        const ServiceRoute *found = table->findRoute(host, path);
        return found ? found->services.front().service : "none";
    }
};

TEST(ARouteTable, picksTheLongestPrefixOfTheHost)
{
    STRCMP_EQUAL("stone", serviceOf("desk.example", "/orders/stone/5").c_str());
    STRCMP_EQUAL("orders", serviceOf("desk.example", "/orders/blank").c_str());
    STRCMP_EQUAL("any", serviceOf("desk.example", "/orders").c_str());
    STRCMP_EQUAL("yard", serviceOf("yard.example", "/orders/stone/5").c_str());
}

TEST(ARouteTable, ignoresThePortAndTheCaseOfTheHost)
{
    STRCMP_EQUAL("orders", serviceOf("Desk.Example:8080", "/orders/").c_str());
}

TEST(ARouteTable, hasNoRouteForAnUnknownHostOrPath)
{
    STRCMP_EQUAL("none", serviceOf("other.example", "/orders/").c_str());
    STRCMP_EQUAL("none", serviceOf("yard.example", "/order").c_str());
}

TEST(ARouteTable, findsTheTeamOfAKey)
{
    STRCMP_EQUAL("carvers", table->teamOfKey("key-b")->name.c_str());
    STRCMP_EQUAL("cutters", table->teamOfKey("key-c")->name.c_str());
    POINTERS_EQUAL(nullptr, table->teamOfKey("key-"));
    POINTERS_EQUAL(nullptr, table->teamOfKey(""));
}

TEST(ARouteTable, rejectsARouteWithoutServiceOrWithAnInvalidPrefix)
{
    Configuration noService;
    noService.routes = {route("a", "/x/", "s")};
    noService.routes[0].services.clear();
    CHECK(!RouteTable::make(noService));
    Configuration invalidPrefix;
    invalidPrefix.routes = {route("a", "/x", "s")};
    CHECK(!RouteTable::make(invalidPrefix));
}

TEST(ARouteTable, choosesServicesByWeight)
{
    ServiceRoute split = route("a", "/", "old");
    split.services = {{"old", 90}, {"new", 10}};
    STRCMP_EQUAL("old", pickService(split, 0.0).c_str());
    STRCMP_EQUAL("old", pickService(split, 0.899).c_str());
    STRCMP_EQUAL("new", pickService(split, 0.901).c_str());
    STRCMP_EQUAL("new", pickService(split, 0.9999).c_str());
}

TEST(ARouteTable, allowsRetriesOnlyOfRequestsThatMayRunAgain)
{
    ServiceRoute plain = route("a", "/", "s");
    plain.kind = RetryKind::AtMostOnce;
    CHECK(!plain.isRetryable());
    plain.kind = RetryKind::Stream;
    CHECK(!plain.isRetryable());
    plain.isResumable = true;
    CHECK(plain.isRetryable());
    plain.kind = RetryKind::Idempotent;
    CHECK(plain.isRetryable());
}
