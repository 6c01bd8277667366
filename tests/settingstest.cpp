// Valid settings are read; for invalid ones the error lists every mistake.
#include "settings/settings.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace arbutuspier;

namespace {

const std::string kValid = R"([vm]
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

bool contains(const std::string &text, const std::string &part)
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
    const auto settings = parseSettings(kValid, "vm.toml");
    CHECK(settings.has_value());
    LONGS_EQUAL(1, settings->self.id.value);
    LONGS_EQUAL(8101, settings->listen.port);
    LONGS_EQUAL(2, settings->trafficThreads);
    STRCMP_EQUAL("saw", settings->teamsByKey.at("secret").name.c_str());
}

TEST_GROUP_BASE(SettingsWithMistakes, TEST_GROUP_CppUTestGroupSettings){};

TEST(SettingsWithMistakes, nameTheUnknownKeyAndItsLine)
{
    const std::string errors = errorsOf("[vm]\ncolour = \"red\"\n" + kValid.substr(5));
    CHECK(contains(errors, "vm.toml:2: vm.colour: unknown key"));
}

TEST(SettingsWithMistakes, haveAllMistakesListed)
{
    const std::string errors =
        errorsOf("[vm]\nid = \"one\"\n[platform]\naddress = \"platform.example:80\"\n");
    CHECK(contains(errors, "vm.id: expected whole number from 1"));
    CHECK(contains(errors, "vm.zone: missing"));
    CHECK(contains(errors, "platform.address: expected IP:port"));
    CHECK(contains(errors, "security.peer_key: missing"));
    CHECK(contains(errors, "upstreams: expected at least one"));
}

TEST(SettingsWithMistakes, rejectADuplicateId)
{
    const auto upstream = kValid.find("[[upstreams]]");
    const auto teams = kValid.find("[[teams]]");
    const std::string withDuplicateId = kValid + kValid.substr(upstream, teams - upstream);
    CHECK(contains(errorsOf(withDuplicateId), "upstreams.id: duplicate id"));
}

TEST(SettingsWithMistakes, giveTheLineOfATomlSyntaxError)
{
    CHECK(contains(errorsOf("[vm\nid = 1\n"), "vm.toml:1"));
}

TEST(Settings, referencePageMatchesTheValidator)
{
    std::ifstream file(std::string(ARBUTUSPIER_SOURCE_DIR) + "/docs/operators/settings.md");
    std::ostringstream text;
    text << file.rdbuf();
    CHECK(contains(text.str(), settingsReference()));
}
