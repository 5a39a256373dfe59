/// \file Text that must not appear in logs, dumps or messages.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace acacianotch {

/// What a secret prints as.
inline constexpr std::string_view HiddenText = "[hidden]";

/// A secret such as a bearer key. It does not convert to text and prints as
/// "[hidden]".
class secret {
public:
  secret() = default;
  explicit secret(std::string Value) : Content(std::move(Value)) {}

  [[nodiscard]] auto empty() const -> bool { return Content.empty(); }

  /// \return the secret itself; for use in digests and headers only.
  [[nodiscard]] auto reveal() const -> const std::string & { return Content; }

private:
  std::string Content;
};

inline auto operator<<(std::ostream &Out, const secret & /*Hidden*/)
    -> std::ostream & {
  return Out << HiddenText;
}

} // namespace acacianotch
