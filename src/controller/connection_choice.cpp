/// \file Which connection is dropped when memory or descriptors are used up.
#include "controller/connection_choice.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Requests of ordinary callers are smaller than this.
constexpr std::size_t MaxKeptBytes = 64ULL * 1024;

/// \return the index of the largest value; values of zero do not count.
template <typename value_of>
auto largest(std::span<const connection_use> Connections,
             const value_of &ValueOf) -> std::optional<std::size_t> {
  std::optional<std::size_t> Chosen;
  decltype(ValueOf(Connections.front())) Largest{};
  for (std::size_t Index = 0; Index < Connections.size(); ++Index) {
    const auto Value = ValueOf(Connections[Index]);
    if (Value <= Largest)
      continue;
    Largest = Value;
    Chosen = Index;
  }
  return Chosen;
}

auto notRead(const connection_use &Use) -> bool {
  return Use.UnreadBytes > 0 && Use.Unread >= MaxUnreadTime;
}

} // namespace

auto keptBodyBytes(std::size_t Limit, std::size_t Connections) -> std::size_t {
  return std::min(MaxKeptBytes, Limit / std::max<std::size_t>(1, Connections));
}

auto chooseBody(std::span<const connection_use> Connections, std::size_t Kept)
    -> std::optional<std::size_t> {
  return largest(Connections, [Kept](const connection_use &Use) {
    return Use.BodyBytes > Kept ? Use.BodyBytes : 0;
  });
}

auto chooseUnread(std::span<const connection_use> Connections)
    -> std::optional<std::size_t> {
  return largest(Connections, [](const connection_use &Use) {
    return notRead(Use) ? Use.UnreadBytes : 0;
  });
}

auto chooseReplaced(std::span<const connection_use> Connections)
    -> std::optional<std::size_t> {
  const auto Idle = largest(Connections, [](const connection_use &Use) {
    return Use.Idle.value_or(duration::zero());
  });
  if (Idle)
    return Idle;
  return largest(Connections, [](const connection_use &Use) {
    return notRead(Use) ? Use.Unread : duration::zero();
  });
}

} // namespace acacianotch
