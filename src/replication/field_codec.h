/// \file Encoding of integers and byte strings as a flat CBOR array.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace acacianotch {

/// Builds a flat CBOR array field by field.
class field_writer {
public:
  /// Appends an integer; booleans are written as 0 or 1.
  auto number(std::uint64_t Value) -> void { Fields.push_back(Value); }

  /// Appends a byte string.
  auto bytes(std::string_view Value) -> void;

  /// \return the encoded array.
  [[nodiscard]] auto finish() const -> std::string;

private:
  nlohmann::json Fields = nlohmann::json::array();
};

/// Reads the fields of a flat CBOR array in order. After the first type
/// mismatch every read returns an empty value, so it is sufficient to check the
/// result of finish() once.
class field_reader {
public:
  explicit field_reader(std::string_view Encoded);

  /// \return the next integer.
  [[nodiscard]] auto number() -> std::uint64_t;

  /// \return the next integer as a boolean; it must be 0 or 1.
  [[nodiscard]] auto flag() -> bool;

  /// \return the next integer as the number of elements of a list. Every
  /// element has at least \p FieldsPerElement fields, so a number that exceeds
  /// the remaining fields is invalid.
  [[nodiscard]] auto count(std::size_t FieldsPerElement) -> std::size_t;

  /// \return the next byte string.
  [[nodiscard]] auto bytes() -> std::string;

  /// Marks the input as invalid.
  auto fail() -> void { Valid = false; }

  /// \return success if every read was valid and no field remains.
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
