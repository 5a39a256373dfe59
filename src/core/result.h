/// \file Result of an operation that can fail.
#pragma once

#include "core/error_type.h"

#include <cassert>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace acacianotch {

/// An error with its detail and whether the request may have run.
struct failure {
  errc Code = errc::internal; ///< What went wrong.
  std::string Detail;         ///< Specifics for people; no secrets.
  verdict Verdict =
      verdict::may_have_run; ///< Whether the request may have run.

  /// \return a failure with the default verdict of \p Code.
  [[nodiscard]] static auto of(errc Code, std::string Detail = {}) -> failure {
    return {Code, std::move(Detail), errcRow(Code).Verdict};
  }

  /// \return the code as std::error_code.
  [[nodiscard]] auto code() const -> std::error_code {
    return make_error_code(Code);
  }

  /// \return stable name, message and detail on one line.
  [[nodiscard]] auto text() const -> std::string {
    const auto &Row = errcRow(Code);
    auto Text = std::string(Row.Name) + ": " + std::string(Row.Message);
    return Detail.empty() ? Text : Text + " (" + Detail + ")";
  }
};

/// A value or a failure.
template <typename value_type> class [[nodiscard]] result {
public:
  result(value_type Value) : Content(std::move(Value)) {}
  result(failure Failure) : Content(std::move(Failure)) {}

  /// \return whether there is a value.
  [[nodiscard]] auto ok() const -> bool { return Content.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// \return the value; call only if ok().
  [[nodiscard]] auto value() & -> value_type & {
    assert(ok());
    return std::get<0>(Content);
  }
  [[nodiscard]] auto value() const & -> const value_type & {
    assert(ok());
    return std::get<0>(Content);
  }
  [[nodiscard]] auto value() && -> value_type && {
    assert(ok());
    return std::get<0>(std::move(Content));
  }
  auto operator*() & -> value_type & { return value(); }
  auto operator*() const & -> const value_type & { return value(); }
  auto operator->() -> value_type * { return &value(); }
  auto operator->() const -> const value_type * { return &value(); }

  /// \return the failure; call only if not ok().
  [[nodiscard]] auto error() const -> const failure & {
    assert(!ok());
    return std::get<1>(Content);
  }

private:
  std::variant<value_type, failure> Content;
};

/// Success without a value, or a failure.
template <> class [[nodiscard]] result<void> {
public:
  result() = default;
  result(failure Failure) : Error(std::move(Failure)) {}

  /// \return whether the operation succeeded.
  [[nodiscard]] auto ok() const -> bool { return !Error.has_value(); }
  explicit operator bool() const { return ok(); }

  /// \return the failure; call only if not ok().
  [[nodiscard]] auto error() const -> const failure & {
    assert(!ok());
    return *Error;
  }

private:
  std::optional<failure> Error;
};

} // namespace acacianotch
