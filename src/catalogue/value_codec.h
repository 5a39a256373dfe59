/// \file Reading and writing of single values as JSON, with range checks.
#pragma once

#include "core/enum_table.h"
#include "core/id_type.h"
#include "core/result.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace acacianotch {

using json = nlohmann::json;

/// Inclusive range of a number, or of the length of a text or list.
struct limits {
  double Low = 0;
  double High = std::numeric_limits<double>::infinity();
};

/// Bytes that need not be text; a byte string in CBOR.
struct blob {
  std::string Bytes;
  auto operator==(const blob &) const -> bool = default;
};

/// \return \p Text with everything but printable ASCII replaced, shortened to
/// 64 characters, for error details.
[[nodiscard]] auto printable(std::string_view Text) -> std::string;

/// \return whether \p Text is valid UTF-8. Other text must not enter the
/// replicated state because it cannot be printed as JSON.
[[nodiscard]] auto validUtf8(std::string_view Text) -> bool;

/// \return `model` or `model@version` as a reference.
[[nodiscard]] auto parseVersionRef(std::string_view Text)
    -> result<version_ref>;

namespace detail {

[[nodiscard]] auto expected(std::string_view What) -> failure;
[[nodiscard]] auto outOfRange(const limits &Limits) -> failure;
[[nodiscard]] auto readUnsigned(const json &Value, const limits &Limits,
                                std::uint64_t Most) -> result<std::uint64_t>;
[[nodiscard]] auto readText(const json &Value, const limits &Limits)
    -> result<std::string>;
[[nodiscard]] auto readBlob(const json &Value, const limits &Limits)
    -> result<std::string>;

/// \return whether \p Size lies within \p Limits.
[[nodiscard]] inline auto within(double Size, const limits &Limits) -> bool {
  return Size >= Limits.Low && Size <= Limits.High;
}

} // namespace detail

/// Common part of the codecs.
template <typename type> struct codec_base {
  /// \return whether the key is left out when writing.
  static auto absent(const type &) -> bool { return false; }
};

/// Specialised per type: Name, read, write, absent.
template <typename type> struct value_codec;

/// Any value, for parts that are typed by another key.
template <> struct value_codec<json> : codec_base<json> {
  static constexpr std::string_view Name = "any";
  static auto write(const json &Value) -> json { return Value; }
  static auto read(const json &Value, json &Out, const limits &)
      -> result<void> {
    Out = Value;
    return {};
  }
};

template <> struct value_codec<bool> : codec_base<bool> {
  static constexpr std::string_view Name = "boolean";
  static auto write(bool Value) -> json { return Value; }
  static auto read(const json &Value, bool &Out, const limits &)
      -> result<void> {
    if (!Value.is_boolean())
      return detail::expected("a boolean");
    Out = Value.get<bool>();
    return {};
  }
};

template <std::unsigned_integral type>
struct value_codec<type> : codec_base<type> {
  static constexpr std::string_view Name = "integer";
  static auto write(type Value) -> json { return Value; }
  static auto read(const json &Value, type &Out, const limits &Limits)
      -> result<void> {
    auto Number =
        detail::readUnsigned(Value, Limits, std::numeric_limits<type>::max());
    if (!Number)
      return Number.error();
    Out = static_cast<type>(*Number);
    return {};
  }
};

template <> struct value_codec<double> : codec_base<double> {
  static constexpr std::string_view Name = "number";
  static auto write(double Value) -> json { return Value; }
  static auto read(const json &Value, double &Out, const limits &Limits)
      -> result<void> {
    if (!Value.is_number())
      return detail::expected("a number");
    Out = Value.get<double>();
    if (!std::isfinite(Out) || !detail::within(Out, Limits))
      return detail::outOfRange(Limits);
    return {};
  }
};

template <> struct value_codec<std::string> : codec_base<std::string> {
  static constexpr std::string_view Name = "text";
  static auto write(const std::string &Value) -> json { return Value; }
  static auto read(const json &Value, std::string &Out, const limits &Limits)
      -> result<void> {
    auto Text = detail::readText(Value, Limits);
    if (!Text)
      return Text.error();
    Out = std::move(*Text);
    return {};
  }
};

template <typename tag>
struct value_codec<text_id<tag>> : codec_base<text_id<tag>> {
  static constexpr std::string_view Name = "text";
  static auto write(const text_id<tag> &Value) -> json { return Value.Text; }
  static auto read(const json &Value, text_id<tag> &Out, const limits &Limits)
      -> result<void> {
    return value_codec<std::string>::read(Value, Out.Text, Limits);
  }
};

template <> struct value_codec<blob> : codec_base<blob> {
  static constexpr std::string_view Name = "bytes";
  static auto write(const blob &Value) -> json {
    return json::binary({Value.Bytes.begin(), Value.Bytes.end()});
  }
  static auto read(const json &Value, blob &Out, const limits &Limits)
      -> result<void> {
    auto Bytes = detail::readBlob(Value, Limits);
    if (!Bytes)
      return Bytes.error();
    Out.Bytes = std::move(*Bytes);
    return {};
  }
};

template <> struct value_codec<version_ref> : codec_base<version_ref> {
  static constexpr std::string_view Name = "version reference";
  static auto write(const version_ref &Value) -> json {
    return Value.Version.empty() ? Value.Model : Value.text();
  }
  static auto read(const json &Value, version_ref &Out, const limits &)
      -> result<void> {
    if (!Value.is_string())
      return detail::expected("a text");
    auto Ref = parseVersionRef(Value.get_ref<const std::string &>());
    if (!Ref)
      return Ref.error();
    Out = std::move(*Ref);
    return {};
  }
};

template <typename type>
concept named_enum = std::is_enum_v<type> && requires(type Value) {
  namesOf(Value);
};

template <named_enum type> struct value_codec<type> : codec_base<type> {
  static constexpr std::string_view Name = "name";
  static auto write(type Value) -> json {
    return std::string(namesOf(Value).name(Value));
  }
  static auto read(const json &Value, type &Out, const limits &)
      -> result<void> {
    if (!Value.is_string())
      return detail::expected("a name");
    const auto &Text = Value.get_ref<const std::string &>();
    const auto Found = namesOf(type{}).find(Text);
    if (!Found)
      return failure::of(errc::bad_request,
                         "unknown name '" + printable(Text) + "'");
    Out = *Found;
    return {};
  }
};

/// Enumerations without names are numbers: revision and epoch.
template <typename type>
requires(std::is_enum_v<type> && !named_enum<type>) struct value_codec<type>
    : codec_base<type> {
  using number = std::underlying_type_t<type>;
  static constexpr std::string_view Name = "integer";
  static auto write(type Value) -> json { return static_cast<number>(Value); }
  static auto read(const json &Value, type &Out, const limits &Limits)
      -> result<void> {
    number Number = 0;
    auto Done = value_codec<number>::read(Value, Number, Limits);
    Out = static_cast<type>(Number);
    return Done;
  }
};

template <typename type>
struct value_codec<std::optional<type>> : codec_base<std::optional<type>> {
  static constexpr std::string_view Name = value_codec<type>::Name;
  static auto absent(const std::optional<type> &Value) -> bool {
    return !Value.has_value();
  }
  static auto write(const std::optional<type> &Value) -> json {
    return Value ? value_codec<type>::write(*Value) : json();
  }
  static auto read(const json &Value, std::optional<type> &Out,
                   const limits &Limits) -> result<void> {
    Out.reset();
    if (Value.is_null())
      return {};
    return value_codec<type>::read(Value, Out.emplace(), Limits);
  }
};

/// The limits of a list bound its length; its items have none of their own.
template <typename type>
struct value_codec<std::vector<type>> : codec_base<std::vector<type>> {
  static constexpr std::string_view Name = "list";
  static auto write(const std::vector<type> &Value) -> json {
    auto List = json::array();
    for (const auto &Item : Value)
      List.push_back(value_codec<type>::write(Item));
    return List;
  }
  static auto read(const json &Value, std::vector<type> &Out,
                   const limits &Limits) -> result<void> {
    if (!Value.is_array())
      return detail::expected("a list");
    if (!detail::within(static_cast<double>(Value.size()), Limits))
      return detail::outOfRange(Limits);
    Out.clear();
    Out.reserve(Value.size());
    for (const auto &Item : Value)
      if (auto Done = value_codec<type>::read(Item, Out.emplace_back(), {});
          !Done)
        return Done;
    return {};
  }
};

/// A map is a list of [key, value] pairs in key order.
template <typename key, typename type, typename order>
struct value_codec<std::map<key, type, order>>
    : codec_base<std::map<key, type, order>> {
  static constexpr std::string_view Name = "map";
  static auto write(const std::map<key, type, order> &Value) -> json {
    auto List = json::array();
    for (const auto &[Key, Item] : Value)
      List.push_back(json::array(
          {value_codec<key>::write(Key), value_codec<type>::write(Item)}));
    return List;
  }
  static auto read(const json &Value, std::map<key, type, order> &Out,
                   const limits &Limits) -> result<void> {
    if (!Value.is_array())
      return detail::expected("a list of pairs");
    if (!detail::within(static_cast<double>(Value.size()), Limits))
      return detail::outOfRange(Limits);
    Out.clear();
    for (const auto &Pair : Value) {
      if (!Pair.is_array() || Pair.size() != 2)
        return detail::expected("a pair");
      key Key{};
      if (auto Done = value_codec<key>::read(Pair[0], Key, {}); !Done)
        return Done;
      auto [Place, Fresh] = Out.try_emplace(std::move(Key));
      if (!Fresh)
        return failure::of(errc::bad_request, "a key occurs twice");
      if (auto Done = value_codec<type>::read(Pair[1], Place->second, {});
          !Done)
        return Done;
    }
    return {};
  }
};

} // namespace acacianotch
