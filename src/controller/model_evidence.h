/// \file What rejections as misdirected show about one backend server.
#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace acacianotch {

/// Why a backend server rejects a request as misdirected.
enum class misdirection : std::uint8_t {
  invalid,
  replaced,     ///< Another backend server has its address.
  model_missing ///< It does not run the model that the request names.
};

/// Tells the two reasons apart for one run of a backend server. No conclusion
/// is final: each ends after a time or with the next accepted request.
class model_evidence {
public:
  /// Records that the server runs a request for \p Model.
  auto recordAccepted(const std::string &Model) -> void;

  /// Records a rejection as misdirected. \p MayLackModel: the request names a
  /// model, or the service runs models. \p RunElsewhere: other servers of the
  /// service have run it. \return what it shows.
  [[nodiscard]] auto recordMisdirected(const std::string &Model,
                                       bool MayLackModel, bool RunElsewhere,
                                       time_point Now) -> misdirection;

  /// \return whether the server has accepted a request for \p Model and has not
  /// rejected one since.
  [[nodiscard]] auto accepted(const std::string &Model) const -> bool {
    return Accepted.contains(Model);
  }

  /// \return whether a request for \p Model may be sent now.
  [[nodiscard]] auto mayRun(const std::string &Model, time_point Now) const
      -> bool;

  /// \return when requests for \p Model may be sent again; the past if now.
  [[nodiscard]] auto missingUntil(const std::string &Model) const -> time_point;

  /// \return the number of models about which something is known.
  [[nodiscard]] auto size() const -> std::size_t {
    return Accepted.size() + Missing.size() + Refuted.size();
  }

private:
  struct missing_model {
    time_point Until{};
    duration Interval{};
  };

  auto recordMissing(const std::string &Model, time_point Now) -> void;

  std::set<std::string> Accepted;
  /// Models for which a rejection was wrongly taken for that of a replaced
  /// server.
  std::set<std::string> Refuted;
  bool SeemsReplaced = false; ///< No request was accepted since.
  std::string RejectedModel;  ///< Why it seems to be replaced.
  std::map<std::string, missing_model> Missing;
};

} // namespace acacianotch
