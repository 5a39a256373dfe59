/// \file Compact memory of request ids.
#include "catalogue/request_window.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace acacianotch {

namespace {

constexpr std::size_t MaximumDigits = 18;

struct numbered_id {
  std::string_view Source;
  std::uint64_t Block = 0;
  std::uint64_t Bit = 0;
};

/// Numbers with leading zeros are not taken apart, since "a-1" and "a-01" are
/// different ids.
auto parse(std::string_view Id) -> std::optional<numbered_id> {
  const auto Dash = Id.rfind('-');
  if (Dash == std::string_view::npos || Dash == 0)
    return std::nullopt;
  const auto Digits = Id.substr(Dash + 1);
  if (Digits.empty() || Digits.size() > MaximumDigits ||
      (Digits.size() > 1 && Digits.front() == '0'))
    return std::nullopt;
  std::uint64_t Number = 0;
  const auto *End = Digits.data() + Digits.size();
  const auto Read = std::from_chars(Digits.data(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return numbered_id{Id.substr(0, Dash), Number / 64,
                     std::uint64_t{1} << (Number % 64)};
}

auto expireSource(id_source &Source, std::uint64_t BeforeMs) -> void {
  auto Place = Source.Blocks.begin();
  while (Place != Source.Blocks.end() && Place->second.LastMs < BeforeMs) {
    Source.Low = Place->first + 1;
    Place = Source.Blocks.erase(Place);
  }
}

} // namespace

auto request_window::look(std::string_view Id) const -> window_answer {
  const auto Number = parse(Id);
  if (!Number)
    return Texts.contains(Id) ? window_answer::repeated : window_answer::fresh;
  const auto Source = Sources.find(Number->Source);
  if (Source == Sources.end())
    return window_answer::fresh;
  if (Number->Block < Source->second.Low)
    return window_answer::too_old;
  const auto &Blocks = Source->second.Blocks;
  const auto Block = Blocks.find(Number->Block);
  const auto Seen =
      Block != Blocks.end() && (Block->second.Mask & Number->Bit) != 0;
  return Seen ? window_answer::repeated : window_answer::fresh;
}

auto request_window::insert(std::string_view Id, std::uint64_t NowMs) -> void {
  const auto Number = parse(Id);
  if (!Number) {
    Texts.emplace(Id, NowMs);
    return;
  }
  auto Source = Sources.find(Number->Source);
  if (Source == Sources.end())
    Source = Sources.emplace(Number->Source, id_source()).first;
  Source->second.LastMs = NowMs;
  auto &Block = Source->second.Blocks[Number->Block];
  Block.Mask |= Number->Bit;
  Block.LastMs = NowMs;
}

auto request_window::expire(std::uint64_t BeforeMs, std::uint64_t IdleMs)
    -> void {
  std::erase_if(Texts,
                [&](const auto &Item) { return Item.second < BeforeMs; });
  for (auto &[Name, Source] : Sources)
    expireSource(Source, BeforeMs);
  std::erase_if(Sources, [&](const auto &Item) {
    return Item.second.Blocks.empty() && Item.second.LastMs < IdleMs;
  });
}

} // namespace acacianotch
