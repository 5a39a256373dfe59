/// \file Typed access to the members of a JSON object.
#pragma once

#include "catalogue/value_codec.h"
#include "core/clock_type.h"

#include <cmath>
#include <optional>
#include <string>
#include <utility>

namespace acacianotch::platform {

/// Longest time accepted in a configuration, milliseconds: one day.
inline constexpr double MaxMilliseconds = 86'400'000;
/// Largest count, size or weight accepted in a configuration.
inline constexpr double MaxNumber = 1e12;

/// Reads members of one JSON object and keeps the first error.
class object_reader {
public:
  object_reader(const json &TheValue, std::string TheContext)
      : Value(TheValue), Context(std::move(TheContext)) {
    if (!Value.is_object())
      fail("an object is expected");
  }

  [[nodiscard]] auto firstError() const -> const std::optional<std::string> & {
    return FirstError;
  }

  auto fail(const std::string &Detail) -> void {
    if (!FirstError)
      FirstError = Context + ": " + Detail;
  }

  auto member(const char *Key) -> const json * {
    if (!Value.is_object())
      return nullptr;
    const auto Found = Value.find(Key);
    return Found == Value.end() || Found->is_null() ? nullptr : &*Found;
  }

  auto text(const char *Key, bool Required = true) -> std::string {
    const auto *Found = member(Key);
    if (Found != nullptr && Found->is_string())
      return Found->get<std::string>();
    if (Required || Found != nullptr)
      fail(std::string(Key) + ": a text is expected");
    return {};
  }

  auto number(const char *Key, double Default, double Max = MaxNumber)
      -> double {
    const auto *Found = member(Key);
    if (Found == nullptr)
      return Default;
    const auto Number = Found->is_number() ? Found->get<double>() : -1;
    if (Number >= 0 && Number <= Max)
      return Number;
    fail(std::string(Key) + ": a number in range is expected");
    return Default;
  }

  auto time(const char *Key, duration Default) -> duration {
    constexpr double MicrosecondsPerMillisecond = 1000;
    const auto Count = number(
        Key, static_cast<double>(Default.count()) / MicrosecondsPerMillisecond,
        MaxMilliseconds);
    return duration(std::llround(Count * MicrosecondsPerMillisecond));
  }

  auto flag(const char *Key) -> bool {
    const auto *Found = member(Key);
    if (Found != nullptr && !Found->is_boolean())
      fail(std::string(Key) + ": true or false is expected");
    return Found != nullptr && Found->is_boolean() && Found->get<bool>();
  }

  /// Calls \p Visit with each element of an optional list.
  template <typename visitor>
  auto forEach(const char *Key, const visitor &Visit) -> void {
    const auto *Found = member(Key);
    if (Found == nullptr)
      return;
    if (!Found->is_array())
      return fail(std::string(Key) + ": a list is expected");
    for (const auto &Element : *Found)
      Visit(Element);
  }

private:
  const json &Value;
  std::string Context;
  std::optional<std::string> FirstError;
};

} // namespace acacianotch::platform
