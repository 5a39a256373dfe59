/// \file Field tables: one description of a struct drives reading, writing,
/// range checks and documentation.
#pragma once

#include "catalogue/value_codec.h"
#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace acacianotch {

/// One described member of a struct.
template <typename owner, typename member> struct field {
  std::string_view Key;  ///< JSON key in snake_case.
  member owner::*Member; ///< Where the value lives.
  limits Limits;         ///< Range of a number, or length of a text or list.
  std::string_view Text; ///< Documentation.
  bool Required = false; ///< A missing key is an error.

  constexpr field(std::string_view Name, member owner::*Where, limits Range,
                  std::string_view About, bool Needed = false)
      : Key(Name), Member(Where), Limits(Range), Text(About), Required(Needed) {
  }
};

/// \return a field that must be present when reading.
template <typename owner, typename member>
constexpr auto required(std::string_view Key, member owner::*Member,
                        limits Limits, std::string_view Text)
    -> field<owner, member> {
  return {Key, Member, Limits, Text, true};
}

/// Specialised for each described struct with a tuple `Fields`.
template <typename type> struct field_table;

template <typename type>
concept described = requires {
  field_table<type>::Fields;
};

/// One row of the documentation of a struct.
struct field_info {
  std::string_view Key;
  std::string_view Type;
  limits Limits;
  bool Required;
  std::string_view Text;
};

/// \return the documented fields of \p type, in order.
template <described type>
[[nodiscard]] auto describeFields() -> std::vector<field_info> {
  std::vector<field_info> Rows;
  const auto Add =
      [&]<typename owner, typename member>(const field<owner, member> &Field) {
        Rows.push_back({Field.Key, value_codec<member>::Name, Field.Limits,
                        Field.Required, Field.Text});
      };
  std::apply([&](const auto &...Field) { (Add(Field), ...); },
             field_table<type>::Fields);
  return Rows;
}

namespace detail {

template <typename owner, typename member>
auto readField(const json &Object, owner &Out,
               const field<owner, member> &Field, std::size_t &Found)
    -> result<void> {
  const auto Place = Object.find(Field.Key);
  if (Place == Object.end()) {
    if (!Field.Required)
      return {};
    return failure::of(errc::bad_request,
                       "missing key '" + std::string(Field.Key) + "'");
  }
  ++Found;
  auto Done =
      value_codec<member>::read(*Place, Out.*(Field.Member), Field.Limits);
  if (Done)
    return {};
  return failure::of(Done.error().Code, "key '" + std::string(Field.Key) +
                                            "': " + Done.error().Detail);
}

template <described type> auto unknownKey(const json &Object) -> failure {
  for (const auto &Item : Object.items()) {
    const auto Known = std::apply(
        [&](const auto &...Field) {
          return ((Field.Key == Item.key()) || ...);
        },
        field_table<type>::Fields);
    if (!Known)
      return failure::of(errc::bad_request,
                         "unknown key '" + printable(Item.key()) + "'");
  }
  return failure::of(errc::internal, "no unknown key");
}

} // namespace detail

/// Reads a described struct from a JSON object.
/// \return bad_request naming the key that is unknown, missing or out of range.
template <described type>
auto readFields(const json &Object, type &Out) -> result<void> {
  if (!Object.is_object())
    return failure::of(errc::bad_request, "an object is expected");
  std::size_t Found = 0;
  auto Done = result<void>();
  const auto Read = [&](const auto &Field) {
    Done = detail::readField(Object, Out, Field, Found);
    return Done.ok();
  };
  std::apply([&](const auto &...Field) { (Read(Field) && ...); },
             field_table<type>::Fields);
  if (!Done)
    return Done;
  if (Found != Object.size())
    return detail::unknownKey<type>(Object);
  return {};
}

/// \return a JSON object with all fields of \p Value.
template <described type> auto writeFields(const type &Value) -> json {
  auto Object = json::object();
  const auto Write =
      [&]<typename owner, typename member>(const field<owner, member> &Field) {
        if (value_codec<member>::absent(Value.*(Field.Member)))
          return;
        Object[std::string(Field.Key)] =
            value_codec<member>::write(Value.*(Field.Member));
      };
  std::apply([&](const auto &...Field) { (Write(Field), ...); },
             field_table<type>::Fields);
  return Object;
}

template <described type> struct value_codec<type> : codec_base<type> {
  static constexpr std::string_view Name = "object";
  static auto write(const type &Value) -> json { return writeFields(Value); }
  static auto read(const json &Value, type &Out, const limits &)
      -> result<void> {
    return readFields(Value, Out);
  }
};

/// Reads a described struct. \return it, or bad_request.
template <typename type>
[[nodiscard]] auto readValue(const json &Value) -> result<type> {
  type Out{};
  if (auto Done = value_codec<type>::read(Value, Out, {}); !Done)
    return Done.error();
  return Out;
}

/// \return \p Value as JSON.
template <typename type>
[[nodiscard]] auto writeValue(const type &Value) -> json {
  return value_codec<type>::write(Value);
}

} // namespace acacianotch
