/// \file Asks backend servers for reports of their own work.
#pragma once

#include "core/address_type.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "routing/backend_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

/// Asks a backend server once at a time; requests that ask meanwhile share the
/// answer.
class backend_inquirer {
public:
  /// Gets the report, or why there is none: `backend_unreachable` if the
  /// server did not answer, `bad_request` if its answer cannot be read.
  using callback = std::function<void(const result<backend_report> &)>;

  explicit backend_inquirer(event_loop &Loop) : Loop(Loop) {}

  /// Asks the server at \p Address.
  auto ask(const address &Address, callback Callback) -> void;

  /// \return calls made so far.
  [[nodiscard]] auto calls() const -> std::uint64_t { return Calls; }

private:
  struct inquiry {
    std::unique_ptr<http_client> Client;
    std::unique_ptr<http_call> Call;
    std::vector<callback> Waiting;
    std::string Body;
    int Status = 0;
  };

  auto handleEnd(const std::string &Key, const result<void> &Result) -> void;

  event_loop &Loop;
  std::map<std::string, inquiry> Inquiries; ///< Under way, by address.
  std::uint64_t Calls = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
