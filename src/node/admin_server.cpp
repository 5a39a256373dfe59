/// \file Admin server of a process: health, readiness, metrics and queries.
#include "node/admin_server.h"

#include "net/kj_func.h"
#include "node/resource_limits.h"

#include <acacianotch.capnp.h>

namespace acacianotch {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;

auto toText(const nlohmann::json &Value, int Indent) -> std::string {
  return Value.dump(Indent, ' ', false,
                    nlohmann::json::error_handler_t::replace);
}

class admin_interface final : public wire::Admin::Server {
public:
  explicit admin_interface(const admin_callbacks &TheCallbacks)
      : Callbacks(TheCallbacks) {}

  auto query(QueryContext Context) -> kj::Promise<void> override {
    const auto Params = Context.getParams();
    const auto Arguments =
        nlohmann::json::parse(toString(Params.getArguments()), nullptr, false);
    const auto Answer = Callbacks.Query(toString(Params.getWhat()), Arguments);
    auto Results = Context.getResults();
    if (Answer) {
      Results.setJson(toText(*Answer, -1).c_str());
      return kj::READY_NOW;
    }
    Results.setError(static_cast<std::uint16_t>(Answer.error().Code));
    Results.setJson(Answer.error().Detail.c_str());
    return kj::READY_NOW;
  }

private:
  const admin_callbacks &Callbacks;
};

} // namespace

auto admin_server::create(event_loop &Loop, const node_settings &Node,
                          const admin_settings &Settings,
                          const rpc_options &RpcOptions,
                          admin_callbacks Callbacks)
    -> result<std::unique_ptr<admin_server>> {
  std::unique_ptr<admin_server> Server(new admin_server(std::move(Callbacks)));
  auto Http = http_server::create(
      Loop, Settings.Listen, adminServerOptions(Node),
      [Raw = Server.get()](const std::shared_ptr<http_exchange> &Exchange) {
        Raw->handle(*Exchange);
      });
  if (!Http)
    return Http.error();
  Server->Http = std::move(Http).value();
  Server->countDropped(*Server->Http, "admin");
  if (!Settings.RpcListen.valid())
    return Server;
  auto Rpc = rpc_server::create(Loop, Settings.RpcListen,
                                kj::heap<admin_interface>(Server->Callbacks),
                                RpcOptions);
  if (!Rpc)
    return Rpc.error();
  Server->Rpc = std::move(Rpc).value();
  return Server;
}

auto admin_server::countDropped(const http_server &Server, std::string Port)
    -> void {
  DropSources.push_back({&Server, std::move(Port), {}});
  updateDropped();
}

auto admin_server::updateDropped() -> void {
  for (auto &[Server, Port, Counted] : DropSources) {
    const auto &Now = Server->dropped();
    const auto Add = [&, &Label = Port](const char *Reason,
                                        std::uint64_t Count) {
      Metrics
          .counter(metric::dropped_connections,
                   {{"port", Label}, {"reason", Reason}})
          .Increment(static_cast<double>(Count));
    };
    Add("memory", Now.Memory - Counted.Memory);
    Add("connections", Now.Connections - Counted.Connections);
    Counted = Now;
  }
}

auto admin_server::handle(http_exchange &Exchange) -> void {
  const auto Path = Exchange.path();
  const http_headers Plain = {{"Content-Type", "text/plain"}};
  if (Path == "/healthz")
    return Exchange.reply(HttpOk, Plain, "ok\n");
  if (Path == "/readyz") {
    const auto Ready = Callbacks.Ready();
    const auto Text = Ready ? "ready" : Ready.error().text();
    return Exchange.reply(Ready ? HttpOk : HttpUnavailable, Plain, Text + "\n");
  }
  if (Path == "/metrics") {
    if (Callbacks.UpdateMetrics)
      Callbacks.UpdateMetrics(Metrics);
    updateDropped();
    return Exchange.reply(HttpOk, Plain, Metrics.text());
  }
  if (Path != "/dump")
    return Exchange.reply(HttpNotFound, Plain, "no such page\n");
  const auto Dump = Callbacks.Query("dump", nlohmann::json::object());
  const auto Text = Dump ? toText(*Dump, 2) : Dump.error().text();
  Exchange.reply(Dump ? HttpOk : HttpUnavailable,
                 {{"Content-Type", "application/json"}}, Text + "\n");
}

} // namespace acacianotch
