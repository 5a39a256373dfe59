/// \file Set-up and main loop of the entry role.
#include "entry/entry_role.h"

#include "core/file_func.h"
#include "entry/backend_prober.h"
#include "entry/entry_service.h"
#include "entry/request_task.h"
#include "node/admin_server.h"
#include "node/log_query.h"
#include "node/node_link.h"
#include "node/resource_limits.h"
#include "node/role_func.h"
#include "node/shutdown.h"

#include <random>

namespace acacianotch {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(50);
constexpr duration LeaseRequestTimeout = std::chrono::seconds(3);

auto poolSettings(const entry_settings &Settings) -> pool_settings {
  pool_settings Pools;
  Pools.Placement.Subset.MinSize =
      static_cast<std::uint32_t>(Settings.SubsetSize);
  Pools.RetryShare = Settings.RetryBudgetShare;
  Pools.Hedging.BudgetShare = Settings.HedgeBudgetShare;
  return Pools;
}

/// Components of an entry process, connected to each other.
class entry_process {
public:
  entry_process(event_loop &TheLoop, const settings &Settings,
                const session_signer &Sessions, length_predictor Predictor)
      : Lengths(std::move(Predictor)),
        Control(TheLoop, Settings.Control.Addresses, rpcOptions(Settings)),
        Link(TheLoop, Control, View,
             {node_id(Settings.Node.Id), "entry", Settings.Node.Zone, ""}),
        Pools(node_id(Settings.Node.Id), zone_id(Settings.Node.Zone),
              std::random_device{}(), poolSettings(Settings.Entry)),
        Agents(TheLoop, rpcOptions(Settings)),
        Usage(TheLoop, Control, Settings.Node.Id),
        Budgets(
            [this](const command &Command) {
              return Control.execute(Command, LeaseRequestTimeout);
            },
            Settings.Node.Id),
        Routes(std::random_device{}()),
        Ratings(TheLoop, Settings.Entry.RatingAddress),
        Context{TheLoop,
                View,
                Pools,
                Agents,
                Control,
                Usage,
                Budgets,
                Routes,
                Ratings,
                Lengths,
                Sessions,
                {Settings.Http.MaxBodyBytes, Settings.Entry.DefaultDeadline},
                Settings.Node.Id,
                {}},
        Service(Context), Prober({TheLoop, Pools, Agents, View}),
        Ticker(TheLoop.repeating([this] {
          Pools.tick();
          Prober.tick();
        })) {
    Link.onChange([this] { Pools.applyCatalogue(View); });
  }

  auto start() -> void {
    Link.start();
    Ticker->start(TickInterval);
  }
  auto service() -> entry_service & { return Service; }
  auto stopAccepting() -> void {
    Stopping = true;
    Service.stopAccepting();
  }
  [[nodiscard]] auto idle() const -> bool {
    return Service.openRequests() == 0 && Usage.pending() == 0;
  }

  [[nodiscard]] auto ready() const -> result<void> {
    return nodeReady(View, Stopping);
  }

  [[nodiscard]] auto query(std::string_view Name, const json &Arguments)
      -> result<json> {
    if (Name == "log_level")
      return queryLogLevel(Arguments);
    if (Name != "status" && Name != "dump")
      return failure::of(errc::bad_request,
                         "unknown query " + std::string(Name));
    const auto &Counters = Context.Counters;
    json Answer = {
        {"role", "entry"},
        {"revision", static_cast<std::uint64_t>(View.currentRevision())},
        {"epoch", static_cast<std::uint64_t>(View.currentEpoch())},
        {"ready", View.ready()},
        {"fresh", View.fresh(steady_clock::now())},
        {"open", Service.openRequests()},
        {"unsettled_usage", Usage.pending()},
        {"accepted", Counters.Accepted},
        {"completed", Counters.Completed},
        {"not_run", Counters.NotRun},
        {"may_have_run", Counters.MayHaveRun},
        {"caller_left", Counters.CallerLeft},
        {"retries", Counters.Retries},
        {"hedges", Counters.Hedges},
        {"claims", Counters.Claims},
        {"escalations", Counters.Escalations},
        {"cascades", Routes.cascades()}};
    if (Name == "dump")
      Answer["pools"] = poolRows();
    return Answer;
  }

private:
  [[nodiscard]] auto poolRows() -> json {
    json Rows = json::array();
    for (const auto &[Name, Pool] : Pools.pools()) {
      const auto &Load = Pool->Placement.load();
      Rows.push_back({{"name", Name},
                      {"members", Pool->Members.size()},
                      {"eligible", Load.Backends},
                      {"slots", Load.Slots},
                      {"load", Load.Load},
                      {"ejected", Pool->Outlier.ejected()}});
    }
    return Rows;
  }

  length_predictor Lengths;
  catalogue_view View;
  leader_client Control;
  node_link Link;
  pool_set Pools;
  agent_connections Agents;
  usage_reporter Usage;
  budget_manager Budgets;
  route_planner Routes;
  rating_client Ratings;
  entry_context Context;
  entry_service Service;
  backend_prober Prober;
  std::unique_ptr<loop_timer> Ticker;
  bool Stopping = false;
};

} // namespace

auto runEntry(const settings &Settings) -> result<void> {
  const auto Secret = readSecretFile(Settings.Node.SecretFile);
  if (!Secret)
    return Secret.error();
  const auto Sessions = session_signer::create(Secret->reveal());
  if (!Sessions)
    return Sessions.error();
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  auto Lengths = length_predictor::create({});
  if (!Lengths)
    return Lengths.error();
  entry_process Process(**Loop, Settings, *Sessions, std::move(*Lengths));
  const auto Http =
      http_server::create(**Loop, Settings.Http.Listen,
                          entryServerOptions(Settings.Node, Settings.Http),
                          [&](const std::shared_ptr<http_exchange> &Exchange) {
                            Process.service().handle(Exchange);
                          });
  if (!Http)
    return Http.error();
  admin_callbacks Callbacks;
  Callbacks.Ready = [&] { return Process.ready(); };
  Callbacks.Query = [&](std::string_view Name, const json &Arguments) {
    return Process.query(Name, Arguments);
  };
  const auto Admin = admin_server::create(**Loop, Settings.Node, Settings.Admin,
                                          rpcOptions(Settings), Callbacks);
  if (!Admin)
    return Admin.error();
  (*Admin)->countDropped(**Http, "callers");
  const graceful_shutdown Shutdown(
      **Loop, Settings.ShutdownDeadline,
      [&] {
        Process.stopAccepting();
        (*Http)->stopAccepting();
      },
      [&] { return Process.idle() && (*Http)->openExchanges() == 0; });
  Process.start();
  (*Loop)->run();
  return {};
}

} // namespace acacianotch
