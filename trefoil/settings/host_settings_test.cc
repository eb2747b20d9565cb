#include "trefoil/settings/host_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

constexpr const char* kValidSettings = R"(host = "h1"
availability_zone = "zone-a"
listen = "127.0.1.1:8080"
peer_listen = "127.0.1.1:7000"
store = "127.0.0.1:9000"
seeds = ["127.0.1.2:7000"]
)";

std::string
ErrorMessageOf(const std::string& aText)
{
  const auto settings = ParseHostSettings(aText, "host.toml");
  return settings.ok() ? "" : std::string{ settings.status().message() };
}

TEST_CASE("The settings of an entry host are parsed and checked")
{
  SECTION("a valid file is accepted")
  {
    const auto settings = ParseHostSettings(kValidSettings, "host.toml");
    REQUIRE(settings.ok());
    CHECK(settings->mHost == HostId{ "h1" });
    CHECK(settings->mSeeds.size() == 1);
    SECTION("and missing keys have their defaults")
    {
      CHECK(settings->mMaxConnections == 2000);
      CHECK(settings->mLogLevel == LogLevel::kInfo);
    }
  }
  SECTION("an error names file, line, column and reason")
  {
    SECTION("for a missing key")
    {
      CHECK(ErrorMessageOf("host = \"h1\"\n").find("availability_zone: is missing") !=
            std::string::npos);
    }
    SECTION("for an unknown key")
    {
      CHECK(ErrorMessageOf(std::string{ kValidSettings } + "colour = 1\n") ==
            "host.toml:7:10: colour: is not a known key");
    }
    SECTION("for a wrong type")
    {
      CHECK(ErrorMessageOf(std::string{ kValidSettings } + "most_connections = \"many\"\n") ==
            "host.toml:7:20: most_connections: must be a whole number");
    }
    SECTION("for a value out of range")
    {
      CHECK(ErrorMessageOf(std::string{ kValidSettings } + "most_connections = 0\n") ==
            "host.toml:7:20: most_connections: must be from 1 to 20000");
    }
    SECTION("for invalid TOML syntax")
    {
      CHECK(ErrorMessageOf("host = \n").rfind("host.toml:1:", 0) == 0);
    }
  }
}

} // namespace
} // namespace trefoil
