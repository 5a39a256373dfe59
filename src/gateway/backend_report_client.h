/// \file Requests reports of backend servers on their own work.
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

/// Runs one call for each backend server at a time; requests for its report
/// that come meanwhile share the answer.
class backend_report_client {
public:
  /// Receives the report or an error: `backend_unreachable` if the server did
  /// not answer, `bad_request` if its answer cannot be decoded.
  using callback = std::function<void(const result<backend_report> &)>;

  explicit backend_report_client(event_loop &Loop) : Loop(Loop) {}

  /// Requests the report of the server at \p Address.
  auto requestReport(const address &Address, callback Callback) -> void;

  /// \return the number of calls made.
  [[nodiscard]] auto calls() const -> std::uint64_t { return Calls; }

private:
  struct pending_request {
    std::unique_ptr<http_client> Client;
    std::unique_ptr<http_call> Call;
    std::vector<callback> Callbacks;
    std::string Body;
    int Status = 0;
    bool Leaving = false;
  };

  auto handleEnd(const std::string &Key, const result<void> &Result) -> void;

  event_loop &Loop;
  std::map<std::string, pending_request> PendingRequests; ///< By address.
  std::uint64_t Calls = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
