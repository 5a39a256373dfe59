/// \file Client of the service that rates answers.
#include "entry/rating_client.h"

#include <nlohmann/json.hpp>

namespace acacianotch {

namespace {

constexpr duration RatingTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxCalls = 256;
constexpr std::size_t MaxReplyBytes = 4096;
constexpr int HttpOk = 200;

auto readReply(int Status, const std::string &Body) -> rating_outcome {
  if (Status != HttpOk)
    return rating_outcome::missing;
  const auto Reply = nlohmann::json::parse(Body, nullptr, false);
  if (!Reply.is_object() || !Reply.contains("passed") ||
      !Reply["passed"].is_boolean())
    return rating_outcome::missing;
  return Reply["passed"].get<bool>() ? rating_outcome::passed
                                     : rating_outcome::failed;
}

} // namespace

struct rating_client::call {
  handler OnOutcome;
  std::unique_ptr<http_call> Http;
  std::unique_ptr<loop_timer> Timer;
  int Status = 0;
  std::string Body;
};

rating_client::rating_client(event_loop &TheLoop, const address &Address)
    : Loop(TheLoop) {
  if (Address.valid())
    Client = std::make_unique<http_client>(TheLoop, Address);
}

rating_client::~rating_client() = default;

auto rating_client::rate(const rating_input &Input, handler OnOutcome) -> void {
  if (Client == nullptr || Calls.size() >= MaxCalls) {
    Loop.defer([OnOutcome = std::move(OnOutcome)] {
      OnOutcome(rating_outcome::missing);
    });
    return;
  }
  const auto Number = NextCall++;
  auto &Call = *(Calls[Number] = std::make_unique<call>());
  Call.OnOutcome = std::move(OnOutcome);
  Call.Timer =
      Loop.oneShot([this, Number] { finish(Number, rating_outcome::missing); });
  Call.Timer->start(RatingTimeout);
  const nlohmann::json Body = {{"class", Input.Class},
                               {"model", Input.Model},
                               {"request", Input.Request},
                               {"answer", Input.Answer}};
  http_call_options Options;
  Options.Target = "/v1/ratings";
  Options.Headers = {{"Content-Type", "application/json"}};
  Options.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Options.SilenceLimit = RatingTimeout;
  Options.TimeLimit = RatingTimeout;
  Options.MaxBodyBytes = MaxReplyBytes;
  Call.Http = Client->start(
      std::move(Options),
      {[&Call](int Status, const http_headers &) { Call.Status = Status; },
       [&Call](std::string_view Data) {
         if (Call.Body.size() + Data.size() <= MaxReplyBytes)
           Call.Body += Data;
       },
       [this, Number, &Call](const result<void> &Result) {
         finish(Number, Result ? readReply(Call.Status, Call.Body)
                               : rating_outcome::missing);
       }});
}

auto rating_client::finish(std::uint64_t Number, rating_outcome Outcome)
    -> void {
  const auto Found = Calls.find(Number);
  if (Found == Calls.end())
    return;
  auto Call = std::shared_ptr<call>(std::move(Found->second));
  Calls.erase(Found);
  Call->OnOutcome(Outcome);
  Loop.defer([Call] {});
}

} // namespace acacianotch
