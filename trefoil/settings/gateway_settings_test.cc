#include "trefoil/settings/gateway_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

const std::string kGood = R"(host = "h"
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

SCENARIO("a gateway reads its settings")
{
  const auto settings = ParseGatewaySettings(kGood, "gateway.toml");
  REQUIRE(settings.ok());
  CHECK(settings->mZones.size() == 2);
  CHECK_FALSE(settings->mMetrics.has_value());
  CHECK(settings->mRetryRatio == 0.25);
  CHECK(settings->mRevokeWithin == Milliseconds{ 5'000 });
  WHEN("a value is wrong")
  {
    const auto fault = [](const std::string& aLine) {
      const auto read = ParseGatewaySettings(kGood + aLine, "gateway.toml");
      return read.ok() ? std::string{} : std::string{ read.status().message() };
    };
    THEN("file, line and reason are told")
    {
      CHECK_THAT(fault("nonsense = 1\n"), Catch::Contains("gateway.toml:12"));
      CHECK_THAT(fault("retry_window_s = 0\n"), Catch::Contains("retry_window_s"));
      CHECK_THAT(fault("retry_slack = \"x\"\n"), Catch::Contains("retry_slack"));
      CHECK_THAT(fault("quota_slack = -1\n"), Catch::Contains("quota_slack"));
      CHECK_THAT(fault("stop_notice_s = 1e9\n"), Catch::Contains("stop_notice_s"));
    }
  }
  WHEN("times, slacks and limits are not whole")
  {
    const auto read = ParseGatewaySettings(kGood + "stop_notice_s = 2.5\nretry_window_s = 7.25\n"
                                                   "retry_slack = 38.3\nquota_slack = 12.5\n"
                                                   "revoke_within_ms = 4999.5\n",
                                           "gateway.toml");
    THEN("they are taken as they are, times to the millisecond")
    {
      REQUIRE(read.ok());
      CHECK(read->mStopNotice == Milliseconds{ 2'500 });
      CHECK(read->mRetryWindow == Milliseconds{ 7'250 });
      CHECK(read->mRetrySlack == 38.3);
      CHECK(read->mQuotaSlack == 12.5);
      CHECK(read->mRevokeWithin == Milliseconds{ 4'999 });
    }
  }
  WHEN("duties are asked for without an endpoint")
  {
    std::string text = kGood;
    text.replace(text.find("cloud = \"127.0.0.1:84\""), 22, "cloud = \"\"");
    THEN("that is a fault")
    {
      CHECK_FALSE(ParseGatewaySettings(text, "gateway.toml").ok());
    }
  }
}

} // namespace
} // namespace trefoil
