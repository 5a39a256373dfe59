/// \file Connection of acacianotchctl to control or to one process.
#include "ctl/connection.h"

#include "net/kj_func.h"
#include "node/leader_client.h"

#include <acacianotch.capnp.h>

namespace acacianotch {

namespace {

/// Answer of one process to a query.
struct query_reply {
  errc Code = errc::ok;
  std::string Text;
};

/// Runs the loop until \p Promise is done; failures become results.
template <typename value_type>
auto waitFor(event_loop &Loop, kj::Promise<value_type> &&Promise,
             duration Limit) -> result<value_type> {
  std::optional<result<value_type>> Outcome;
  auto Timeout = Loop.delay(Limit).then([]() -> value_type {
    kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "no answer in time"));
  });
  const auto Call =
      Promise.exclusiveJoin(kj::mv(Timeout))
          .then([&](value_type &&Value) { Outcome.emplace(std::move(Value)); },
                [&](kj::Exception &&Exception) {
                  Outcome.emplace(failureFrom(Exception));
                })
          .eagerlyEvaluate(nullptr);
  while (!Outcome)
    Loop.turn();
  return std::move(*Outcome);
}

} // namespace

struct ctl_connection::state {
  state(std::unique_ptr<event_loop> TheLoop, const ctl_options &Options)
      : Loop(std::move(TheLoop)), Leader(*Loop, Options.Control, {}) {}

  std::unique_ptr<event_loop> Loop;
  leader_client Leader;
};

ctl_connection::ctl_connection(const ctl_options &TheOptions)
    : Options(TheOptions) {}

ctl_connection::~ctl_connection() = default;

auto ctl_connection::ready() -> result<void> {
  if (State != nullptr)
    return {};
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  State = std::make_unique<state>(std::move(Loop).value(), Options);
  return {};
}

auto ctl_connection::execute(const json &Command) -> result<json> {
  auto Parsed = commandFromJson(Command);
  if (!Parsed)
    return Parsed.error();
  if (auto Ready = ready(); !Ready)
    return Ready.error();
  constexpr duration Slack = std::chrono::seconds(2);
  const auto Result =
      waitFor(*State->Loop, State->Leader.execute(*Parsed, Options.Timeout),
              Options.Timeout + Slack);
  if (!Result)
    return Result.error();
  if (!Result->ok()) {
    auto Failure = failure::of(Result->Code, Result->Detail);
    if (!Result->Payload.is_null())
      Failure.Detail += " " + Result->Payload.dump();
    return Failure;
  }
  return json{{"revision", static_cast<std::uint64_t>(Result->Revision)},
              {"detail", Result->Detail},
              {"payload", Result->Payload}};
}

auto ctl_connection::ask(const address &Address, std::string_view What,
                         const json &Arguments) -> result<json> {
  rpc_peer Peer(*State->Loop, Address, {});
  auto Client = Peer.as<wire::Admin>();
  if (!Client)
    return Client.error();
  auto Request = Client->queryRequest();
  Request.setWhat(std::string(What).c_str());
  Request.setArguments(Arguments.dump().c_str());
  auto Promise = Request.send().then([](auto &&Response) {
    return query_reply{errcFromWire(Response.getError()),
                       toString(Response.getJson())};
  });
  const auto Reply = waitFor(*State->Loop, kj::mv(Promise), Options.Timeout);
  if (!Reply)
    return Reply.error();
  if (Reply->Code != errc::ok)
    return failure::of(Reply->Code, Reply->Text);
  return json::parse(Reply->Text, nullptr, false);
}

// A follower may lag behind a change that was just acknowledged, so control is
// asked through its leader; without a leader, any replica answers.
auto ctl_connection::query(std::string_view What, const json &Arguments)
    -> result<json> {
  if (auto Ready = ready(); !Ready)
    return Ready.error();
  if (Options.Node.valid())
    return ask(Options.Node, What, Arguments);
  auto Chosen = Options.Control.front();
  auto Last = result<json>(failure::of(errc::no_quorum, "no address answered"));
  for (const auto &Address : Options.Control) {
    auto Status = ask(Address, query_name::Status, json::object());
    if (!Status) {
      if (!Last)
        Last = Status;
      continue;
    }
    Chosen = Address;
    Last = std::move(Status);
    if (memberOf(*Last, "leader") == true)
      break;
  }
  if (!Last || What == query_name::Status)
    return Last;
  return ask(Chosen, What, Arguments);
}

} // namespace acacianotch
