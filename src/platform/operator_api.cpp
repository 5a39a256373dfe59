/// \file HTTP interface for operators as defined by the platform.
#include "platform/operator_api.h"

#include "catalogue/cbor.h"
#include "core/log_func.h"
#include "platform/configuration_codec.h"
#include "platform/operator_redirect.h"

#include <cmath>

namespace acacianotch::platform {

namespace {

constexpr std::string_view ConfigurationPath = "/api/config";
constexpr std::string_view RolloutsPath = "/api/rollouts";
/// Largest accepted request body, bytes.
constexpr std::size_t MaxBodyBytes = 8ULL * 1024 * 1024;

constexpr int StatusOk = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Conflict = 409;
constexpr int ServiceUnavailable = 503;

constexpr enum_table<rollout_state, 4> WireStates{{{
    {rollout_state::running, "running"},
    {rollout_state::paused, "running"},
    {rollout_state::done, "completed"},
    {rollout_state::aborted, "rolled_back"},
}}};

const http_headers JsonHeaders{{"Content-Type", "application/json"}};

auto replyJson(const std::shared_ptr<http_exchange> &Exchange, int Status,
               const json &Body) -> void {
  Exchange->reply(Status, JsonHeaders, printJson(Body));
}

auto replyError(const std::shared_ptr<http_exchange> &Exchange, int Status,
                const std::string &Reason) -> void {
  replyJson(Exchange, Status, {{"error", Reason}});
}

} // namespace

auto operator_api::create(event_loop &Loop, const address &Address,
                          control_service &Service)
    -> result<std::unique_ptr<operator_api>> {
  std::unique_ptr<operator_api> Api(new operator_api(Service));
  http_server_options Options;
  Options.MaxBodyBytes = MaxBodyBytes;
  auto Http = http_server::create(
      Loop, Address, Options,
      [Self = Api.get()](const exchange &Exchange) { Self->handle(Exchange); });
  if (!Http)
    return Http.error();
  Api->Http = std::move(Http).value();
  Api->Port = Address.Port;
  return Api;
}

auto operator_api::handle(const exchange &Exchange) -> void {
  const auto Path = Exchange->path();
  const auto Method = Exchange->method();
  if (Path == ConfigurationPath) {
    if (Method == "PUT")
      return putConfiguration(Exchange);
    if (Method == "GET")
      return getConfiguration(Exchange);
    return replyError(Exchange, MethodNotAllowed, "PUT or GET is expected");
  }
  if (Path == RolloutsPath && Method == "POST")
    return startRollout(Exchange);
  const auto RolloutPrefix = std::string(RolloutsPath) + "/";
  if (Path.starts_with(RolloutPrefix) && Method == "GET")
    return getRollout(Exchange, Path.substr(RolloutPrefix.size()));
  replyError(Exchange, NotFound, "unknown path");
}

auto operator_api::replyRedirect(const exchange &Exchange) -> void {
  const auto Leader = parseAddress(Service.replica().leaderAddress());
  const auto IsLeader = Service.replica().node().role() == raft_role::leader;
  redirectToLeader(Exchange,
                   Leader && !IsLeader ? std::optional(*Leader) : std::nullopt,
                   Port);
}

auto operator_api::putConfiguration(const exchange &Exchange) -> void {
  auto Text = Exchange->body();
  const auto Table = decodeConfiguration(Text);
  if (!Table) {
    logInfo(log_category::control, "refused an invalid configuration",
            {{"reason", Table.error().Detail}});
    return replyError(Exchange, BadRequest, Table.error().Detail);
  }
  execute(Exchange, publish_routing{Table->Number, {std::move(Text)}});
}

auto operator_api::getConfiguration(const exchange &Exchange) -> void {
  if (!Service.confirmedEpoch())
    return replyRedirect(Exchange);
  const auto &Document = Service.state().data().Routing;
  if (!Document)
    return replyError(Exchange, ServiceUnavailable,
                      "no configuration is known");
  Exchange->reply(StatusOk, JsonHeaders, Document->Text.Bytes);
}

auto operator_api::startRollout(const exchange &Exchange) -> void {
  const auto Body = parseJson(Exchange->body());
  if (!Body || !Body->is_object())
    return replyError(Exchange, BadRequest, "an object is expected");
  const auto Text = [&](const char *Key) {
    const auto Found = Body->find(Key);
    return Found != Body->end() && Found->is_string()
               ? Found->get<std::string>()
               : std::string();
  };
  start_service_rollout Rollout;
  Rollout.Service = Text("service");
  Rollout.To = Text("target");
  const auto Seconds = Body->find("duration-s");
  if (Seconds != Body->end() && Seconds->is_number()) {
    constexpr double MillisecondsPerSecond = 1000;
    constexpr double MaxSeconds = 4e6; // Fits 32 bits as milliseconds.
    const auto Count = std::clamp(Seconds->get<double>(), 0.0, MaxSeconds);
    Rollout.DurationMs =
        static_cast<std::uint32_t>(std::llround(Count * MillisecondsPerSecond));
  }
  if (Rollout.Service.empty() || Rollout.To.empty())
    return replyError(Exchange, BadRequest, "service or target is missing");
  execute(Exchange, std::move(Rollout));
}

auto operator_api::getRollout(const exchange &Exchange, const std::string &Name)
    -> void {
  if (!Service.confirmedEpoch())
    return replyRedirect(Exchange);
  const auto &Rollouts = Service.state().data().ServiceRollouts;
  const auto Found = Rollouts.find(Name);
  if (Found == Rollouts.end())
    return replyError(Exchange, NotFound, "no rollout of this service");
  replyJson(Exchange, StatusOk,
            {{"state", WireStates.name(Found->second.State)},
             {"target", Found->second.To}});
}

auto operator_api::execute(const exchange &Exchange, command_body Body)
    -> void {
  command Command;
  Command.Issuer = "operator";
  Command.Body = std::move(Body);
  Service.execute(encodeCommand(Command))
      .then([this, Exchange](const command_result &Result) {
        replyResult(Exchange, Result);
      })
      .detach([Exchange](kj::Exception &&Exception) {
        replyError(Exchange, ServiceUnavailable,
                   Exception.getDescription().cStr());
      });
}

auto operator_api::replyResult(const exchange &Exchange,
                               const command_result &Result) -> void {
  switch (Result.Code) {
  case errc::ok:
    return replyJson(Exchange, StatusOk, json::object());
  case errc::not_leader:
    return replyRedirect(Exchange);
  case errc::bad_request:
    return replyError(Exchange, BadRequest, Result.Detail);
  case errc::revision_conflict:
    return replyError(Exchange, Conflict, Result.Detail);
  default:
    return replyError(Exchange, ServiceUnavailable, Result.Detail);
  }
}

} // namespace acacianotch::platform
