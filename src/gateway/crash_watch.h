/// \file What a gateway knows about requests that crash backend servers.
#pragma once

#include "controller/crash_type.h"
#include "gateway/request_type.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace acacianotch {

/// Requests that were answered lately, by their fingerprints. Its size is
/// bounded: the older half is forgotten at a time.
class answered_requests {
public:
  auto insert(part_id Request, time_point Now) -> void;
  [[nodiscard]] auto contains(part_id Request, time_point Now) -> bool;

private:
  auto forgetOld(time_point Now) -> void;

  std::unordered_set<part_id> Newer;
  std::unordered_set<part_id> Older;
  time_point NewerSince{};
};

/// Collects evidence for the leader of control, which decides for all gateways,
/// and keeps its last verdicts.
class crash_watch {
public:
  /// Records that \p Server closed the connection before the answer to a
  /// request, or just after its head arrived if \p Begun.
  auto recordBroken(const std::string &Server,
                    const std::vector<prompt_part> &Prompt, part_id Request,
                    bool Begun) -> void;

  /// Records that a server answers a request.
  auto recordAnswered(const std::vector<prompt_part> &Prompt, part_id Request)
      -> void;

  /// \return the blocked part of a request, or its fingerprint, for which it
  /// is rejected, if any. A request that tries a blocked part again passes
  /// once.
  [[nodiscard]] auto findBlocked(const std::vector<prompt_part> &Prompt,
                                 part_id Request) -> std::optional<part_id>;

  /// \return whether answers to requests with a prompt are of interest.
  [[nodiscard]] auto watchesAny() const -> bool {
    return !Watched.empty() || !Blocked.empty();
  }

  /// \return whether findBlocked() can find anything.
  [[nodiscard]] auto blocksAny() const -> bool { return !Blocked.empty(); }

  /// \return what the leader does not know yet; the same until accept().
  [[nodiscard]] auto report() -> const crash_report &;

  /// Applies the answer to the last report.
  auto accept(const crash_verdicts &Verdicts) -> void;

private:
  crash_report Pending; ///< Collected since the last report().
  crash_report Sent;    ///< Not accepted yet.
  bool AwaitsAnswer = false;
  std::set<part_id> Watched;
  std::set<part_id> Blocked;
  std::set<part_id> Probes;
  std::uint64_t Epoch = 0; ///< Of the leader that the verdicts are from.
  answered_requests PlainAnswered;
};

} // namespace acacianotch
