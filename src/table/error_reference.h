/// \file Reference of error codes with advice for operators.
#pragma once

#include "core/error_type.h"

#include <string>
#include <string_view>

namespace acacianotch {

/// \return what to do about \p Code.
[[nodiscard]] auto errorAdvice(errc Code) -> std::string_view;

/// \return the reference of all errors that callers and operators see, as
/// Markdown.
[[nodiscard]] auto errorReference() -> std::string;

} // namespace acacianotch
