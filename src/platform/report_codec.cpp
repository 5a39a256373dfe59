/// \file Parser of model engines' reports of their own work.
#include "platform/report_codec.h"

#include "catalogue/cbor.h"

namespace acacianotch::platform {

namespace {

auto numberOf(const json &Value) -> std::optional<std::uint32_t> {
  if (!Value.is_number_unsigned())
    return std::nullopt;
  return Value.get<std::uint32_t>();
}

/// A running request is a list: id, tokens in the KV cache, events produced,
/// rank.
auto decodeRun(const json &Row) -> std::optional<running_request> {
  constexpr std::size_t EventsIndex = 2;
  if (!Row.is_array() || Row.size() <= EventsIndex || !Row[0].is_string())
    return std::nullopt;
  const auto Events = numberOf(Row[EventsIndex]);
  if (!Events)
    return std::nullopt;
  return running_request{Row[0].get<std::string>(), *Events};
}

} // namespace

auto decodeReport(std::string_view Text) -> result<backend_report> {
  const auto Document = parseJson(Text);
  if (!Document || !Document->is_object())
    return failure::of(errc::bad_request, "not a report");
  const auto Queued = numberOf(Document->value("queued", json()));
  const auto Active = numberOf(Document->value("active", json()));
  if (!Queued || !Active)
    return failure::of(errc::bad_request, "the report has no counts");
  backend_report Report;
  Report.Waiting = *Queued;
  Report.Running = *Active;
  const auto Runs = Document->find("runs");
  Report.ListsRuns = Runs != Document->end() && Runs->is_array();
  if (Report.ListsRuns)
    for (const auto &Row : *Runs)
      if (auto Run = decodeRun(Row))
        Report.Runs.push_back(std::move(*Run));
  return Report;
}

} // namespace acacianotch::platform
