/// \file Responses of the HTTP API.
#include "entry/api_reply.h"

#include <nlohmann/json.hpp>

namespace acacianotch {

namespace {

constexpr int FirstServerError = 500;
constexpr int TooManyRequests = 429;
constexpr int Unauthorized = 401;

auto errorType(int Status) -> const char * {
  if (Status == Unauthorized)
    return "authentication_error";
  if (Status == TooManyRequests)
    return "rate_limit_error";
  return Status >= FirstServerError ? "server_error" : "invalid_request_error";
}

} // namespace

auto errorBody(const failure &Failure) -> std::string {
  const auto &Row = errcRow(Failure.Code);
  auto Message = std::string(Row.Message);
  if (!Failure.Detail.empty())
    Message += ": " + Failure.Detail;
  const nlohmann::json Body = {
      {"error",
       {{"message", Message},
        {"type", errorType(Row.HttpStatus)},
        {"param", nullptr},
        {"code", Row.Name},
        {"verdict", VerdictNames.name(Failure.Verdict)}}}};
  // The detail can quote caller input, which may be invalid UTF-8.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto replyError(http_exchange &Exchange, const failure &Failure,
                duration RetryAfter, http_headers Headers) -> void {
  Headers.emplace_back(VerdictHeader,
                       std::string(VerdictNames.name(Failure.Verdict)));
  if (RetryAfter > duration::zero()) {
    const auto Milliseconds = RetryAfter / std::chrono::milliseconds(1);
    const auto Seconds =
        (RetryAfter + std::chrono::milliseconds(999)) / std::chrono::seconds(1);
    Headers.emplace_back("Retry-After", std::to_string(Seconds));
    Headers.emplace_back("Retry-After-Ms", std::to_string(Milliseconds));
  }
  replyJson(Exchange, errcRow(Failure.Code).HttpStatus, errorBody(Failure),
            std::move(Headers));
}

auto replyJson(http_exchange &Exchange, int Status, std::string_view Body,
               http_headers Headers) -> void {
  Headers.emplace_back("Content-Type", "application/json");
  Exchange.reply(Status, Headers, Body);
}

} // namespace acacianotch
