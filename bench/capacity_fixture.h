/// \file A catalogue of a given size, and meters of processor time and memory.
#pragma once

#include "catalogue/catalogue_state.h"
#include "catalogue/catalogue_view.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <string>
#include <utility>

namespace acacianotch::bench {

/// 2026-06-15 00:00 UTC in milliseconds since 1970.
inline constexpr std::uint64_t StartMs = 1'781'481'600'000;
inline constexpr std::size_t Versions = 9;
inline constexpr std::size_t Zones = 32;

/// Prints \p Text and exits the program if \p Condition is false.
inline auto require(bool Condition, const std::string &Text) -> void {
  if (Condition)
    return;
  std::fprintf(stderr, "%s\n", Text.c_str());
  std::exit(EXIT_FAILURE);
}

/// Processor time of this process. Unlike wall time, it does not include other
/// work on the machine.
class processor_meter {
public:
  /// \return microseconds since construction.
  [[nodiscard]] auto micros() const -> double { return now() - Start; }

private:
  static auto now() -> double {
    timespec Time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
    return static_cast<double>(Time.tv_sec) * 1e6 +
           static_cast<double>(Time.tv_nsec) / 1e3;
  }
  double Start = now();
};

/// Bytes that this process has allocated on the heap.
class memory_meter {
public:
  [[nodiscard]] auto bytes() const -> double {
    return static_cast<double>(used()) - static_cast<double>(Start);
  }

private:
  static auto used() -> std::size_t {
    const auto Info = ::mallinfo2();
    return Info.uordblks + Info.hblkhd;
  }
  std::size_t Start = used();
};

inline auto versionName(std::size_t Index) -> std::string {
  return std::to_string(Index % Versions + 1);
}

inline auto versionEntry(std::size_t Index) -> model_entry {
  model_entry Entry;
  Entry.Name = "assistant@" + versionName(Index);
  Entry.Owner = "platform-team";
  Entry.Body = version_body{
      "assistant", versionName(Index), version_state::active, 50, 150, 0.8, 0};
  return Entry;
}

inline auto accountEntry(const std::string &Name) -> model_entry {
  model_entry Entry;
  Entry.Name = Name;
  Entry.Owner = "platform-team";
  auto Digest = std::string(64, '0');
  const auto Number = std::to_string(std::hash<std::string>{}(Name));
  Digest.replace(0, Number.size(), Number);
  Entry.Body = account_body{Digest, {{"assistant", ""}}, 1'000'000'000, 1, 64};
  return Entry;
}

/// \return the entry of one backend server with 32 slots.
inline auto backendEntry(std::size_t Index) -> model_entry {
  model_entry Entry;
  Entry.Name = "assistant-engine-" + std::to_string(Index);
  Entry.Owner = "platform-team";
  backend_body Body;
  Body.Address = "10.0." + std::to_string(Index / 250) + "." +
                 std::to_string(Index % 250) + ":9000";
  Body.Zone = "region-" + std::to_string(Index % 10) + "-zone-" +
              std::to_string(Index % Zones);
  Body.Versions = {{"assistant", versionName(Index)}};
  Body.Slots = 32;
  Entry.Body = Body;
  return Entry;
}

/// A state machine with counters for log indexes and change ids.
class sized_catalogue {
public:
  /// Adds the versions, one account and \p Backends backend servers.
  explicit sized_catalogue(std::size_t Backends) {
    for (std::size_t Index = 0; Index < Versions; ++Index)
      put(versionEntry(Index));
    put(accountEntry("account-1"));
    for (std::size_t Index = 0; Index < Backends; ++Index)
      put(backendEntry(Index));
  }

  /// Applies an operator change.
  auto change(command_body Body) -> void {
    const auto Number = std::to_string(++Changes);
    send({"change-00000000-0000-" + Number, "operator@platform", NowMs, NowMs,
          std::move(Body)});
  }

  /// Applies a command of the request path.
  auto request(command_body Body) -> void {
    send({"", "entry-17", NowMs, NowMs, std::move(Body)});
  }

  auto put(model_entry Entry) -> void {
    change(put_entry{std::move(Entry), revision::none, false});
  }

  /// Sets or clears the leaving flag, which changes one entry.
  auto drain(std::size_t Backend, bool Leaving) -> void {
    change(drain_backend{backendEntry(Backend).Name, Leaving});
  }

  auto send(const command &Command) -> void {
    const auto Result = State.apply(Command, ++Index);
    require(Result.ok(), "a command was rejected: " + Result.Detail);
  }

  /// Updates \p View to the current revision. \return the payload bytes.
  auto update(catalogue_view &View) -> std::size_t {
    std::size_t Bytes = 0;
    for (auto &Update : State.updatesSince(View.currentRevision())) {
      Update.Epoch = epoch{1};
      Update.Confirmed = Update.Chunk + 1 >= Update.Chunks;
      Bytes += Update.Payload.size();
      require(View.apply(Update, steady_clock::now()).ok(),
              "a view rejected an update");
    }
    return Bytes;
  }

  catalogue_state State;
  std::uint64_t NowMs = StartMs;

private:
  std::uint64_t Index = 0;
  std::uint64_t Changes = 0;
};

} // namespace acacianotch::bench
