/// \file Recording of ratings on a cascade's blackboard.
#include "controller/cascade_records.h"

#include "controller/rating_monitor.h"

#include <cassert>
#include <string>

namespace acacianotch {

namespace {

constexpr std::size_t MaxCells = 64;
constexpr std::size_t MaxCandidates = 16;
constexpr std::size_t CopyInterval = 300; // ratings
constexpr double EnoughRatings = 50;      // to replace the catalogue's estimate
auto freshRecords(const cascade_board &Board) -> std::vector<candidate_record> {
  const auto Count = Board.Candidates.size();
  std::vector<candidate_record> Records(Count);
  for (auto &Record : Records)
    Record.Rescue.resize(Count);
  return Records;
}

auto cellName(std::string_view Class, bool Long, bool Streaming)
    -> std::string {
  std::string Name(Class);
  Name += Long ? "/long" : "/short";
  Name += Streaming ? "/stream" : "/whole";
  return Name;
}

auto validShare(double Value) -> bool { return Value >= 0 && Value <= 1; }

auto validCost(double Value) -> bool { return Value >= 0 && Value < 1e12; }

auto badCascade(std::string Why) -> failure {
  return failure::of(errc::bad_settings, std::move(Why));
}

/// A change of difficulty moves all candidates of the cell, but only the one in
/// use shows it. What is known of the others counts little until they are
/// rated again.
auto forgetOthers(cascade_cell &Cell, std::size_t Changed) -> void {
  constexpr double Kept = 10; // ratings
  for (std::size_t Index = 0; Index < Cell.Records.size(); ++Index) {
    auto &Record = Cell.Records[Index];
    if (Index != Changed)
      Record.Pass.forget(Kept);
    for (auto &Rescue : Record.Rescue)
      Rescue.forget(Kept);
  }
}

/// After a change that shows only over all cells, each cell is learnt again.
auto forgetAll(cascade_board &Board) -> void {
  constexpr double Kept = 40; // ratings
  for (auto &Cell : Board.Cells)
    for (auto &Record : Cell.Records) {
      Record.Pass.forget(Kept);
      for (auto &Rescue : Record.Rescue)
        Rescue.forget(Kept);
    }
}

/// Adds a trusted rating to its record.
auto addVerdict(cascade_board &Board, const rating_order &Order, bool Passed)
    -> void {
  // Ratings until an estimate is good enough to reveal a change.
  constexpr double Settled = 300;
  auto &Rate = recordFor(Board, Order);
  const bool First = Order.Kind == rating_kind::first;
  const bool Drifted = First && Rate.weight() >= Settled &&
                       observeDrift(Board.Rating, Passed, Rate.mean());
  const bool Changed = Rate.add(Passed);
  if (Drifted)
    forgetAll(Board);
  else if (Changed && First)
    forgetOthers(Board.Cells[Order.Cell], Order.First);
}

} // namespace

auto checkCascade(const cascade_settings &Settings,
                  const std::vector<cascade_candidate> &Candidates)
    -> result<void> {
  if (Candidates.empty() || Candidates.size() > MaxCandidates)
    return badCascade("a route needs 1 to 16 candidates");
  if (!validShare(Settings.QualityTarget) ||
      !validShare(Settings.FallbackMargin))
    return badCascade("quality target and fallback margin must be in 0..1");
  if (!validCost(Settings.RatingCost) || !(Settings.SafetyDeviations >= 0))
    return badCascade("rating cost and safety deviations must not be negative");
  if (Settings.PlanInterval <= duration::zero())
    return badCascade("the plan interval must be positive");
  double LastCost = 0;
  for (const auto &Candidate : Candidates) {
    const auto Name = Candidate.Version.text();
    if (!validShare(Candidate.Quality))
      return badCascade("quality estimate of " + Name + " is not in 0..1");
    if (!validCost(Candidate.InputCost) || !validCost(Candidate.OutputCost))
      return badCascade("cost of " + Name + " is out of range");
    const double Cost = Candidate.InputCost + Candidate.OutputCost;
    if (Cost < LastCost)
      return badCascade(Name + " costs less than the candidate before it");
    LastCost = Cost;
  }
  return {};
}

auto cellFor(cascade_board &Board, const request_features &Features)
    -> std::size_t {
  auto Name = cellName(Features.Class, Features.Long, Features.Streaming);
  if (const auto Found = Board.CellByName.find(Name);
      Found != Board.CellByName.end())
    return Found->second;
  if (Board.Cells.size() >= MaxCells - 4) {
    // The last four cells, one per combination of the other features, serve
    // all further classes.
    Name = cellName({}, Features.Long, Features.Streaming);
    if (const auto Found = Board.CellByName.find(Name);
        Found != Board.CellByName.end())
      return Found->second;
  }
  cascade_cell Cell;
  Cell.Streaming = Features.Streaming;
  Cell.InputTokens = Features.InputTokens;
  Cell.OutputTokens = Features.OutputTokens;
  Cell.Records = freshRecords(Board);
  Board.Cells.push_back(std::move(Cell));
  Board.CellByName.emplace(std::move(Name), Board.Cells.size() - 1);
  return Board.Cells.size() - 1;
}

auto recordFor(cascade_board &Board, const rating_order &Order) -> pass_rate & {
  assert(Order.Cell < Board.Cells.size());
  auto &Records = Board.Cells[Order.Cell].Records;
  assert(Order.First < Records.size() && Order.Rated < Records.size());
  auto &Record = Records[Order.First];
  if (Order.Kind == rating_kind::confirm)
    return Record.Confirm;
  if (Order.Kind == rating_kind::rescue)
    return Record.Rescue[Order.Rated];
  return Record.Pass;
}

auto record_history::ratingAdded(const cascade_board &Board) -> void {
  if (++SinceCopy < CopyInterval)
    return;
  SinceCopy = 0;
  Older = std::move(Newer);
  Newer.clear();
  for (const auto &Cell : Board.Cells)
    Newer.push_back(Cell.Records);
}

auto record_history::restore(cascade_board &Board) -> void {
  SinceCopy = 0;
  Newer = Older;
  for (std::size_t Index = 0; Index < Board.Cells.size(); ++Index)
    Board.Cells[Index].Records =
        Index < Older.size() ? Older[Index] : freshRecords(Board);
}

auto record_history::expected(const cascade_board &Board,
                              const rating_order &Order) const -> double {
  const double Known = Board.Candidates[Order.First].Quality;
  if (Order.Cell >= Older.size())
    return Known;
  const auto &Pass = Older[Order.Cell][Order.First].Pass;
  return Pass.ratings() >= EnoughRatings ? Pass.mean() : Known;
}

auto recordRating(cascade_board &Board, record_history &History,
                  const rating_order &Order, rating_outcome Outcome) -> void {
  const bool Arrived = Outcome != rating_outcome::missing;
  const bool Passed = Outcome == rating_outcome::passed;
  const auto Before = Board.Rating.Health;
  ++(Arrived ? Board.Counters.Ratings : Board.Counters.Missing);
  observeArrival(Board.Rating, Arrived);
  if (Arrived && Order.Kind == rating_kind::first)
    observeVerdict(Board.Rating, Passed, History.expected(Board, Order));
  const auto After = Board.Rating.Health;
  if (After != Before)
    ++Board.Counters.HealthChanges;
  if (After == rating_health::wrong && Before != rating_health::wrong)
    History.restore(Board);
  if (!Arrived || After != rating_health::trusted)
    return;
  addVerdict(Board, Order, Passed);
  History.ratingAdded(Board);
}

} // namespace acacianotch
