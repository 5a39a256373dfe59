/// \file Connection of acacianotchctl to control or to one process.
#include "ctl/connection.h"

#include "net/kj_func.h"
#include "node/leader_client.h"

#include <acacianotch.capnp.h>

namespace acacianotch {

namespace {

/// Reply of one process to a query.
struct query_reply {
  errc Code = errc::ok;
  std::string Text;
};

/// Runs the event loop until \p Promise completes or \p Limit expires. A KJ
/// exception becomes a failure.
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

auto ctl_connection::ensureState() -> result<void> {
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
  if (auto Initialized = ensureState(); !Initialized)
    return Initialized.error();
  constexpr duration TimeoutMargin = std::chrono::seconds(2);
  const auto Result =
      waitFor(*State->Loop, State->Leader.execute(*Parsed, Options.Timeout),
              Options.Timeout + TimeoutMargin);
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

auto ctl_connection::queryProcess(const address &Address, std::string_view Name,
                                  const json &Arguments) -> result<json> {
  rpc_peer Peer(*State->Loop, Address, {});
  auto Client = Peer.as<wire::Admin>();
  if (!Client)
    return Client.error();
  auto Request = Client->queryRequest();
  Request.setWhat(std::string(Name).c_str());
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

// A follower may lag behind a change that was just acknowledged, so the query
// goes to the leader; without a leader, to a replica that replied.
auto ctl_connection::query(std::string_view Name, const json &Arguments)
    -> result<json> {
  if (auto Initialized = ensureState(); !Initialized)
    return Initialized.error();
  if (Options.Node.valid())
    return queryProcess(Options.Node, Name, Arguments);
  auto Target = Options.Control.front();
  auto LastStatus =
      result<json>(failure::of(errc::no_quorum, "no address answered"));
  for (const auto &Address : Options.Control) {
    auto Status = queryProcess(Address, query_name::Status, json::object());
    if (!Status) {
      if (!LastStatus)
        LastStatus = Status;
      continue;
    }
    Target = Address;
    LastStatus = std::move(Status);
    if (memberOf(*LastStatus, "leader") == true)
      break;
  }
  if (!LastStatus || Name == query_name::Status)
    return LastStatus;
  return queryProcess(Target, Name, Arguments);
}

} // namespace acacianotch
