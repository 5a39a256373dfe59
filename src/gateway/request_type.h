/// \file A caller's request and a backend server's answer in a gateway.
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "net/http_reader.h"
#include "routing/backend_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// One part of a prompt; equal parts behind equal parts can be cached.
struct prompt_part {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// A caller's request, decoded.
struct caller_request {
  std::string Id; ///< Unique for each attempt of the caller.
  std::string Method;
  std::string Target; ///< Path and query as received.
  std::string Host;
  std::string Session;   ///< Requests that belong together; may be empty.
  std::string Key;       ///< Of the client account; empty if none.
  std::string Model;     ///< Model that the caller names; empty if none.
  bool AnyModel = false; ///< The gateway chooses the model.
  std::string LastEvent; ///< Event after which a stream goes on, if any.
  std::optional<duration> TimeLeft; ///< How long the caller waits.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  std::optional<std::uint32_t> LikelyOutputTokens; ///< Caller's estimate.
  std::vector<prompt_part> Prompt;
  http_headers Forwarded; ///< Headers for the backend server, as received.
  std::string Body;
  time_point ReceivedAt{};

  [[nodiscard]] auto path() const -> std::string_view {
    return std::string_view(Target).substr(0, Target.find('?'));
  }

  /// \return the tokens of the prompt that other requests may share: all but
  /// those of its last part.
  [[nodiscard]] auto sharedTokens() const -> std::uint32_t {
    std::uint32_t Shared = 0;
    for (std::size_t Part = 0; Part + 1 < Prompt.size(); ++Part)
      Shared += Prompt[Part].Tokens;
    return Shared;
  }
};

/// What the gateway adds to a request for one backend server.
struct attempt_terms {
  std::string Account;  ///< Client account; empty if anonymous.
  std::string Instance; ///< The only backend server that may run it.
  std::string Model;    ///< Model that runs it; empty if none.
  std::string LastEvent;
  std::optional<duration> TimeLeft;
  std::optional<std::uint32_t> Urgency; ///< 0 is the most urgent.
  /// Where the backend server copies cached parts of the prompt from.
  std::optional<address> FetchFrom;
};

/// Facts in the head of a backend server's answer.
struct answer_facts {
  int Status = 0;
  std::string RequestId;
  bool NotRun = false; ///< The backend server states that it ran nothing.
  bool Gone = false;   ///< The expected backend server is not there any more.
  bool Sealed = false; ///< It is the answer of a backend server's work.
  std::optional<backend_load> Load;
  std::optional<std::uint32_t> Confidence; ///< 0 to 100.
  std::optional<duration> IdleLimit;       ///< Idle time of the connection.

  [[nodiscard]] auto success() const -> bool {
    return Status >= 200 && Status < 300;
  }
};

} // namespace acacianotch
