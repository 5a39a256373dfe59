/// \file What rejections as misdirected show about one backend server.
#include "controller/model_evidence.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// A model that is missing is tried again after this time, and then after twice
/// as long each: servers load models while they run.
constexpr duration FirstInterval = std::chrono::seconds(1);
constexpr duration MaxInterval = std::chrono::seconds(16);
/// Models kept of each kind. Callers choose the names, so that any number of
/// them may come.
constexpr std::size_t MaxModels = 32;

} // namespace

auto model_evidence::recordAccepted(const std::string &Model) -> void {
  if (std::exchange(SeemsReplaced, false) && RejectedModel != Model &&
      Refuted.size() < MaxModels)
    Refuted.insert(RejectedModel);
  Missing.erase(Model);
  Refuted.erase(Model);
  if (Accepted.size() < MaxModels)
    Accepted.insert(Model);
}

// A model that this server or another one of the service has run is no reason
// to reject a request. If the server still accepts others, the model was
// unloaded here, or never loaded.
auto model_evidence::recordMisdirected(const std::string &Model,
                                       bool MayLackModel, bool RunElsewhere,
                                       time_point Now) -> misdirection {
  const auto WasAccepted = Accepted.erase(Model) != 0;
  const auto KnownModel = WasAccepted || RunElsewhere || SeemsReplaced;
  if (!MayLackModel || (KnownModel && !Refuted.contains(Model))) {
    if (!std::exchange(SeemsReplaced, true))
      RejectedModel = Model;
    return misdirection::replaced;
  }
  recordMissing(Model, Now);
  return misdirection::model_missing;
}

auto model_evidence::recordMissing(const std::string &Model, time_point Now)
    -> void {
  if (!Missing.contains(Model) && Missing.size() >= MaxModels)
    Missing.erase(std::min_element(Missing.begin(), Missing.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.Until <
                                            Right.second.Until;
                                   }));
  auto &Row = Missing[Model];
  // Requests that were sent at the same time are one observation.
  if (Now < Row.Until)
    return;
  Row.Interval = Row.Interval == duration::zero()
                     ? FirstInterval
                     : std::min(2 * Row.Interval, MaxInterval);
  Row.Until = Now + Row.Interval;
}

auto model_evidence::missingUntil(const std::string &Model) const
    -> time_point {
  const auto Found = Missing.find(Model);
  return Found == Missing.end() ? time_point{} : Found->second.Until;
}

auto model_evidence::mayRun(const std::string &Model, time_point Now) const
    -> bool {
  return Now >= missingUntil(Model);
}

} // namespace acacianotch
