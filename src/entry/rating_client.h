/// \file Client of the service that rates answers.
#pragma once

#include "controller/cascade_records.h"
#include "net/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace acacianotch {

/// Input of the rating service.
struct rating_input {
  std::string Class;   ///< Request class.
  std::string Model;   ///< `model@version` that answered.
  std::string Request; ///< Body of the request as sent to the engine.
  std::string Answer;  ///< Body of the answer.
};

/// Sends `POST /v1/ratings` with `{class, model, request, answer}` and parses
/// `{passed}` from the response. The outcome is `missing` if the response is
/// late, malformed or an error.
class rating_client {
public:
  using handler = std::function<void(rating_outcome)>;

  /// If \p Address is invalid, there is no rating service and every outcome is
  /// `missing`.
  rating_client(event_loop &Loop, const address &Address);
  ~rating_client();
  rating_client(const rating_client &) = delete;
  auto operator=(const rating_client &) -> rating_client & = delete;

  /// Requests the rating of one answer. \p OnOutcome is called once, after this
  /// call has returned.
  auto rate(const rating_input &Input, handler OnOutcome) -> void;

private:
  struct call;

  auto finish(std::uint64_t Number, rating_outcome Outcome) -> void;

  event_loop &Loop;
  std::unique_ptr<http_client> Client;
  std::map<std::uint64_t, std::unique_ptr<call>> Calls;
  std::uint64_t NextCall = 0;
};

} // namespace acacianotch
