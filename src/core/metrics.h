/// \file Metrics of the roles, in the Prometheus text format.
#pragma once

#include "core/enum_table.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace acacianotch {

/// Metric families. Names and meanings are in metricRows().
enum class metric : std::uint8_t {
  invalid,
  build_info,
  requests,
  request_seconds,
  first_token_seconds,
  in_flight,
  queue_length,
  slots,
  retries,
  hedges,
  ejected_backends,
  backend_intake,
  held_answer_bytes,
  unsettled_usage,
  catalogue_revision,
  confirmation_age_seconds,
  epoch,
  commits,
  commit_seconds,
  leader,
  voters,
  membership_changes,
  nodes,
  evacuated_zones,
  cold_backends,
  cold_exclusions,
  startup_held,
  startup_held_total,
  startup_refused,
  memory_used,
  dropped_connections,
  subscription_ends,
};

enum class metric_kind : std::uint8_t { invalid, counter, gauge, histogram };

/// Names of metric kinds in the reference.
inline constexpr enum_table<metric_kind, 3> MetricKindNames{{{
    {metric_kind::counter, "counter"},
    {metric_kind::gauge, "gauge"},
    {metric_kind::histogram, "histogram"},
}}};

/// One metric family.
struct metric_row {
  metric Id;
  metric_kind Kind;
  std::string_view Name;
  std::string_view Labels; ///< Names of its labels, separated by commas.
  std::string_view Roles;  ///< Roles that report it.
  std::string_view Text;   ///< One sentence for people.
};

/// \return all families, in the order of the reference page.
[[nodiscard]] auto metricRows() -> std::span<const metric_row>;

/// \return the reference of all metrics as Markdown.
[[nodiscard]] auto metricsReference() -> std::string;

/// The metrics of one process. References that it returns stay valid for its
/// lifetime; keep them, because a look-up hashes the labels.
///
/// Label values must come from the catalogue or from name tables, never from
/// callers, so that the number of series stays bounded.
class metrics_registry {
public:
  using labels = prometheus::Labels;

  /// \return the series of the family \p Id with the given labels. \p Id must
  /// be of the function's kind.
  [[nodiscard]] auto counter(metric Id, const labels &Labels = {})
      -> prometheus::Counter &;
  [[nodiscard]] auto gauge(metric Id, const labels &Labels = {})
      -> prometheus::Gauge &;
  [[nodiscard]] auto histogram(metric Id, const labels &Labels = {})
      -> prometheus::Histogram &;

  /// \return all series in the Prometheus text format.
  [[nodiscard]] auto text() const -> std::string;

private:
  prometheus::Registry Registry;
};

/// Content type of metrics_registry::text().
inline constexpr std::string_view MetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace acacianotch
