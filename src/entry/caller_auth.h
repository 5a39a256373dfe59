/// \file Authentication of callers.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/result.h"
#include "net/http_server.h"

namespace acacianotch {

/// \return SHA-256 of \p Text in lower-case hex.
[[nodiscard]] auto sha256Hex(std::string_view Text) -> std::string;

/// \return the catalogue entry of the account that owns the bearer key of
/// \p Exchange, or `unauthenticated`.
[[nodiscard]] auto authenticate(const catalogue_view &View,
                                const http_exchange &Exchange)
    -> result<const model_entry *>;

} // namespace acacianotch
