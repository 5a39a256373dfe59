/// \file What a gateway knows about prompts that crash backend servers.
#pragma once

#include "controller/crash_type.h"
#include "gateway/request_type.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acacianotch {

/// Collects evidence for the leader of control, which decides for all gateways,
/// and keeps its last verdicts.
class crash_watch {
public:
  /// Records that \p Server closed the connection before the answer to
  /// \p Prompt, or just after its head arrived if \p Begun.
  auto recordBroken(const std::string &Server,
                    const std::vector<prompt_part> &Prompt, bool Begun) -> void;

  /// Records that a server answers \p Prompt.
  auto recordAnswered(const std::vector<prompt_part> &Prompt) -> void;

  /// \return the part for which \p Prompt is rejected, if any. A request that
  /// tries a blocked part again passes once.
  [[nodiscard]] auto findBlocked(const std::vector<prompt_part> &Prompt)
      -> std::optional<part_id>;

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
};

} // namespace acacianotch
