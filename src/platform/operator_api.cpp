/// \file HTTP interface for operators as defined by the platform.
#include "platform/operator_api.h"

#include "catalogue/cbor.h"
#include "core/compression_func.h"
#include "core/log_func.h"
#include "node/resource_limits.h"
#include "platform/operator_redirect.h"

#include <cmath>

namespace acacianotch::platform {

namespace {

constexpr std::string_view ConfigurationPath = "/api/config";
constexpr std::string_view RolloutsPath = "/api/rollouts";
constexpr std::string_view EvacuationsPrefix = "/api/evacuations/";

constexpr int StatusOk = 200;
constexpr int TemporaryRedirect = 307;
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

} // namespace

auto operator_api::create(event_loop &Loop, const address &Address,
                          const node_settings &Node, control_service &Service)
    -> result<std::unique_ptr<operator_api>> {
  std::unique_ptr<operator_api> Api(new operator_api(Loop, Service));
  const auto Options = operatorServerOptions(Node, MaxOperatorBodyBytes);
  auto Http = http_server::create(
      Loop, Address, Options, [Self = Api.get()](const exchange &Exchange) {
        Self->handle({Exchange, steady_clock::now(), ""});
      });
  if (!Http)
    return Http.error();
  Api->Http = std::move(Http).value();
  Api->Port = Address.Port;
  return Api;
}

auto operator_api::handle(operator_request Request) -> void {
  const auto Path = Request.Exchange->path();
  const auto Method = Request.Exchange->method();
  if (Path == ConfigurationPath) {
    if (Method == "PUT")
      return putConfiguration(std::move(Request));
    if (Method == "GET")
      return getConfiguration(Request);
    return replyError(Request, MethodNotAllowed, "PUT or GET is expected");
  }
  if (Path == RolloutsPath && Method == "POST")
    return startRollout(std::move(Request));
  const auto RolloutPrefix = std::string(RolloutsPath) + "/";
  if (Path.starts_with(RolloutPrefix) && Method == "GET") {
    Request.Subject = Path.substr(RolloutPrefix.size());
    return getRollout(Request);
  }
  if (Path.starts_with(EvacuationsPrefix)) {
    Request.Subject = Path.substr(EvacuationsPrefix.size());
    return changeEvacuation(Request, Method);
  }
  replyError(Request, NotFound, "unknown path");
}

// Which process an order reached, what that process believed about the leader
// and how long the order waited is known to nobody else.
auto operator_api::reply(const operator_request &Request, int Status,
                         const http_headers &Headers, std::string_view Body,
                         std::string_view Outcome) -> void {
  const auto &Node = Service.replica().node();
  const auto Now = steady_clock::now();
  constexpr auto Millisecond = std::chrono::milliseconds(1);
  logInfo(log_category::control, "answered an operator request",
          {{"method", Request.Exchange->method()},
           {"path", Request.Exchange->path()},
           {"subject", Request.Subject},
           {"status", Status},
           {"outcome", Outcome},
           {"ms", (Now - Request.ReceivedAt) / Millisecond},
           {"caller_left", Request.Exchange->closed()},
           {"role", RaftRoleNames.name(Node.role())},
           {"leader", Service.replica().leaderAddress()},
           {"leader_age_ms", Node.leaderContactAge(Now) / Millisecond},
           {"lease", Node.leaseHeld(Now)},
           {"term", Node.term()},
           {"committed", Node.commitIndex()},
           {"uncommitted", Node.lastIndex() - Node.commitIndex()}});
  Request.Exchange->reply(Status, Headers, Body);
}

auto operator_api::replyJson(const operator_request &Request, int Status,
                             const json &Body, std::string_view Outcome)
    -> void {
  reply(Request, Status, JsonHeaders, printJson(Body), Outcome);
}

auto operator_api::replyError(const operator_request &Request, int Status,
                              const std::string &Reason) -> void {
  replyJson(Request, Status, {{"error", Reason}}, Reason);
}

auto operator_api::replyRedirect(const operator_request &Request) -> void {
  const auto Leader = parseAddress(Service.replica().leaderAddress());
  const auto IsLeader = Service.replica().node().role() == raft_role::leader;
  if (!Leader || IsLeader)
    return replyError(Request, ServiceUnavailable, "no leader is known");
  reply(Request, TemporaryRedirect,
        {{"Location", leaderLocation(*Request.Exchange, *Leader, Port)}}, "",
        "redirected to the leader");
}

// Only the leader reads the document, which may be large.
auto operator_api::putConfiguration(operator_request Request) -> void {
  if (Service.replica().node().role() != raft_role::leader)
    return replyRedirect(Request);
  auto Text = Request.Exchange->body();
  Publisher.publish(std::move(Text),
                    [this, Request = std::move(Request)](
                        std::uint64_t Number, const command_result &Result) {
                      auto Answered = Request;
                      Answered.Subject = std::to_string(Number);
                      replyResult(Answered, Result);
                    });
}

auto operator_api::getConfiguration(const operator_request &Request) -> void {
  if (!Service.confirmedEpoch())
    return replyRedirect(Request);
  const auto &Document = Service.state().data().Routing;
  if (!Document)
    return replyError(Request, ServiceUnavailable, "no configuration is known");
  const auto Text = decompress(Document->Text.Bytes, MaxOperatorBodyBytes);
  if (!Text)
    return replyError(Request, ServiceUnavailable, Text.error().Detail);
  reply(Request, StatusOk, JsonHeaders, *Text,
        std::to_string(Document->Number));
}

auto operator_api::startRollout(operator_request Request) -> void {
  const auto Body = parseJson(Request.Exchange->body());
  if (!Body || !Body->is_object())
    return replyError(Request, BadRequest, "an object is expected");
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
    return replyError(Request, BadRequest, "service or target is missing");
  Request.Subject = Rollout.Service + "/" + Rollout.To;
  execute(Request, std::move(Rollout));
}

auto operator_api::getRollout(const operator_request &Request) -> void {
  if (!Service.confirmedEpoch())
    return replyRedirect(Request);
  const auto &Rollouts = Service.state().data().ServiceRollouts;
  const auto Found = Rollouts.find(Request.Subject);
  if (Found == Rollouts.end())
    return replyError(Request, NotFound, "no rollout of this service");
  const auto State = WireStates.name(Found->second.State);
  replyJson(Request, StatusOk, {{"state", State}, {"target", Found->second.To}},
            State);
}

auto operator_api::changeEvacuation(const operator_request &Request,
                                    std::string_view Method) -> void {
  constexpr std::size_t MaxZoneName = 128;
  const auto &Zone = Request.Subject;
  if (Zone.empty() || Zone.size() > MaxZoneName ||
      Zone.find('/') != std::string::npos)
    return replyError(Request, NotFound, "no such availability zone");
  if (Method == "POST")
    return execute(Request, evacuate_zone{Zone});
  if (Method == "DELETE")
    return execute(Request, end_evacuation{Zone});
  replyError(Request, MethodNotAllowed, "POST or DELETE is expected");
}

auto operator_api::execute(const operator_request &Request, command_body Body)
    -> void {
  command Command;
  Command.Issuer = "operator";
  Command.Body = std::move(Body);
  Service.execute(std::move(Command))
      .then([this, Request](const command_result &Result) {
        replyResult(Request, Result);
      })
      // The command may have been dropped because its service is destroyed.
      .detach([Exchange = Request.Exchange](kj::Exception &&Exception) {
        logWarning(log_category::control, "an operator's command failed",
                   {{"error", Exception.getDescription().cStr()}});
        Exchange->reply(ServiceUnavailable, JsonHeaders, "{}");
      });
}

auto operator_api::replyResult(const operator_request &Request,
                               const command_result &Result) -> void {
  switch (Result.Code) {
  case errc::ok:
    return replyJson(Request, StatusOk, json::object(), Result.Detail);
  case errc::not_leader:
    return replyRedirect(Request);
  case errc::bad_request:
    return replyError(Request, BadRequest, Result.Detail);
  case errc::unknown_entry:
    return replyError(Request, NotFound, Result.Detail);
  case errc::revision_conflict:
    return replyError(Request, Conflict, Result.Detail);
  default:
    return replyError(Request, ServiceUnavailable,
                      std::string(errcRow(Result.Code).Name) + " " +
                          Result.Detail);
  }
}

} // namespace acacianotch::platform
