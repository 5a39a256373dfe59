/// \file The operators' interface as the platform's pages define it.
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
/// Largest body that an operator may send, bytes.
constexpr std::size_t MaxBodyBytes = 8ULL * 1024 * 1024;

constexpr int Success = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int WrongMethod = 405;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

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

auto replyFault(const std::shared_ptr<http_exchange> &Exchange, int Status,
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
      [Raw = Api.get()](const exchange &Exchange) { Raw->handle(Exchange); });
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
    return replyFault(Exchange, WrongMethod, "PUT or GET is expected");
  }
  if (Path == RolloutsPath && Method == "POST")
    return startRollout(Exchange);
  const auto OneRollout = std::string(RolloutsPath) + "/";
  if (Path.starts_with(OneRollout) && Method == "GET")
    return getRollout(Exchange, Path.substr(OneRollout.size()));
  replyFault(Exchange, NotFound, "unknown path");
}

auto operator_api::passToLeader(const exchange &Exchange) -> void {
  const auto Leader = parseAddress(Service.replica().leaderAddress());
  const auto Own = Service.replica().node().role() == raft_role::leader;
  redirectToLeader(
      Exchange, Leader && !Own ? std::optional(*Leader) : std::nullopt, Port);
}

auto operator_api::putConfiguration(const exchange &Exchange) -> void {
  auto Text = Exchange->body();
  const auto Table = decodeConfiguration(Text);
  if (!Table) {
    logInfo(log_category::control, "refused an invalid configuration",
            {{"reason", Table.error().Detail}});
    return replyFault(Exchange, BadRequest, Table.error().Detail);
  }
  execute(Exchange, publish_routing{Table->Number, {std::move(Text)}});
}

auto operator_api::getConfiguration(const exchange &Exchange) -> void {
  if (!Service.confirmedEpoch())
    return passToLeader(Exchange);
  const auto &Document = Service.state().data().Routing;
  if (!Document)
    return replyFault(Exchange, Unavailable, "no configuration is known");
  Exchange->reply(Success, JsonHeaders, Document->Text.Bytes);
}

auto operator_api::startRollout(const exchange &Exchange) -> void {
  const auto Body = parseJson(Exchange->body());
  if (!Body || !Body->is_object())
    return replyFault(Exchange, BadRequest, "an object is expected");
  const auto Text = [&](const char *Key) {
    const auto Place = Body->find(Key);
    return Place != Body->end() && Place->is_string()
               ? Place->get<std::string>()
               : std::string();
  };
  start_service_rollout Order;
  Order.Service = Text("service");
  Order.To = Text("target");
  const auto Seconds = Body->find("duration-s");
  if (Seconds != Body->end() && Seconds->is_number()) {
    constexpr double Milliseconds = 1000;
    constexpr double Most = 4e6;
    const auto Count = std::clamp(Seconds->get<double>(), 0.0, Most);
    Order.DurationMs =
        static_cast<std::uint32_t>(std::llround(Count * Milliseconds));
  }
  if (Order.Service.empty() || Order.To.empty())
    return replyFault(Exchange, BadRequest, "service or target is missing");
  execute(Exchange, std::move(Order));
}

auto operator_api::getRollout(const exchange &Exchange, const std::string &Name)
    -> void {
  if (!Service.confirmedEpoch())
    return passToLeader(Exchange);
  const auto &Rollouts = Service.state().data().ServiceRollouts;
  const auto Place = Rollouts.find(Name);
  if (Place == Rollouts.end())
    return replyFault(Exchange, NotFound, "no rollout of this service");
  replyJson(Exchange, Success,
            {{"state", WireStates.name(Place->second.State)},
             {"target", Place->second.To}});
}

auto operator_api::execute(const exchange &Exchange, command_body Body)
    -> void {
  command Command;
  Command.Issuer = "operator";
  Command.Body = std::move(Body);
  Service.execute(encodeCommand(Command))
      .then([this, Exchange](const command_result &Result) {
        finish(Exchange, Result);
      })
      .detach([Exchange](kj::Exception &&Exception) {
        replyFault(Exchange, Unavailable, Exception.getDescription().cStr());
      });
}

auto operator_api::finish(const exchange &Exchange,
                          const command_result &Result) -> void {
  switch (Result.Code) {
  case errc::ok:
    return replyJson(Exchange, Success, json::object());
  case errc::not_leader:
    return passToLeader(Exchange);
  case errc::bad_request:
    return replyFault(Exchange, BadRequest, Result.Detail);
  case errc::revision_conflict:
    return replyFault(Exchange, Conflict, Result.Detail);
  default:
    return replyFault(Exchange, Unavailable, Result.Detail);
  }
}

} // namespace acacianotch::platform
