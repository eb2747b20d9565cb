#include "trefoil/settings/host_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

constexpr const char* kGood = R"(host = "h1"
availability_zone = "zone-a"
listen = "127.0.1.1:8080"
peer_listen = "127.0.1.1:7000"
store = "127.0.0.1:9000"
seeds = ["127.0.1.2:7000"]
)";

std::string
MessageOf(const std::string& aText)
{
  const auto settings = ParseHostSettings(aText, "host.toml");
  return settings.ok() ? "" : std::string{ settings.status().message() };
}

TEST_CASE("An entry host reads its settings")
{
  SECTION("a complete file is taken")
  {
    const auto settings = ParseHostSettings(kGood, "host.toml");
    REQUIRE(settings.ok());
    CHECK(settings->mHost == HostId{ "h1" });
    CHECK(settings->mSeeds.size() == 1);
    SECTION("and what is left out has its default")
    {
      CHECK(settings->mMaxConnections == 2000);
      CHECK(settings->mLogLevel == LogLevel::kInfo);
    }
  }
  SECTION("a fault names file, line and reason")
  {
    SECTION("for a key that is missing")
    {
      CHECK(MessageOf("host = \"h1\"\n").find("availability_zone: is missing") !=
            std::string::npos);
    }
    SECTION("for an unknown key")
    {
      CHECK(MessageOf(std::string{ kGood } + "colour = 1\n") ==
            "host.toml:7:10: colour: is not a known key");
    }
    SECTION("for a wrong type")
    {
      CHECK(MessageOf(std::string{ kGood } + "most_connections = \"many\"\n") ==
            "host.toml:7:20: most_connections: must be a whole number");
    }
    SECTION("for a value out of range")
    {
      CHECK(MessageOf(std::string{ kGood } + "most_connections = 0\n") ==
            "host.toml:7:20: most_connections: must be from 1 to 20000");
    }
    SECTION("for text that is no TOML")
    {
      CHECK(MessageOf("host = \n").rfind("host.toml:1:", 0) == 0);
    }
  }
}

} // namespace
} // namespace trefoil
