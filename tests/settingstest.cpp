// Valid settings are read; for invalid ones the error lists every mistake.
#include "settings/settings.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace arbutuspier;

namespace {

const std::string kGood = R"([vm]
id = 1
zone = "north"
listen = "127.0.0.1:8101"
admin = "127.0.0.1:8201"
peer = "127.0.0.1:8301"
[platform]
address = "127.0.0.1:8400"
[security]
peer_key = "k"
ctl_token = "t"
[[upstreams]]
id = 1
name = "engine-1"
kind = "engine"
target = "grain"
zone = "north"
address = "127.0.0.1:8501"
memory_tokens = 400000
[[teams]]
name = "saw"
class = "ask"
key = "secret"
)";

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(Settings){std::string errorsOf(const std::string &text){
    const auto settings = parseSettings(text, "vm.toml");
return settings ? std::string() : settings.error().message;
}
}
;

TEST(Settings, areReadWithTheirDefaults)
{
    const auto settings = parseSettings(kGood, "vm.toml");
    CHECK(settings.has_value());
    LONGS_EQUAL(1, settings->self.id.value);
    LONGS_EQUAL(8101, settings->listen.port);
    LONGS_EQUAL(2, settings->trafficThreads);
    STRCMP_EQUAL("saw", settings->teamsByKey.at("secret").name.c_str());
}

TEST_GROUP_BASE(SettingsWithMistakes, TEST_GROUP_CppUTestGroupSettings){};

TEST(SettingsWithMistakes, nameTheUnknownKeyAndItsLine)
{
    const std::string errors = errorsOf("[vm]\ncolour = \"red\"\n" + kGood.substr(5));
    CHECK(has(errors, "vm.toml:2: vm.colour: unknown key"));
}

TEST(SettingsWithMistakes, listAllOfThem)
{
    const std::string errors =
        errorsOf("[vm]\nid = \"one\"\n[platform]\naddress = \"platform.example:80\"\n");
    CHECK(has(errors, "vm.id: expected whole number from 1"));
    CHECK(has(errors, "vm.zone: missing"));
    CHECK(has(errors, "platform.address: expected IP:port"));
    CHECK(has(errors, "security.peer_key: missing"));
    CHECK(has(errors, "upstreams: expected at least one"));
}

TEST(SettingsWithMistakes, refuseAnIdThatStandsTwice)
{
    const auto upstream = kGood.find("[[upstreams]]");
    const auto teams = kGood.find("[[teams]]");
    const std::string twice = kGood + kGood.substr(upstream, teams - upstream);
    CHECK(has(errorsOf(twice), "upstreams.id: duplicate id"));
}

TEST(SettingsWithMistakes, sayWhereTheTomlBreaks)
{
    CHECK(has(errorsOf("[vm\nid = 1\n"), "vm.toml:1"));
}

TEST(Settings, referencePageIsTheValidatorsOwn)
{
    std::ifstream file(std::string(ARBUTUSPIER_SOURCE_DIR) + "/docs/operators/settings.md");
    std::ostringstream text;
    text << file.rdbuf();
    CHECK(has(text.str(), settingsReference()));
}
