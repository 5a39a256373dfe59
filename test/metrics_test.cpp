/// \file Tests of the metrics registry.
#include "core/metrics.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace acacianotch;

// Guards against a row in the wrong place: families are looked up by position.
TEST_CASE("every metric has its own row and name") {
  std::set<std::string_view> Names;
  std::size_t Position = 1;
  for (const auto &Row : metricRows()) {
    CHECK(static_cast<std::size_t>(Row.Id) == Position++);
    CHECK(Names.insert(Row.Name).second);
    const auto IsCounter = Row.Kind == metric_kind::counter;
    CHECK(Row.Name.ends_with("_total") == IsCounter);
  }
}

// Guards against series that a scraper cannot read, and against a second
// look-up that starts a new count.
TEST_CASE("series keep their values and appear in the text") {
  metrics_registry Metrics;
  const metrics_registry::labels Ok{{"outcome", "ok"}, {"verdict", "ran"}};
  Metrics.counter(metric::requests, Ok).Increment();
  Metrics.counter(metric::requests, Ok).Increment(2);
  Metrics.gauge(metric::epoch).Set(7);
  Metrics.histogram(metric::first_token_seconds, {{"class", "short"}})
      .Observe(0.5);
  const auto Text = Metrics.text();
  const std::string Bucket = "acacianotch_first_token_seconds_bucket"
                             "{class=\"short\",le=";
  for (const auto &Line : std::vector<std::string>{
           "# TYPE acacianotch_requests_total counter",
           "acacianotch_requests_total{outcome=\"ok\",verdict=\"ran\"} 3",
           "acacianotch_epoch 7", Bucket + "\"0.62\"} 1",
           Bucket + "\"0.25\"} 0"}) {
    CAPTURE(Line);
    CHECK(Text.find(Line) != std::string::npos);
  }
}

// Guards against a reference page that misses a metric.
TEST_CASE("the reference shows every metric") {
  for (const auto &Row : metricRows())
    CHECK(metricsReference().find("`" + std::string(Row.Name) + "`") !=
          std::string::npos);
}
