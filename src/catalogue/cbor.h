/// \file CBOR and JSON text to and from JSON values, without exceptions.
#pragma once

#include "catalogue/value_codec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace acacianotch {

/// \return \p Value as CBOR.
[[nodiscard]] auto encodeCbor(const json &Value) -> std::string;

/// \return the value in \p Bytes, or corrupt_data. Accepts what encodeCbor
/// writes: no tags, no indefinite lengths, at most 32 levels.
[[nodiscard]] auto decodeCbor(std::string_view Bytes) -> result<json>;

/// \return the value in the JSON text \p Text, or bad_request with the
/// position. A key that occurs twice in an object and more than 32 levels are
/// errors.
[[nodiscard]] auto parseJson(std::string_view Text) -> result<json>;

/// \return the whole number under \p Key of an object from outside; 0 if there
/// is none or another value.
[[nodiscard]] auto countAt(const json &Object, const char *Key)
    -> std::uint64_t;

/// \return \p Value as JSON text; \p Indent below 0 gives one line.
[[nodiscard]] auto printJson(const json &Value, int Indent = -1) -> std::string;

} // namespace acacianotch
