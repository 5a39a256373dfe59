/// \file Requests of callers and answers of backend servers, as decoded by a
/// gateway.
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "core/memory_charge.h"
#include "net/http_reader.h"
#include "routing/backend_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Retry-After of a refusal that is caused by the state of this gateway only;
/// the retry reaches another gateway.
inline constexpr duration GatewayRefusalRetryAfter =
    std::chrono::milliseconds(50);

/// One part of a prompt. Prompts that begin with the same parts share a cached
/// prefix.
struct prompt_part {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// A decoded request of a caller.
struct caller_request {
  std::string Id; ///< Unique for each attempt of the caller.
  std::string Method;
  std::string Target; ///< Path and query as received.
  std::string Host;
  std::string Session;     ///< Common to related requests; may be empty.
  std::string Key;         ///< Of the client account; empty if none.
  std::string Model;       ///< Named by the caller; empty if none.
  bool AnyModel = false;   ///< The gateway chooses the model.
  std::string LastEventId; ///< Event after which a stream resumes, if any.
  std::optional<duration> TimeLeft; ///< Until the caller's deadline.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  std::optional<std::uint32_t> LikelyOutputTokens; ///< Caller's estimate.
  std::vector<prompt_part> Prompt;
  http_headers Forwarded; ///< Headers to forward, as received.
  std::string Body;
  std::shared_ptr<memory_charge> Charge; ///< For Body and its copies.
  time_point ReceivedAt{};

  [[nodiscard]] auto path() const -> std::string_view {
    return std::string_view(Target).substr(0, Target.find('?'));
  }

  /// \return the number of prompt tokens that other requests may share: those
  /// of all parts but the last.
  [[nodiscard]] auto sharedTokens() const -> std::uint32_t {
    std::uint32_t Count = 0;
    for (std::size_t Part = 0; Part + 1 < Prompt.size(); ++Part)
      Count += Prompt[Part].Tokens;
    return Count;
  }
};

/// Values that the gateway adds to a request for one attempt.
struct attempt_options {
  std::string Account;  ///< Client account; empty if anonymous.
  std::string Instance; ///< The only backend server that may execute it.
  std::string Model;    ///< Model to run; empty if none.
  std::string LastEventId;
  std::optional<duration> TimeLeft;
  std::optional<std::uint32_t> Urgency; ///< 0 is the most urgent.
  /// Server from which the backend server copies the cached prefix of the
  /// prompt.
  std::optional<address> FetchFrom;
};

/// Decoded head of a backend server's answer.
struct answer_facts {
  int Status = 0;
  std::string RequestId;
  bool NotRun = false; ///< The request was not executed.
  /// Another backend server has the address now, or this one does not run the
  /// model that the request names.
  bool Misdirected = false;
  bool Sealed = false;  ///< The answer carries the seal of a backend server.
  bool Leaving = false; ///< The server takes no new work any more.
  /// Time for which a server that rejected the request wants no other one.
  std::optional<duration> RetryAfter;
  std::optional<backend_load> Load;
  /// Time for which the server takes few requests since its start.
  std::optional<duration> ColdFor;
  std::optional<std::uint32_t> Confidence; ///< 0 to 100.
  std::optional<duration> IdleLimit;       ///< Idle timeout of the connection.

  [[nodiscard]] auto success() const -> bool {
    return Status >= 200 && Status < 300;
  }
};

} // namespace acacianotch
