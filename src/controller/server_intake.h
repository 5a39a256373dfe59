/// \file Which backend servers take new work, by what they state themselves.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acacianotch {

/// Whether a backend server takes new work of this process.
enum class intake_state : std::uint8_t {
  invalid,
  open,
  leaving,  ///< None until it is started again.
  paused,   ///< None until a time that it has stated.
  resuming, ///< Little, and more with each request that it accepts.
};

inline constexpr enum_table<intake_state, 4> IntakeStateNames{
    {{{intake_state::open, "open"},
      {intake_state::leaving, "leaving"},
      {intake_state::paused, "paused"},
      {intake_state::resuming, "resuming"}}}};

/// One run of a backend server from its start to its end.
struct server_instance {
  std::string Id;
  std::uint64_t StartedMs = 0; ///< See backend_record; 0 if unknown.
};

/// Keeps the statements of backend servers that they leave, or that they want
/// no new work for a time. Statements outlast the listing of a server, because
/// an incomplete list may miss it for a while. Answers the load on servers that
/// reject requests: work returns to them step by step after their pause.
class server_intake {
public:
  /// Records that a server leaves. \return whether that is new.
  auto recordLeaving(const server_instance &Server, time_point Now) -> bool;

  /// Records that a server wants no new work for \p Pause, to which \p Spread
  /// is added so that processes do not all come back at the same moment.
  auto recordRejection(const server_instance &Server, duration Pause,
                       duration Spread, time_point Now) -> void;

  /// Records that a request was sent to a server.
  auto recordSent(const server_instance &Server, time_point Now) -> void;

  /// Records that a server has accepted a request.
  auto recordAccepted(const server_instance &Server, time_point Now) -> void;

  /// Records that a server is listed. Another start under its id ends all that
  /// was known.
  auto recordListed(const server_instance &Server, time_point Now) -> void;

  [[nodiscard]] auto state(const server_instance &Server, time_point Now) const
      -> intake_state;

  /// \return whether a request may be sent to a server now.
  [[nodiscard]] auto admits(const server_instance &Server, time_point Now) const
      -> bool;

  /// \return the time until the end of a pause; nothing unless paused.
  [[nodiscard]] auto pauseLeft(const server_instance &Server,
                               time_point Now) const -> std::optional<duration>;

  /// \return the time since the statement that is in force, if there is one.
  [[nodiscard]] auto statementAge(const server_instance &Server,
                                  time_point Now) const
      -> std::optional<duration>;

  /// Drops what is known of servers that have not been listed for long.
  auto forgetUnlisted(time_point Now) -> void;

  /// \return the number of servers about which something is known.
  [[nodiscard]] auto size() const -> std::size_t { return Entries.size(); }

private:
  struct entry {
    std::uint64_t StartedMs = 0;
    bool Leaving = false;
    std::optional<time_point> PausedUntil; ///< Reset when fully open again.
    time_point StatedAt{};
    time_point ListedAt{};
    time_point SentAt{};        ///< Last request sent while resuming.
    std::uint32_t Tokens = 0;   ///< Requests that may be sent while resuming.
    std::uint32_t Accepted = 0; ///< Requests accepted since the pause.
  };

  [[nodiscard]] auto find(const server_instance &Server) const -> const entry *;
  [[nodiscard]] auto findMutable(const server_instance &Server) -> entry *;
  [[nodiscard]] auto obtain(const server_instance &Server, time_point Now)
      -> entry &;
  auto evictOldest() -> void;

  std::map<std::string, entry> Entries; ///< By id.
};

} // namespace acacianotch
