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

auto ctl_connection::query(std::string_view What, const json &Arguments)
    -> result<json> {
  if (auto Ready = ready(); !Ready)
    return Ready.error();
  const auto ToNode = Options.Node.valid();
  const auto Addresses = ToNode ? std::vector{Options.Node} : Options.Control;
  auto Last = failure::of(errc::no_quorum, "no address answered");
  for (const auto &Address : Addresses) {
    rpc_peer Peer(*State->Loop, Address, {});
    auto Client = Peer.as<wire::Admin>();
    if (!Client) {
      Last = Client.error();
      continue;
    }
    auto Request = Client->queryRequest();
    Request.setWhat(std::string(What).c_str());
    Request.setArguments(Arguments.dump().c_str());
    auto Promise = Request.send().then([](auto &&Response) {
      return query_reply{errcFromWire(Response.getError()),
                         toString(Response.getJson())};
    });
    const auto Reply = waitFor(*State->Loop, kj::mv(Promise), Options.Timeout);
    if (!Reply) {
      Last = Reply.error();
      continue;
    }
    if (Reply->Code != errc::ok)
      return failure::of(Reply->Code, Reply->Text);
    auto Value = json::parse(Reply->Text, nullptr, false);
    // Only the leader's view is certain; others may lag.
    const auto IsLeader =
        ToNode || What != "status" || Value.value("leader", false);
    if (IsLeader || &Address == &Addresses.back())
      return Value;
  }
  return Last;
}

} // namespace acacianotch
