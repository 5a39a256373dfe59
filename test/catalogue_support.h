/// \file Builders for tests of the catalogue.
#pragma once

#include "catalogue/catalogue_state.h"

#include <string>
#include <utility>

namespace acacianotch::catalogue_test {

/// A wall clock in the middle of a month, 2026-06-15 00:00 UTC.
inline constexpr std::uint64_t StartMs = 1'781'481'600'000;

inline auto versionEntry(const std::string &Model, const std::string &Version)
    -> model_entry {
  model_entry Entry;
  Entry.Name = Model + "@" + Version;
  Entry.Owner = "ops";
  Entry.Body =
      version_body{Model, Version, version_state::active, 3, 9, 0.5, 0};
  return Entry;
}

inline auto accountEntry(const std::string &Name, std::uint64_t SpendLimit)
    -> model_entry {
  model_entry Entry;
  Entry.Name = Name;
  auto Digest = std::string(64, '0');
  const auto Number = std::to_string(std::hash<std::string>{}(Name));
  Digest.replace(0, Number.size(), Number);
  Entry.Body = account_body{Digest, {{"m", ""}}, SpendLimit, 1, 8};
  return Entry;
}

inline auto backendEntry(const std::string &Name, const std::string &Version)
    -> model_entry {
  model_entry Entry;
  Entry.Name = Name;
  backend_body Body;
  Body.Address = "127.0.0.1:9000";
  Body.Zone = "a";
  Body.Versions = {{"m", Version}};
  Body.Slots = 4;
  Entry.Body = Body;
  return Entry;
}

/// A state with a clock and a counter of log indexes and change ids.
struct cluster {
  catalogue_state State;
  std::uint64_t NowMs = StartMs;
  std::uint64_t Index = 0;
  std::uint64_t Changes = 0;

  /// \return a command as a new change.
  auto make(command_body Body) -> command {
    return {"change-" + std::to_string(++Changes), "operator", NowMs, NowMs,
            std::move(Body)};
  }

  /// Applies \p Command at the current time.
  auto send(command Command) -> command_result {
    Command.TimeMs = NowMs;
    return State.apply(Command, ++Index);
  }

  /// Applies \p Body as a new change.
  auto run(command_body Body) -> command_result {
    return send(make(std::move(Body)));
  }

  /// Applies \p Body without a change id, as on the request path.
  auto runPlain(command_body Body) -> command_result {
    return send({"", "entry-1", NowMs, NowMs, std::move(Body)});
  }

  auto put(model_entry Entry, revision Expected = revision::none,
           bool Reinstate = false) -> command_result {
    return run(put_entry{std::move(Entry), Expected, Reinstate});
  }

  /// Replaces the state by its decoded snapshot.
  auto restart() -> bool {
    auto Decoded = catalogue_state::decodeSnapshot(State.encodeSnapshot());
    if (!Decoded)
      return false;
    State = std::move(Decoded.value());
    return true;
  }

  [[nodiscard]] auto find(entry_kind Kind, const std::string &Name) const
      -> const model_entry * {
    const auto Place = State.data().Entries.find({Kind, Name});
    return Place == State.data().Entries.end() ? nullptr : &Place->second;
  }
};

} // namespace acacianotch::catalogue_test
