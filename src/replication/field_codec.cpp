/// \file CBOR encoding with nlohmann-json.
#include "replication/field_codec.h"

namespace acacianotch {

/// SAX handler that collects the fields of a flat array. It stops the parser at
/// any other structure: nested input could otherwise recurse once per byte, and
/// memory for a declared array length would be allocated before its elements
/// are read.
class field_sax {
public:
  explicit field_sax(field_reader &Target) : Reader(Target) {}

  // Names required by the SAX interface of nlohmann-json.
  // NOLINTBEGIN(readability-identifier-naming)
  auto null() -> bool { return false; }
  auto boolean(bool) -> bool { return false; }
  auto number_integer(nlohmann::json::number_integer_t) -> bool {
    return false;
  }
  auto number_unsigned(nlohmann::json::number_unsigned_t Value) -> bool {
    return add(Value);
  }
  auto number_float(double, const std::string &) -> bool { return false; }
  auto string(std::string &) -> bool { return false; }
  auto binary(nlohmann::json::binary_t &Value) -> bool {
    return !Value.has_subtype() && add(std::string(Value.begin(), Value.end()));
  }
  auto start_object(std::size_t) -> bool { return false; }
  auto key(std::string &) -> bool { return false; }
  auto end_object() -> bool { return false; }
  auto start_array(std::size_t) -> bool { return ++Arrays == 1; }
  auto end_array() -> bool { return true; }
  auto parse_error(std::size_t, const std::string &,
                   const nlohmann::json::exception &) -> bool {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  template <typename type> auto add(type Value) -> bool {
    if (Arrays != 1)
      return false;
    Reader.Fields.emplace_back(std::move(Value));
    return true;
  }

  field_reader &Reader;
  int Arrays = 0;
};

auto field_writer::bytes(std::string_view Value) -> void {
  Fields.push_back(nlohmann::json::binary(
      nlohmann::json::binary_t::container_type(Value.begin(), Value.end())));
}

auto field_writer::finish() const -> std::string {
  std::string Encoded;
  nlohmann::json::to_cbor(Fields, Encoded);
  return Encoded;
}

field_reader::field_reader(std::string_view Encoded) {
  field_sax Sax(*this);
  Valid = nlohmann::json::sax_parse(Encoded.begin(), Encoded.end(), &Sax,
                                    nlohmann::json::input_format_t::cbor);
}

template <typename type> auto field_reader::next() -> type {
  if (!Valid || Position == Fields.size() ||
      !std::holds_alternative<type>(Fields[Position])) {
    Valid = false;
    return {};
  }
  return std::get<type>(std::move(Fields[Position++]));
}

auto field_reader::number() -> std::uint64_t { return next<std::uint64_t>(); }

auto field_reader::flag() -> bool {
  const auto Value = number();
  if (Value > 1)
    Valid = false;
  return Value == 1;
}

auto field_reader::count(std::size_t FieldsPerElement) -> std::size_t {
  const auto Value = number();
  if (!Valid || Value > (Fields.size() - Position) / FieldsPerElement) {
    Valid = false;
    return 0;
  }
  return Value;
}

auto field_reader::bytes() -> std::string { return next<std::string>(); }

auto field_reader::finish() const -> result<void> {
  if (Valid && Position == Fields.size())
    return {};
  return failure::of(errc::corrupt_data, "malformed replication data");
}

} // namespace acacianotch
