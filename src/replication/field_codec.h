/// \file Flat lists of integers and byte strings as one CBOR array.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace acacianotch {

/// Appends fields to one CBOR array.
class field_writer {
public:
  /// Adds an integer; booleans are 0 or 1.
  auto number(std::uint64_t Value) -> void { Fields.push_back(Value); }

  /// Adds a byte string.
  auto bytes(std::string_view Value) -> void;

  /// \return the encoded array.
  [[nodiscard]] auto finish() const -> std::string;

private:
  nlohmann::json Fields = nlohmann::json::array();
};

/// Takes fields from one CBOR array. The first mismatch makes every later read
/// return an empty value, so callers check once, with finish().
class field_reader {
public:
  explicit field_reader(std::string_view Encoded);

  /// \return the next integer.
  [[nodiscard]] auto number() -> std::uint64_t;

  /// \return the next integer, which must be 0 or 1.
  [[nodiscard]] auto flag() -> bool;

  /// \return the next integer, an element count. Each element has at least
  /// \p FieldsEach fields, so a count beyond the remaining fields is an error.
  [[nodiscard]] auto count(std::size_t FieldsEach) -> std::size_t;

  /// \return the next byte string.
  [[nodiscard]] auto bytes() -> std::string;

  /// Marks the input as invalid.
  auto fail() -> void { Valid = false; }

  /// \return success if every read matched and no field is left.
  [[nodiscard]] auto finish() const -> result<void>;

private:
  using field = std::variant<std::uint64_t, std::string>;

  template <typename type> auto next() -> type;

  std::vector<field> Fields;
  std::size_t Position = 0;
  bool Valid = true;

  friend class field_sax;
};

} // namespace acacianotch
