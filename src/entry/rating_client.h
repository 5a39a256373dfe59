/// \file Client of the service that rates answers.
#pragma once

#include "controller/cascade_records.h"
#include "net/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace acacianotch {

/// What the rating service judges.
struct rating_question {
  std::string Class;   ///< Request class.
  std::string Model;   ///< `model@version` that answered.
  std::string Request; ///< Body of the caller's request.
  std::string Answer;  ///< Body of the answer.
};

/// Sends `POST /v1/ratings` with `{class, model, request, answer}` and reads
/// `{passed}`. Everything but a timely, well-formed reply is `missing`.
class rating_client {
public:
  using handler = std::function<void(rating_outcome)>;

  /// An invalid \p Address means that there is no rating service.
  rating_client(event_loop &Loop, const address &Address);
  ~rating_client();
  rating_client(const rating_client &) = delete;
  auto operator=(const rating_client &) -> rating_client & = delete;

  /// Rates one answer; \p OnOutcome runs once, outside of this call.
  auto rate(const rating_question &Question, handler OnOutcome) -> void;

private:
  struct call;

  auto finish(std::uint64_t Number, rating_outcome Outcome) -> void;

  event_loop &Loop;
  std::unique_ptr<http_client> Client;
  std::map<std::uint64_t, std::unique_ptr<call>> Calls;
  std::uint64_t NextCall = 0;
};

} // namespace acacianotch
