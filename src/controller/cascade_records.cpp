/// \file Recording of ratings in the state of a cascade.
#include "controller/cascade_records.h"

#include "controller/rating_monitor.h"

#include <cassert>
#include <string>

namespace acacianotch {

namespace {

constexpr std::size_t MaxCells = 64;
constexpr std::size_t MaxCandidates = 16;
constexpr std::size_t SnapshotInterval = 300; // ratings
// Ratings required to replace the catalogue's estimate.
constexpr double MinRatingsForEstimate = 50;

auto emptyRecords(const cascade_board &Board) -> std::vector<candidate_record> {
  const auto Count = Board.Candidates.size();
  std::vector<candidate_record> Records(Count);
  for (auto &Record : Records)
    Record.Escalated.resize(Count);
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

auto settingsError(std::string Reason) -> failure {
  return failure::of(errc::bad_settings, std::move(Reason));
}

/// A change of difficulty affects all candidates of a cell, but is detected
/// only on the one in use. Reduces the weight of the other estimates, so that
/// new ratings soon replace them.
auto discountOthers(cascade_cell &Cell, std::size_t Changed) -> void {
  constexpr double KeptWeight = 10; // ratings
  for (std::size_t Index = 0; Index < Cell.Records.size(); ++Index) {
    auto &Record = Cell.Records[Index];
    if (Index != Changed)
      Record.Pass.limitWeight(KeptWeight);
    for (auto &Escalated : Record.Escalated)
      Escalated.limitWeight(KeptWeight);
  }
}

/// Reduces the weight of all estimates after a drift that is detected only over
/// all cells, so that new ratings soon replace them.
auto discountAll(cascade_board &Board) -> void {
  constexpr double KeptWeight = 40; // ratings
  for (auto &Cell : Board.Cells)
    for (auto &Record : Cell.Records) {
      Record.Pass.limitWeight(KeptWeight);
      for (auto &Escalated : Record.Escalated)
        Escalated.limitWeight(KeptWeight);
    }
}

/// Adds a trusted rating to its record and handles changes of the pass rate.
auto addRating(cascade_board &Board, const rating_request &Request, bool Passed)
    -> void {
  // Ratings until an estimate is precise enough for the detection of drift.
  constexpr double MinDriftWeight = 300;
  auto &Rate = recordFor(Board, Request);
  const bool First = Request.Kind == rating_kind::first;
  const bool Drifted = First && Rate.weight() >= MinDriftWeight &&
                       observeDrift(Board.Rating, Passed, Rate.mean());
  const bool Changed = Rate.add(Passed);
  if (Drifted)
    discountAll(Board);
  else if (Changed && First)
    discountOthers(Board.Cells[Request.Cell], Request.First);
}

} // namespace

auto checkCascade(const cascade_settings &Settings,
                  const std::vector<cascade_candidate> &Candidates)
    -> result<void> {
  if (Candidates.empty() || Candidates.size() > MaxCandidates)
    return settingsError("a route needs 1 to 16 candidates");
  if (!validShare(Settings.QualityTarget) ||
      !validShare(Settings.FallbackMargin))
    return settingsError("quality target and fallback margin must be in 0..1");
  if (!validCost(Settings.RatingCost) || !(Settings.SafetyDeviations >= 0))
    return settingsError(
        "rating cost and safety deviations must not be negative");
  if (Settings.PlanInterval <= duration::zero())
    return settingsError("the plan interval must be positive");
  double LastCost = 0;
  for (const auto &Candidate : Candidates) {
    const auto Name = Candidate.Version.text();
    if (!validShare(Candidate.Quality))
      return settingsError("quality estimate of " + Name + " is not in 0..1");
    if (!validCost(Candidate.InputCost) || !validCost(Candidate.OutputCost))
      return settingsError("cost of " + Name + " is out of range");
    const double Cost = Candidate.InputCost + Candidate.OutputCost;
    if (Cost < LastCost)
      return settingsError(Name + " costs less than the candidate before it");
    LastCost = Cost;
  }
  return {};
}

auto findOrCreateCell(cascade_board &Board, const request_features &Features)
    -> std::size_t {
  auto Name = cellName(Features.Class, Features.Long, Features.Streaming);
  if (const auto Found = Board.CellByName.find(Name);
      Found != Board.CellByName.end())
    return Found->second;
  if (Board.Cells.size() >= MaxCells - 4) {
    // The last four cells, one per combination of the other features, are
    // shared by all classes beyond the limit.
    Name = cellName({}, Features.Long, Features.Streaming);
    if (const auto Found = Board.CellByName.find(Name);
        Found != Board.CellByName.end())
      return Found->second;
  }
  cascade_cell Cell;
  Cell.Streaming = Features.Streaming;
  Cell.InputTokens = Features.InputTokens;
  Cell.OutputTokens = Features.OutputTokens;
  Cell.Records = emptyRecords(Board);
  Board.Cells.push_back(std::move(Cell));
  Board.CellByName.emplace(std::move(Name), Board.Cells.size() - 1);
  return Board.Cells.size() - 1;
}

auto recordFor(cascade_board &Board, const rating_request &Request)
    -> pass_rate & {
  assert(Request.Cell < Board.Cells.size());
  auto &Records = Board.Cells[Request.Cell].Records;
  assert(Request.First < Records.size() && Request.Rated < Records.size());
  auto &Record = Records[Request.First];
  if (Request.Kind == rating_kind::confirm)
    return Record.Confirm;
  if (Request.Kind == rating_kind::escalated)
    return Record.Escalated[Request.Rated];
  return Record.Pass;
}

auto record_history::countRating(const cascade_board &Board) -> void {
  if (++RatingsSinceSnapshot < SnapshotInterval)
    return;
  RatingsSinceSnapshot = 0;
  OlderSnapshot = std::move(NewerSnapshot);
  NewerSnapshot.clear();
  for (const auto &Cell : Board.Cells)
    NewerSnapshot.push_back(Cell.Records);
}

auto record_history::restore(cascade_board &Board) -> void {
  RatingsSinceSnapshot = 0;
  NewerSnapshot = OlderSnapshot;
  for (std::size_t Index = 0; Index < Board.Cells.size(); ++Index)
    Board.Cells[Index].Records = Index < OlderSnapshot.size()
                                     ? OlderSnapshot[Index]
                                     : emptyRecords(Board);
}

auto record_history::expectedPassRate(const cascade_board &Board,
                                      const rating_request &Request) const
    -> double {
  const double CatalogueQuality = Board.Candidates[Request.First].Quality;
  if (Request.Cell >= OlderSnapshot.size())
    return CatalogueQuality;
  const auto &Pass = OlderSnapshot[Request.Cell][Request.First].Pass;
  return Pass.ratings() >= MinRatingsForEstimate ? Pass.mean()
                                                 : CatalogueQuality;
}

auto recordRating(cascade_board &Board, record_history &History,
                  const rating_request &Request, rating_outcome Outcome)
    -> void {
  const bool Arrived = Outcome != rating_outcome::missing;
  const bool Passed = Outcome == rating_outcome::passed;
  const auto HealthBefore = Board.Rating.Health;
  ++(Arrived ? Board.Counters.Ratings : Board.Counters.Missing);
  observeArrival(Board.Rating, Arrived);
  if (Arrived && Request.Kind == rating_kind::first)
    observeVerdict(Board.Rating, Passed,
                   History.expectedPassRate(Board, Request));
  const auto HealthAfter = Board.Rating.Health;
  if (HealthAfter != HealthBefore)
    ++Board.Counters.HealthChanges;
  if (HealthAfter == rating_health::wrong &&
      HealthBefore != rating_health::wrong)
    History.restore(Board);
  if (!Arrived || HealthAfter != rating_health::trusted)
    return;
  addRating(Board, Request, Passed);
  History.countRating(Board);
}

} // namespace acacianotch
