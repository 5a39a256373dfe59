/// \file Evidence about a version and its predecessor, merged from all entries.
#include "board/evidence_board.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace acacianotch {

namespace {

constexpr std::size_t MaxSources = 4096;
constexpr std::size_t MaxClasses = 16;
// Class under which a recorder counts all classes beyond its limit.
constexpr std::string_view OtherClasses = "other";
constexpr double BucketGrowth = 1.25;

auto covers(const evidence_counters &Newer, const evidence_counters &Older)
    -> bool {
  return std::all_of(Older.begin(), Older.end(), [&](const auto &Item) {
    const auto Found = Newer.find(Item.first);
    return Found != Newer.end() &&
           Found->second.Predecessor.covers(Item.second.Predecessor) &&
           Found->second.Canary.covers(Item.second.Canary);
  });
}

auto protocolError(const evidence_report &Report, std::string_view Reason)
    -> failure {
  return failure::of(errc::protocol_error, "evidence of " + Report.Source.Text +
                                               ": " + std::string(Reason));
}

} // namespace

auto arm_counters::covers(const arm_counters &Other) const -> bool {
  const bool Scalars = Requests >= Other.Requests && Errors >= Other.Errors &&
                       Rated >= Other.Rated && Passed >= Other.Passed;
  return Scalars && std::equal(FirstToken.begin(), FirstToken.end(),
                               Other.FirstToken.begin(), std::greater_equal());
}

auto arm_counters::add(const arm_counters &Other) -> void {
  Requests += Other.Requests;
  Errors += Other.Errors;
  Rated += Other.Rated;
  Passed += Other.Passed;
  for (std::size_t Index = 0; Index < Buckets; ++Index)
    FirstToken[Index] += Other.FirstToken[Index];
}

auto arm_counters::subtract(const arm_counters &Other) -> void {
  assert(covers(Other));
  Requests -= Other.Requests;
  Errors -= Other.Errors;
  Rated -= Other.Rated;
  Passed -= Other.Passed;
  for (std::size_t Index = 0; Index < Buckets; ++Index)
    FirstToken[Index] -= Other.FirstToken[Index];
}

auto firstTokenBucket(duration Time) -> std::size_t {
  const double Milliseconds = static_cast<double>(Time.count()) / 1000;
  if (Milliseconds <= 1)
    return 0;
  const double Bucket = std::log(Milliseconds) / std::log(BucketGrowth);
  return std::min(static_cast<std::size_t>(Bucket), arm_counters::Buckets - 1);
}

evidence_recorder::evidence_recorder(node_id Source,
                                     std::uint64_t Incarnation) {
  Current.Source = std::move(Source);
  Current.Incarnation = Incarnation;
}

auto evidence_recorder::countersFor(std::string_view Class, test_arm Arm)
    -> arm_counters & {
  auto Found = Current.Counters.find(Class);
  if (Found == Current.Counters.end()) {
    const bool Full = Current.Counters.size() + 1 >= MaxClasses;
    const auto Name = Full ? OtherClasses : Class;
    Found = Current.Counters.try_emplace(std::string(Name)).first;
  }
  return Found->second.of(Arm);
}

auto evidence_recorder::recordRequest(std::string_view Class, test_arm Arm,
                                      bool Failed, duration FirstToken)
    -> void {
  auto &Counters = countersFor(Class, Arm);
  ++Counters.Requests;
  if (Failed)
    ++Counters.Errors;
  else
    ++Counters.FirstToken[firstTokenBucket(FirstToken)];
}

auto evidence_recorder::recordRating(std::string_view Class, test_arm Arm,
                                     bool Passed) -> void {
  auto &Counters = countersFor(Class, Arm);
  ++Counters.Rated;
  if (Passed)
    ++Counters.Passed;
}

auto evidence_recorder::report() -> evidence_report {
  ++Current.Sequence;
  return Current;
}

auto evidence_aggregator::merge(const evidence_report &Report) -> result<bool> {
  if (Report.Counters.size() > MaxClasses)
    return protocolError(Report, "too many classes");
  const auto KnownSource = Sources.find(Report.Source.Text);
  if (KnownSource == Sources.end() && Sources.size() >= MaxSources)
    return protocolError(Report, "too many sources");
  source_state State;
  if (KnownSource != Sources.end())
    State = KnownSource->second;
  if (Report.Incarnation < State.Incarnation)
    return false;
  const bool Restarted = Report.Incarnation > State.Incarnation;
  if (!Restarted && Report.Sequence <= State.Sequence)
    return false;
  // A restarted source counts from 0; its earlier counts remain in the totals.
  if (Restarted)
    State.Counters.clear();
  if (!covers(Report.Counters, State.Counters))
    return protocolError(Report, "a counter decreased");
  for (const auto &[Class, Counters] : Report.Counters) {
    auto &Total = Totals[Class];
    const auto &Before = State.Counters[Class];
    Total.Predecessor.add(Counters.Predecessor);
    Total.Predecessor.subtract(Before.Predecessor);
    Total.Canary.add(Counters.Canary);
    Total.Canary.subtract(Before.Canary);
  }
  Sources[Report.Source.Text] = {Report.Incarnation, Report.Sequence,
                                 Report.Counters};
  return true;
}

} // namespace acacianotch
