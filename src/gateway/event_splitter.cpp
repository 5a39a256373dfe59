/// \file Whole events of an event stream.
#include "gateway/event_splitter.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// \return the length of the whole events at the start of \p Text.
auto wholeEvents(std::string_view Text) -> std::size_t {
  const auto Plain = Text.rfind("\n\n");
  const auto Windows = Text.rfind("\r\n\r\n");
  std::size_t End = 0;
  if (Plain != std::string_view::npos)
    End = Plain + 2;
  if (Windows != std::string_view::npos)
    End = std::max(End, Windows + 4);
  return End;
}

} // namespace

auto event_splitter::takeEvents() -> std::string {
  const auto Size = wholeEvents(Pending);
  if (Size == 0)
    return {};
  auto Events = Pending.substr(0, Size);
  Pending.erase(0, Size);
  noteIds(Events);
  return Events;
}

auto event_splitter::takeRest() -> std::string {
  return std::exchange(Pending, {});
}

auto event_splitter::noteIds(std::string_view Events) -> void {
  constexpr std::string_view Field = "id:";
  for (auto At = Events.find("\n\n"); At != std::string_view::npos;
       At = Events.find("\n\n", At + 2))
    ++Count;
  const auto Later = Events.rfind("\nid:");
  if (Later == std::string_view::npos && !Events.starts_with(Field))
    return;
  const auto At = Later == std::string_view::npos ? 0 : Later + 1;
  auto Value = Events.substr(At + Field.size());
  Value = Value.substr(0, Value.find_first_of("\r\n"));
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  LastId = Value;
}

} // namespace acacianotch
