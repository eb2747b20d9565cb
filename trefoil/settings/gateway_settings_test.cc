#include "trefoil/settings/gateway_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

const std::string kValidSettings = R"(host = "h"
availability_zone = "a"
availability_zones = ["a", "b"]
listen = "127.0.0.1:80"
readiness_listen = "127.0.0.1:81"
peer_listen = "127.0.0.1:82"
metrics_listen = ""
store = "127.0.0.1:83"
cloud = "127.0.0.1:84"
report_usage = true
retry_ratio = 0.25
)";

SCENARIO("the settings of a gateway are parsed and checked")
{
  const auto settings = ParseGatewaySettings(kValidSettings, "gateway.toml");
  REQUIRE(settings.ok());
  CHECK(settings->mZones.size() == 2);
  CHECK_FALSE(settings->mMetrics.has_value());
  CHECK(settings->mRetryRatio == 0.25);
  CHECK(settings->mRevokeWithin == Milliseconds{ 5'000 });
  CHECK(settings->mMemoryBytes == 0);
  CHECK(
    ParseGatewaySettings(kValidSettings + "memory_mb = 120.5\n", "gateway.toml")->mMemoryBytes ==
    120'500'000);
  WHEN("a key is unknown or a value is invalid")
  {
    const auto errorFor = [](const std::string& aLine) {
      const auto read = ParseGatewaySettings(kValidSettings + aLine, "gateway.toml");
      return read.ok() ? std::string{} : std::string{ read.status().message() };
    };
    THEN("the error names the file and line, or the key")
    {
      CHECK_THAT(errorFor("nonsense = 1\n"), Catch::Contains("gateway.toml:12"));
      CHECK_THAT(errorFor("retry_window_s = 0\n"), Catch::Contains("retry_window_s"));
      CHECK_THAT(errorFor("retry_slack = \"x\"\n"), Catch::Contains("retry_slack"));
      CHECK_THAT(errorFor("quota_slack = -1\n"), Catch::Contains("quota_slack"));
      CHECK_THAT(errorFor("stop_notice_s = 1e9\n"), Catch::Contains("stop_notice_s"));
      CHECK_THAT(errorFor("memory_mb = -1\n"), Catch::Contains("memory_mb"));
      CHECK_THAT(errorFor("memory_mb = \"big\"\n"), Catch::Contains("memory_mb"));
      CHECK_THAT(errorFor("drain_within_ms = 0\n"), Catch::Contains("drain_within_ms"));
    }
  }
  WHEN("the region of the host and those of the zones are stated")
  {
    const auto read = ParseGatewaySettings(
      kValidSettings + "region = \"north\"\nzone_regions = [\"a=north\", \"b=south\"]\n",
      "gateway.toml");
    THEN("they are known, and a zone without a region is an error")
    {
      REQUIRE(read.ok());
      CHECK(read->mRegion == RegionId{ "north" });
      CHECK(read->mZoneRegions.at(AvailabilityZoneId{ "b" }) == RegionId{ "south" });
      for (const char* entry : { "a", "a=", "=north" }) {
        const auto bad = ParseGatewaySettings(
          kValidSettings + "zone_regions = [\"" + entry + "\"]\n", "gateway.toml");
        CHECK_FALSE(bad.ok());
      }
    }
  }
  WHEN("durations and slacks have fractions")
  {
    const auto read =
      ParseGatewaySettings(kValidSettings + "stop_notice_s = 2.5\nretry_window_s = 7.25\n"
                                            "retry_slack = 38.3\nquota_slack = 12.5\n"
                                            "revoke_within_ms = 4999.5\n"
                                            "drain_within_ms = 1999.5\nsettle_within_ms = 2500\n",
                           "gateway.toml");
    THEN("slacks keep them and durations are truncated to whole milliseconds")
    {
      REQUIRE(read.ok());
      CHECK(read->mStopNotice == Milliseconds{ 2'500 });
      CHECK(read->mRetryWindow == Milliseconds{ 7'250 });
      CHECK(read->mRetrySlack == 38.3);
      CHECK(read->mQuotaSlack == 12.5);
      CHECK(read->mRevokeWithin == Milliseconds{ 4'999 });
      CHECK(read->mDrainWithin == Milliseconds{ 1'999 });
      CHECK(read->mSettleWithin == Milliseconds{ 2'500 });
    }
  }
  WHEN("a duty is enabled without the endpoint of the cloud API")
  {
    std::string text = kValidSettings;
    text.replace(text.find("cloud = \"127.0.0.1:84\""), 22, "cloud = \"\"");
    THEN("the settings are rejected")
    {
      CHECK_FALSE(ParseGatewaySettings(text, "gateway.toml").ok());
    }
  }
}

} // namespace
} // namespace trefoil
