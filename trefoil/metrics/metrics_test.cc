#include "trefoil/metrics/metrics.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("A process shows what it counted")
{
  Metrics metrics;

  SECTION("names stand in the order of the values")
  {
    for (std::size_t i = 0; i < kCounterNames.size(); ++i) {
      CHECK(static_cast<std::size_t>(kCounterNames[i].mValue) == i);
    }
    for (std::size_t i = 0; i < kSummaryNames.size(); ++i) {
      CHECK(static_cast<std::size_t>(kSummaryNames[i].mValue) == i);
    }
  }
  SECTION("a counter adds up")
  {
    metrics.Add(Counter::kTokens, 2);
    metrics.Add(Counter::kTokens, 3);
    CHECK(metrics.Render().find("\ntrefoil_tokens_total 5\n") != std::string::npos);
  }
  SECTION("a summary estimates quantiles")
  {
    for (int i = 1; i <= 1000; ++i) {
      metrics.Observe(Summary::kTokenGap, Milliseconds{ i });
    }
    const std::string page = metrics.Render();
    CHECK(page.find("trefoil_token_gap_seconds_count 1000\n") != std::string::npos);
    CHECK(page.find("trefoil_token_gap_seconds{quantile=\"0.95\"} 0.9") != std::string::npos);
  }
  SECTION("an empty summary has no quantiles")
  {
    CHECK(metrics.Render().find("quantile") == std::string::npos);
  }
}

} // namespace
} // namespace trefoil
