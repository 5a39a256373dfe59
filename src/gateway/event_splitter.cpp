/// \file Splits an event stream into events.
#include "gateway/event_splitter.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// \return the size of the complete events at the start of \p Text. An event
/// ends with an empty line, with LF or CRLF line ends.
auto completeSize(std::string_view Text) -> std::size_t {
  const auto LfEnd = Text.rfind("\n\n");
  const auto CrLfEnd = Text.rfind("\r\n\r\n");
  std::size_t End = 0;
  if (LfEnd != std::string_view::npos)
    End = LfEnd + 2;
  if (CrLfEnd != std::string_view::npos)
    End = std::max(End, CrLfEnd + 4);
  return End;
}

} // namespace

auto event_splitter::takeEvents() -> std::string {
  const auto Size = completeSize(Pending);
  if (Size == 0)
    return {};
  auto Events = Pending.substr(0, Size);
  Pending.erase(0, Size);
  recordEvents(Events);
  return Events;
}

auto event_splitter::takeRest() -> std::string {
  return std::exchange(Pending, {});
}

auto event_splitter::insideEvent() const -> bool {
  return Pending.find_first_not_of("\r\n") != std::string::npos;
}

auto event_splitter::recordEvents(std::string_view Events) -> void {
  constexpr std::string_view Field = "id:";
  for (auto Position = Events.find("\n\n"); Position != std::string_view::npos;
       Position = Events.find("\n\n", Position + 2))
    ++Count;
  const auto LastField = Events.rfind("\nid:");
  if (LastField == std::string_view::npos && !Events.starts_with(Field))
    return;
  const auto Position = LastField == std::string_view::npos ? 0 : LastField + 1;
  auto Value = Events.substr(Position + Field.size());
  Value = Value.substr(0, Value.find_first_of("\r\n"));
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  LastId = Value;
}

} // namespace acacianotch
