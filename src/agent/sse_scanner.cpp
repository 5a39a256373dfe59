/// \file Scanner of the server-sent events in a streamed answer of an engine.
#include "agent/sse_scanner.h"

#include "catalogue/cbor.h"

namespace acacianotch {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view EndMarker = "[DONE]";

auto trim(std::string_view Text) -> std::string_view {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.remove_suffix(1);
  return Text;
}

} // namespace

auto sse_scanner::feed(std::string_view Data) -> std::string {
  Unscanned += Data;
  std::string Forward;
  std::size_t Begin = 0;
  while (true) {
    const auto End = Unscanned.find(EventEnd, Begin);
    if (End == std::string::npos)
      break;
    const auto Next = End + EventEnd.size();
    const auto Event = std::string_view(Unscanned).substr(Begin, Next - Begin);
    if (scanEvent(Event))
      Forward += Event;
    Begin = Next;
  }
  Unscanned.erase(0, Begin);
  return Forward;
}

/// \return whether the event is forwarded.
auto sse_scanner::scanEvent(std::string_view Event) -> bool {
  if (Event.substr(0, DataPrefix.size()) != DataPrefix)
    return true;
  const auto Content = trim(Event.substr(DataPrefix.size()));
  EndsWithMarker = Content == EndMarker;
  if (EndsWithMarker)
    return true;
  ++ContentEvents;
  // Only the last events have token counts. Parsing every event as JSON would
  // take more CPU time than all other processing of the stream.
  if (Content.find("\"usage\"") == std::string_view::npos)
    return true;
  return readUsage(Content);
}

auto sse_scanner::readUsage(std::string_view Json) -> bool {
  const auto Event = json::parse(Json, nullptr, false);
  if (!Event.is_object() || !Event.contains("usage") ||
      !Event["usage"].is_object())
    return true;
  const auto &Usage = Event["usage"];
  UsageSeen = true;
  PromptTokens = countAt(Usage, "prompt_tokens");
  CompletionTokens = countAt(Usage, "completion_tokens");
  const auto OnlyUsage = Event.contains("choices") && Event["choices"].empty();
  return !(HidesUsage && OnlyUsage);
}

} // namespace acacianotch
