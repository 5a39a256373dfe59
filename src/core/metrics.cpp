/// \file Table of metric families, and their registry.
#include "core/metrics.h"

#include <prometheus/text_serializer.h>

#include <array>
#include <cassert>
#include <sstream>

namespace acacianotch {

namespace {

using kind = metric_kind;

constexpr std::array Rows{
    metric_row{metric::build_info, kind::gauge, "acacianotch_build_info",
               "version,role", "all", "1; the labels describe the process"},
    metric_row{metric::requests, kind::counter, "acacianotch_requests_total",
               "outcome,verdict", "entry, agent, gateway",
               "requests ended, by error code (ok if none) and verdict"},
    metric_row{metric::request_seconds, kind::histogram,
               "acacianotch_request_seconds", "class", "entry, gateway",
               "time from the request's arrival to the end of its response"},
    metric_row{metric::first_token_seconds, kind::histogram,
               "acacianotch_first_token_seconds", "class", "entry, agent",
               "time from the request's arrival to its first token"},
    metric_row{metric::in_flight, kind::gauge, "acacianotch_requests_in_flight",
               "", "entry, agent, gateway", "requests running"},
    metric_row{metric::queue_length, kind::gauge, "acacianotch_queue_length",
               "class", "entry, agent", "requests waiting"},
    metric_row{metric::slots, kind::gauge, "acacianotch_slots", "", "agent",
               "requests that may run on the backend server at once"},
    metric_row{metric::retries, kind::counter, "acacianotch_retries_total",
               "outcome", "entry, gateway",
               "attempts after a failed one, by its error"},
    metric_row{metric::hedges, kind::counter, "acacianotch_hedges_total",
               "result", "entry", "hedged attempts, won or lost"},
    metric_row{metric::ejected_backends, kind::gauge,
               "acacianotch_ejected_backends", "", "entry, gateway",
               "backend servers that get no requests because they are slow or "
               "fail"},
    metric_row{metric::backend_intake, kind::gauge,
               "acacianotch_backend_intake", "state", "gateway",
               "backend servers that take no or little new work by their own "
               "statement"},
    metric_row{metric::held_answer_bytes, kind::gauge,
               "acacianotch_held_answer_bytes", "", "gateway",
               "memory used for answers that are held back until they are "
               "complete"},
    metric_row{metric::unsettled_usage, kind::gauge,
               "acacianotch_unsettled_usage_records", "", "entry, agent",
               "usage records that control has not synced yet"},
    metric_row{metric::catalogue_revision, kind::gauge,
               "acacianotch_catalogue_revision", "", "all",
               "catalogue revision held"},
    metric_row{metric::confirmation_age_seconds, kind::gauge,
               "acacianotch_confirmation_age_seconds", "",
               "entry, agent, gateway",
               "time since control confirmed the catalogue"},
    metric_row{metric::epoch, kind::gauge, "acacianotch_epoch", "", "all",
               "highest fencing epoch seen"},
    metric_row{metric::commits, kind::counter, "acacianotch_commits_total",
               "command", "control", "commands applied, by name"},
    metric_row{metric::commit_seconds, kind::histogram,
               "acacianotch_commit_seconds", "", "control",
               "time from a command's arrival at the leader to its result"},
    metric_row{metric::leader, kind::gauge, "acacianotch_leader", "", "control",
               "1 while this replica is the leader and holds its lease"},
    metric_row{metric::voters, kind::gauge, "acacianotch_voters", "", "control",
               "voters of the control group, as this replica knows them"},
    metric_row{metric::membership_changes, kind::counter,
               "acacianotch_membership_changes_total", "action", "control",
               "membership changes that this replica proposed by itself"},
    metric_row{metric::nodes, kind::gauge, "acacianotch_nodes", "role",
               "control", "nodes subscribed to this replica"},
    metric_row{metric::evacuated_zones, kind::gauge,
               "acacianotch_evacuated_zones", "", "control, gateway",
               "availability zones whose backend servers get no new work"},
    metric_row{metric::cold_backends, kind::gauge, "acacianotch_cold_backends",
               "", "gateway",
               "backend servers that take few requests since their start"},
    metric_row{metric::cold_exclusions, kind::counter,
               "acacianotch_cold_exclusions_total", "", "gateway",
               "cold backend servers left out of a placement because this "
               "gateway's share was used"},
    metric_row{metric::startup_held, kind::gauge, "acacianotch_startup_held",
               "", "gateway",
               "requests that wait until the gateway can serve after its "
               "start"},
    metric_row{metric::startup_held_total, kind::counter,
               "acacianotch_startup_held_total", "", "gateway",
               "requests that waited until the gateway could serve"},
    metric_row{metric::startup_refused, kind::counter,
               "acacianotch_startup_refused_total", "", "gateway",
               "requests refused before the gateway could serve, at once or "
               "after they waited"},
    metric_row{metric::memory_used, kind::gauge,
               "acacianotch_memory_budget_used_bytes", "", "gateway",
               "memory used for requests, held answers and unread answers, of "
               "half of node.memory_mb"},
    metric_row{metric::dropped_connections, kind::counter,
               "acacianotch_dropped_connections_total", "port,reason", "all",
               "clients' connections that were refused or closed because "
               "memory or descriptors were used up"},
    metric_row{metric::subscription_ends, kind::counter,
               "acacianotch_subscription_ends_total", "reason", "gateway",
               "subscriptions to updates of control that ended, by the reason"},
};

static_assert(Rows.size() ==
              static_cast<std::size_t>(metric::subscription_ends));

/// Bounds in seconds. 0.62 s and 2 s are targets in docs/design.md.
const prometheus::Histogram::BucketBoundaries Bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.62,  1,      2,     5,    10,    30,   60,  300};

auto rowOf(metric Id) -> const metric_row & {
  assert(Id != metric::invalid);
  return Rows[static_cast<std::size_t>(Id) - 1];
}

/// \return the family of \p Id, which is created at its first use.
template <typename type>
auto family(prometheus::Registry &Registry, metric Id, metric_kind Kind,
            prometheus::detail::Builder<type> Builder)
    -> prometheus::Family<type> & {
  const auto &Row = rowOf(Id);
  assert(Row.Id == Id && Row.Kind == Kind);
  static_cast<void>(Kind);
  return Builder.Name(std::string(Row.Name))
      .Help(std::string(Row.Text))
      .Register(Registry);
}

} // namespace

auto metricRows() -> std::span<const metric_row> { return Rows; }

auto metricsReference() -> std::string {
  std::ostringstream Page;
  Page << "| metric | kind | labels | roles | meaning |\n"
       << "|---|---|---|---|---|\n";
  for (const auto &Row : Rows)
    Page << "| `" << Row.Name << "` | " << MetricKindNames.name(Row.Kind)
         << " | " << Row.Labels << " | " << Row.Roles << " | " << Row.Text
         << " |\n";
  return Page.str();
}

auto metrics_registry::counter(metric Id, const labels &Labels)
    -> prometheus::Counter & {
  return family(Registry, Id, kind::counter, prometheus::BuildCounter())
      .Add(Labels);
}

auto metrics_registry::gauge(metric Id, const labels &Labels)
    -> prometheus::Gauge & {
  return family(Registry, Id, kind::gauge, prometheus::BuildGauge())
      .Add(Labels);
}

auto metrics_registry::histogram(metric Id, const labels &Labels)
    -> prometheus::Histogram & {
  return family(Registry, Id, kind::histogram, prometheus::BuildHistogram())
      .Add(Labels, Bounds);
}

auto metrics_registry::text() const -> std::string {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace acacianotch
