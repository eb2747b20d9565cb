#include "trefoil/metrics/metrics.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("Metrics are rendered in the Prometheus text format")
{
  Metrics metrics;

  SECTION("the tables of names are in the order of the enumerators")
  {
    for (std::size_t i = 0; i < kCounterNames.size(); ++i) {
      CHECK(static_cast<std::size_t>(kCounterNames[i].mValue) == i);
    }
    for (std::size_t i = 0; i < kLatencyNames.size(); ++i) {
      CHECK(static_cast<std::size_t>(kLatencyNames[i].mValue) == i);
    }
  }
  SECTION("a counter accumulates")
  {
    metrics.Add(Counter::kTokens, 2);
    metrics.Add(Counter::kTokens, 3);
    CHECK(metrics.Render().find("\ntrefoil_tokens_total 5\n") != std::string::npos);
  }
  SECTION("a labelled counter has one line per label value")
  {
    metrics.IncrementLabelled(LabelledCounter::kRefusals, "over_quota");
    metrics.IncrementLabelled(LabelledCounter::kRefusals, "over_quota");
    metrics.IncrementLabelled(LabelledCounter::kRefusals, "no_route");
    const std::string text = metrics.Render();
    CHECK(text.find("trefoil_refusals_total{reason=\"over_quota\"} 2\n") != std::string::npos);
    CHECK(text.find("trefoil_refusals_total{reason=\"no_route\"} 1\n") != std::string::npos);
  }
  SECTION("a gauge has the last value that was set")
  {
    metrics.Set(Gauge::kConfigurationAge, 4.5);
    metrics.Set(Gauge::kConfigurationAge, 1.5);
    CHECK(metrics.Render().find("\ntrefoil_configuration_age_seconds 1.5\n") != std::string::npos);
  }
  SECTION("each histogram bucket counts the observations below its upper bound")
  {
    for (int i = 1; i <= 1000; ++i) {
      metrics.Observe(Latency::kTokenGap, Milliseconds{ 20 * i } - std::chrono::microseconds{ 1 });
    }
    const std::string text = metrics.Render();
    const auto shows = [&text](const std::string& aLine) {
      return text.find("trefoil_token_gap_seconds_" + aLine + "\n") != std::string::npos;
    };
    CHECK(shows("bucket{le=\"0.01\"} 0"));
    CHECK(shows("bucket{le=\"0.1\"} 5"));
    CHECK(shows("bucket{le=\"1\"} 50"));
    CHECK(shows("bucket{le=\"10\"} 500"));
    CHECK(shows("bucket{le=\"+Inf\"} 1000"));
    CHECK(shows("count 1000"));
  }
}

} // namespace
} // namespace trefoil
