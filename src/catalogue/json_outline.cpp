/// \file Division of a large JSON document into parts.
#include "catalogue/json_outline.h"

#include "catalogue/cbor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace acacianotch {

namespace {

/// Depth of the elements of a list that is a member of the outermost object.
constexpr unsigned ElementDepth = 2;

/// Copies the text and replaces the elements. Brackets are only counted; wrong
/// ones are copied into the skeleton or an element, whose parser finds them.
class outline_scan {
public:
  explicit outline_scan(std::string_view TheText) : Text(TheText) {}

  auto run() -> json_outline {
    for (At = 0; At < Text.size(); ++At)
      scan(Text[At]);
    closeElement();
    return {{}, std::move(Elements)};
  }

  [[nodiscard]] auto skeleton() const -> const std::string & {
    return Skeleton;
  }

private:
  auto scan(char Byte) -> void {
    switch (Byte) {
    case '"':
      return scanString();
    case '[':
      copy(Byte);
      if (++Depth == ElementDepth)
        openElement(At + 1);
      return;
    case '{':
      copy(Byte);
      ++Depth;
      return;
    case ']':
    case '}':
      if (Depth == ElementDepth)
        closeElement();
      if (Depth > 0)
        --Depth;
      return copy(Byte);
    case ',':
      if (Depth != ElementDepth || !InList)
        return copy(Byte);
      closeElement();
      copy(Byte);
      return openElement(At + 1);
    default:
      return copy(Byte);
    }
  }

  auto scanString() -> void {
    const auto Start = At;
    for (++At; At < Text.size() && Text[At] != '"'; ++At)
      if (Text[At] == '\\')
        ++At;
    if (!InList)
      Skeleton += Text.substr(Start, At - Start + 1);
  }

  auto copy(char Byte) -> void {
    if (!InList)
      Skeleton += Byte;
  }

  auto openElement(std::size_t Position) -> void {
    InList = true;
    ElementStart = Position;
  }

  // A missing element leaves no index, so that the skeleton is invalid.
  auto closeElement() -> void {
    if (!std::exchange(InList, false))
      return;
    const auto Element =
        Text.substr(ElementStart, std::min(At, Text.size()) - ElementStart);
    if (Element.find_first_not_of(" \t\r\n") == std::string_view::npos)
      return;
    Skeleton += std::to_string(Elements.size());
    Elements.push_back(Element);
  }

  std::string_view Text;
  std::size_t At = 0;
  unsigned Depth = 0;
  bool InList = false;
  std::size_t ElementStart = 0;
  std::string Skeleton;
  std::vector<std::string_view> Elements;
};

} // namespace

auto outlineJson(std::string_view Text) -> result<json_outline> {
  outline_scan Scan(Text);
  auto Outline = Scan.run();
  auto Skeleton = parseJson(Scan.skeleton());
  if (!Skeleton)
    return Skeleton.error();
  Outline.Skeleton = std::move(*Skeleton);
  return Outline;
}

} // namespace acacianotch
