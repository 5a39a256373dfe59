/// \file Conversions between the standard library and kj.
#pragma once

#include <kj/array.h>
#include <kj/async.h>
#include <kj/string.h>

#include <functional>
#include <string>
#include <string_view>

namespace acacianotch {

/// \return the bytes of \p Text without copying them.
[[nodiscard]] inline auto toBytes(std::string_view Text)
    -> kj::ArrayPtr<const kj::byte> {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

/// \return a copy of \p Bytes.
[[nodiscard]] inline auto toString(kj::ArrayPtr<const kj::byte> Bytes)
    -> std::string {
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

/// \return a copy of \p Text.
[[nodiscard]] inline auto toString(kj::StringPtr Text) -> std::string {
  return {Text.begin(), Text.size()};
}

/// Runs promises whose results nobody waits for.
class background_tasks final : private kj::TaskSet::ErrorHandler {
public:
  /// \p TheOnError is told the description of each failure.
  explicit background_tasks(std::function<void(std::string_view)> TheOnError)
      : OnError(std::move(TheOnError)), Tasks(*this) {}

  auto add(kj::Promise<void> &&Promise) -> void { Tasks.add(kj::mv(Promise)); }

private:
  auto taskFailed(kj::Exception &&Exception) -> void override {
    OnError(Exception.getDescription().cStr());
  }

  std::function<void(std::string_view)> OnError;
  kj::TaskSet Tasks;
};

} // namespace acacianotch
