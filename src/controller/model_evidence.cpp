/// \file What rejections as misdirected show about one backend server.
#include "controller/model_evidence.h"

#include <algorithm>

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
  Missing.erase(Model);
  if (Accepted.size() < MaxModels)
    Accepted.insert(Model);
}

// A model that the server has run is no reason to reject a request, unless it
// was unloaded; the next rejection then shows that.
auto model_evidence::recordMisdirected(const std::string &Model,
                                       bool MayLackModel, time_point Now)
    -> misdirection {
  if (Accepted.erase(Model) != 0 || !MayLackModel)
    return misdirection::replaced;
  if (!Missing.contains(Model) && Missing.size() >= MaxModels)
    Missing.erase(std::min_element(Missing.begin(), Missing.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.Until <
                                            Right.second.Until;
                                   }));
  auto &Row = Missing[Model];
  // Requests that were sent at the same time are one observation.
  if (Now < Row.Until)
    return misdirection::model_missing;
  Row.Interval = Row.Interval == duration::zero()
                     ? FirstInterval
                     : std::min(2 * Row.Interval, MaxInterval);
  Row.Until = Now + Row.Interval;
  return misdirection::model_missing;
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
