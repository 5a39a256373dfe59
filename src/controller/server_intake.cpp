/// \file Which backend servers take new work, by what they state themselves.
#include "controller/server_intake.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Statements of a server that is not listed any more are kept this long: its
/// id may come back with the next complete list.
constexpr duration UnlistedMemory = std::chrono::minutes(2);
/// Servers with a statement; the one that was listed the longest ago makes room
/// for another.
constexpr std::size_t MaxEntries = 16'384;
/// Requests sent first after a pause.
constexpr std::uint32_t FirstTokens = 1;
/// Each accepted request allows this many more.
constexpr std::uint32_t TokensPerAccepted = 2;
/// A server that accepted this many requests after its pause is open again.
constexpr std::uint32_t AcceptedToOpen = 8;
/// Another request may be sent this long after the last one even if nothing
/// shows what became of that one.
constexpr duration TokenRefill = std::chrono::milliseconds(500);

// A list entry without a readable start is no evidence of a new instance.
auto sameInstance(std::uint64_t Known, std::uint64_t Other) -> bool {
  return Known == 0 || Other == 0 || Known == Other;
}

} // namespace

auto server_intake::find(const server_instance &Server) const -> const entry * {
  const auto Found = Entries.find(Server.Id);
  const auto Known = Found != Entries.end() &&
                     sameInstance(Found->second.StartedMs, Server.StartedMs);
  return Known ? &Found->second : nullptr;
}

auto server_intake::findMutable(const server_instance &Server) -> entry * {
  return const_cast<entry *>(find(Server));
}

auto server_intake::obtain(const server_instance &Server, time_point Now)
    -> entry & {
  if (auto *Known = findMutable(Server))
    return *Known;
  Entries.erase(Server.Id);
  if (Entries.size() >= MaxEntries)
    evictOldest();
  auto &Entry = Entries[Server.Id];
  Entry.StartedMs = Server.StartedMs;
  Entry.ListedAt = Now;
  return Entry;
}

auto server_intake::evictOldest() -> void {
  const auto Oldest = std::min_element(
      Entries.begin(), Entries.end(), [](const auto &Left, const auto &Right) {
        return Left.second.ListedAt < Right.second.ListedAt;
      });
  Entries.erase(Oldest);
}

auto server_intake::recordLeaving(const server_instance &Server, time_point Now)
    -> bool {
  auto &Entry = obtain(Server, Now);
  if (Entry.Leaving)
    return false;
  Entry.Leaving = true;
  Entry.StatedAt = Now;
  return true;
}

// A later statement never shortens a pause: answers may overtake each other.
auto server_intake::recordRejection(const server_instance &Server,
                                    duration Pause, duration Spread,
                                    time_point Now) -> void {
  auto &Entry = obtain(Server, Now);
  const auto Until = Now + Pause + Spread;
  Entry.PausedUntil = std::max(Entry.PausedUntil.value_or(Until), Until);
  Entry.Tokens = FirstTokens;
  Entry.Accepted = 0;
  if (!Entry.Leaving)
    Entry.StatedAt = Now;
}

auto server_intake::recordSent(const server_instance &Server, time_point Now)
    -> void {
  auto *Entry = findMutable(Server);
  if (Entry == nullptr || !Entry->PausedUntil)
    return;
  Entry->SentAt = Now;
  Entry->Tokens -= std::min<std::uint32_t>(Entry->Tokens, 1);
}

auto server_intake::recordAccepted(const server_instance &Server,
                                   time_point Now) -> void {
  auto *Entry = findMutable(Server);
  // What was sent before the pause says nothing about the time after it.
  if (Entry == nullptr || !Entry->PausedUntil || Now < *Entry->PausedUntil)
    return;
  Entry->Tokens += TokensPerAccepted;
  if (++Entry->Accepted < AcceptedToOpen)
    return;
  Entry->PausedUntil.reset();
  if (!Entry->Leaving)
    Entries.erase(Server.Id);
}

auto server_intake::recordListed(const server_instance &Server, time_point Now)
    -> void {
  if (auto *Known = findMutable(Server)) {
    Known->ListedAt = Now;
    return;
  }
  Entries.erase(Server.Id);
}

auto server_intake::state(const server_instance &Server, time_point Now) const
    -> intake_state {
  const auto *Entry = find(Server);
  if (Entry == nullptr)
    return intake_state::open;
  if (Entry->Leaving)
    return intake_state::leaving;
  if (!Entry->PausedUntil)
    return intake_state::open;
  return Now < *Entry->PausedUntil ? intake_state::paused
                                   : intake_state::resuming;
}

auto server_intake::admits(const server_instance &Server, time_point Now) const
    -> bool {
  switch (state(Server, Now)) {
  case intake_state::open:
    return true;
  case intake_state::resuming: {
    const auto *Entry = find(Server);
    return Entry->Tokens > 0 || Now - Entry->SentAt >= TokenRefill;
  }
  case intake_state::leaving:
  case intake_state::paused:
  case intake_state::invalid:
    break;
  }
  return false;
}

auto server_intake::pauseLeft(const server_instance &Server,
                              time_point Now) const -> std::optional<duration> {
  const auto *Entry = find(Server);
  if (Entry == nullptr || !Entry->PausedUntil || *Entry->PausedUntil <= Now)
    return std::nullopt;
  return *Entry->PausedUntil - Now;
}

auto server_intake::statementAge(const server_instance &Server,
                                 time_point Now) const
    -> std::optional<duration> {
  const auto *Entry = find(Server);
  if (Entry == nullptr)
    return std::nullopt;
  return Now - Entry->StatedAt;
}

auto server_intake::forgetUnlisted(time_point Now) -> void {
  std::erase_if(Entries, [&](const auto &Row) {
    return Now - Row.second.ListedAt > UnlistedMemory;
  });
}

} // namespace acacianotch
