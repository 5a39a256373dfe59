/// \file Control service: replicates commands and pushes the state to nodes.
#include "control/control_service.h"

#include "core/log_func.h"
#include "net/kj_func.h"
#include "node/crash_codec.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Logs a command that changes which availability zones take new work.
auto logEvacuation(const command &Command, log_index Index) -> void {
  if (const auto *Start = std::get_if<evacuate_zone>(&Command.Body))
    logInfo(log_category::control, "applied the evacuation of a zone",
            {{"zone", Start->Zone}, {"index", Index}});
  if (const auto *End = std::get_if<end_evacuation>(&Command.Body))
    logInfo(log_category::control, "applied the end of an evacuation",
            {{"zone", End->Zone}, {"index", Index}});
}

} // namespace

control_service::control_service(event_loop &TheLoop) : Loop(TheLoop) {
  Crashes.OnBlocked = [](const crash_attribution::cause &Cause) {
    logWarning(log_category::placement,
               "blocked a request, or a part of prompts, that crashes backend "
               "servers",
               {{"part", Cause.Part},
                {"crashes", Cause.Crashes},
                {"moments", Cause.Moments},
                {"begun_moments", Cause.Begun},
                {"prompts", Cause.Prompts}});
  };
  Crashes.OnReleased = [](part_id Part) {
    logInfo(log_category::placement,
            "released a blocked request or part of prompts", {{"part", Part}});
  };
  Crashes.OnCrash = [](const std::string &Server, std::size_t Known) {
    logInfo(log_category::placement,
            "a backend server broke off requests before or as it began to "
            "answer",
            {{"backend", Server}, {"crashes_known", Known}});
  };
}

auto control_service::open(event_loop &Loop,
                           const replica_host_options &Options)
    -> result<std::unique_ptr<control_service>> {
  std::unique_ptr<control_service> Service(new control_service(Loop));
  auto Host = replica_host::open(Loop, Options, Service->callbacks());
  if (!Host)
    return Host.error();
  Service->Host = std::move(Host).value();
  Service->Nodes = std::make_unique<subscriptions>(
      Loop, Service->State,
      [Self = Service.get()] { return Self->confirmedEpoch(); });
  Service->Nodes->Members = [Self = Service.get()] {
    std::vector<std::string> Addresses;
    for (const auto &Member : Self->Host->node().members().Members)
      Addresses.push_back(Member.Address);
    return Addresses;
  };
  return Service;
}

control_service::~control_service() = default;

auto control_service::start() -> void { Host->start(); }

auto control_service::callbacks() -> replica_callbacks {
  replica_callbacks Callbacks;
  Callbacks.Restore = [this](const snapshot &Snapshot) -> result<void> {
    if (Snapshot.Data->empty()) {
      State = {};
      State.skip(Snapshot.Index);
      return {};
    }
    auto Decoded = catalogue_state::decodeSnapshot(*Snapshot.Data);
    if (!Decoded)
      return Decoded.error();
    State = std::move(*Decoded);
    return {};
  };
  Callbacks.Apply = [this](const log_record &Record) { apply(Record); };
  Callbacks.Snapshot = [this] { return State.encodeSnapshot(); };
  Callbacks.RoleChanged = [this] { roleChanged(); };
  Callbacks.LeaseHeld = [this] { Nodes->sendUnconfirmed(); };
  return Callbacks;
}

auto control_service::refuse(errc Code) const -> command_result {
  return command_result::of(Code, Host->leaderAddress());
}

// The state machine takes its time from commands, so the time must not go back
// when a replica whose clock is behind becomes leader. While a replica leads,
// the steady clock advances it, because the system clock may jump.
auto control_service::nextTimeMs() -> std::uint64_t {
  const auto LeadingFor = steady_clock::now() - LeaderSince;
  const auto NowMs = StartMs + static_cast<std::uint64_t>(
                                   LeadingFor / std::chrono::milliseconds(1));
  return std::max(State.data().LogTimeMs, NowMs);
}

auto control_service::startLogClock() -> void {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto NowMs =
      static_cast<std::uint64_t>(Now / std::chrono::milliseconds(1));
  LeaderSince = steady_clock::now();
  StartMs = std::max(State.data().LogTimeMs, NowMs);
}

auto control_service::confirmedEpoch() const -> std::optional<epoch> {
  const auto Now = steady_clock::now();
  const auto &Node = Host->node();
  const auto Index = Node.confirmedIndex(Now);
  if (!Index || State.index() < *Index || !Node.leaseHeld(Now))
    return std::nullopt;
  return Node.fencingEpoch();
}

auto control_service::execute(std::string_view Bytes)
    -> kj::Promise<command_result> {
  auto Command = decodeCommand(Bytes);
  if (!Command)
    return command_result::of(Command.error().Code, Command.error().Detail);
  return execute(std::move(*Command));
}

auto control_service::execute(command Command) -> kj::Promise<command_result> {
  if (Host->node().role() != raft_role::leader) {
    ++Counters.Refused;
    return refuse(errc::not_leader);
  }
  Command.TimeMs = nextTimeMs();
  auto Checked = checkZone(Command);
  if (Checked.ok())
    Checked = State.test(Command);
  if (!Checked.ok()) {
    ++Counters.Refused;
    // A refusal reveals the state, so it needs a held lease as well.
    return confirmedEpoch() ? std::move(Checked) : refuse(errc::no_quorum);
  }
  const auto Position = Host->propose(encodeCommand(Command));
  if (!Position) {
    ++Counters.Refused;
    return command_result::of(Position.error().Code, Position.error().Detail);
  }
  ++Counters.Proposed;
  auto Pair = kj::newPromiseAndFulfiller<command_result>();
  Proposals[Position->Index] = {Position->Term, steady_clock::now(),
                                kj::mv(Pair.fulfiller)};
  return kj::mv(Pair.promise);
}

// The settings of one process decide here, not in the state machine, where all
// replicas must get the same result.
auto control_service::checkZone(const command &Command) const
    -> command_result {
  const std::string *Zone = nullptr;
  if (const auto *Start = std::get_if<evacuate_zone>(&Command.Body))
    Zone = &Start->Zone;
  if (const auto *End = std::get_if<end_evacuation>(&Command.Body))
    Zone = &End->Zone;
  if (Zone == nullptr || Zones.empty() ||
      State.data().Evacuations.contains(*Zone) ||
      std::find(Zones.begin(), Zones.end(), *Zone) != Zones.end())
    return {};
  return command_result::of(errc::unknown_entry,
                            "no availability zone " + *Zone);
}

auto control_service::apply(const log_record &Record) -> void {
  if (Record.Kind != record_kind::command) {
    State.skip(Record.Index);
    return;
  }
  ++Counters.Committed;
  const auto Before = State.currentRevision();
  auto Command = decodeCommand(Record.Payload);
  if (!Command) {
    // All replicas decode the same bytes, so all of them skip the record.
    logError(log_category::control, "skipped an unreadable command",
             {{"index", Record.Index}, {"error", Command.error().text()}});
    State.skip(Record.Index);
    completeProposal(Record, command_result::of(Command.error().Code));
    return;
  }
  completeProposal(Record, State.apply(*Command, Record.Index));
  if (OnApplied)
    OnApplied(commandName(*Command));
  if (State.currentRevision() == Before)
    return;
  logEvacuation(*Command, Record.Index);
  Loop.defer([this] { Nodes->push(); });
}

// The lease is checked after the command was applied: a leader that was paused
// in between may have been replaced.
auto control_service::completeProposal(const log_record &Record,
                                       command_result Result) -> void {
  const auto Found = Proposals.find(Record.Index);
  if (Found == Proposals.end())
    return;
  auto Proposal = std::move(Found->second);
  Proposals.erase(Found);
  const auto StillLeader = Proposal.Term == Record.Term &&
                           Host->node().leaseHeld(steady_clock::now());
  complete(Record.Index, Proposal,
           StillLeader ? std::move(Result) : refuse(errc::no_quorum));
}

auto control_service::complete(log_index Index, proposal &Proposal,
                               command_result Result) -> void {
  const auto Waited = steady_clock::now() - Proposal.ProposedAt;
  if (OnProposalDone)
    OnProposalDone(Waited);
  if (Result.Code == errc::no_quorum)
    logWarning(log_category::control, "a proposed command has no known result",
               {{"index", Index},
                {"term", Proposal.Term},
                {"current_term", Host->node().term()},
                {"error", errcRow(Result.Code).Name},
                {"waited_ms", Waited / std::chrono::milliseconds(1)}});
  Proposal.Fulfiller->fulfill(std::move(Result));
}

auto control_service::roleChanged() -> void {
  if (Host->node().role() == raft_role::leader) {
    startLogClock();
    Cold.restart(steady_clock::now());
    Nodes->push();
    return;
  }
  for (auto &[Index, Proposal] : Proposals)
    complete(Index, Proposal, refuse(errc::no_quorum));
  Proposals.clear();
  Nodes->endAll();
}

auto control_service::changeMembers(std::string_view Action, replica_id Id,
                                    std::string Address) -> result<void> {
  auto Position = [&]() -> result<log_position> {
    if (Action == "add_replica")
      return Host->addLearner(Id, std::move(Address));
    if (Action == "promote_replica")
      return Host->promote(Id);
    if (Action == "remove_replica")
      return Host->remove(Id);
    return failure::of(errc::bad_request, "unknown membership change");
  }();
  if (!Position)
    return Position.error();
  return {};
}

namespace {

/// RPC server of a control replica.
class control_server final : public wire::Control::Server {
public:
  explicit control_server(control_service &TheService) : Service(TheService) {}

  auto subscribe(SubscribeContext Context) -> kj::Promise<void> override {
    const auto Params = Context.getParams();
    // A leader without its lease either regains it soon or ends all
    // subscriptions when it steps down.
    if (Service.replica().node().role() != raft_role::leader) {
      fillLeader(Context.getResults());
      return kj::READY_NOW;
    }
    const auto Facts = Params.getFacts();
    node_status Row;
    Row.Id = toString(Facts.getNodeId());
    Row.Role = toString(Facts.getRole());
    Row.Zone = toString(Facts.getZone());
    Row.Backend = toString(Facts.getBackend());
    Row.StartedMs = Facts.getStartedAt();
    Context.allowCancellation();
    return Service.nodeSubscriptions().add(
        std::move(Row), revision{Params.getRevision()}, Params.getSink());
  }

  auto execute(ExecuteContext Context) -> kj::Promise<void> override {
    const auto Bytes = Context.getParams().getCommand();
    return Service
        .execute({reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()})
        .then([this, Context](const command_result &Result) mutable {
          auto Outcome = Context.getResults().initOutcome();
          Outcome.setError(static_cast<std::uint16_t>(Result.Code));
          Outcome.setDetail(Result.Detail.c_str());
          Outcome.setRevision(static_cast<std::uint64_t>(Result.Revision));
          Outcome.setLeader(Service.replica().leaderAddress().c_str());
          const auto Payload = json::to_cbor(Result.Payload);
          Outcome.setPayload({Payload.data(), Payload.size()});
        });
  }

  auto replicate(ReplicateContext Context) -> kj::Promise<void> override {
    const auto Bytes = Context.getParams().getMessage();
    Service.replica().receive(
        {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()});
    return kj::READY_NOW;
  }

  auto join(JoinContext Context) -> kj::Promise<void> override {
    const auto Params = Context.getParams();
    auto Grant = Context.getResults().initGrant();
    Grant.setLeader(Service.replica().leaderAddress().c_str());
    if (!Service.OnJoin) {
      Grant.setError(static_cast<std::uint16_t>(errc::not_allowed));
      return kj::READY_NOW;
    }
    const auto Answer =
        Service.OnJoin(toString(Params.getAddress()), Params.getToken(),
                       {Params.getReplica(), Params.getLeaving()});
    Grant.setError(static_cast<std::uint16_t>(Answer.Code));
    Grant.setDetail(Answer.Detail.c_str());
    Grant.setGroup(Answer.Grant.Group);
    Grant.setReplica(Answer.Grant.Replica);
    Grant.setRemoved(Answer.Grant.Removed);
    const auto &Members = Answer.Grant.Members;
    auto List = Grant.initMembers(static_cast<unsigned>(Members.size()));
    for (unsigned Index = 0; Index < List.size(); ++Index)
      List.set(Index, Members[Index].text().c_str());
    return kj::READY_NOW;
  }

  auto exchangeWork(ExchangeWorkContext Context) -> kj::Promise<void> override {
    auto Results = Context.getResults();
    const auto Epoch = Service.confirmedEpoch();
    Results.setAccepted(Epoch.has_value());
    if (!Epoch)
      return kj::READY_NOW;
    const auto Params = Context.getParams();
    const auto Count =
        std::min(Params.getServers().size(), Params.getWork().size());
    std::vector<server_work> Rows;
    for (unsigned Index = 0; Index < Count; ++Index)
      Rows.push_back({Params.getServers()[Index], Params.getWork()[Index]});
    const auto Now = steady_clock::now();
    const auto OtherRows = Service.workExchange().exchange(
        toString(Params.getNode()), std::move(Rows), Now);
    auto Servers = Results.initServers(static_cast<unsigned>(OtherRows.size()));
    auto Work = Results.initWork(static_cast<unsigned>(OtherRows.size()));
    for (unsigned Index = 0; Index < OtherRows.size(); ++Index) {
      Servers.set(Index, OtherRows[Index].Server);
      Work.set(Index, OtherRows[Index].Work);
    }
    std::vector<cold_server> Known;
    for (const auto Row : Params.getCold())
      Known.push_back({Row.getServer(), Row.getRequests()});
    const auto Shares = Service.coldShares().exchange(
        toString(Params.getNode()) + "#" + std::to_string(Params.getToken()),
        Params.getRate(), Known, Now);
    auto Cold = Results.initCold(static_cast<unsigned>(Shares.size()));
    for (unsigned Index = 0; Index < Shares.size(); ++Index) {
      Cold[Index].setServer(Shares[Index].Server);
      Cold[Index].setRequests(Shares[Index].Requests);
    }
    const auto Verdicts = Service.crashAttribution().exchange(
        readCrashReport(Params.getCrashes(), Now),
        static_cast<std::uint64_t>(*Epoch), Now);
    writeCrashVerdicts(Results.initVerdicts(), Verdicts);
    return kj::READY_NOW;
  }

  auto query(QueryContext Context) -> kj::Promise<void> override {
    const auto Params = Context.getParams();
    const auto Arguments =
        json::parse(toString(Params.getArguments()), nullptr, false);
    const auto Answer = Service.query(toString(Params.getWhat()), Arguments);
    auto Results = Context.getResults();
    if (!Answer) {
      Results.setError(static_cast<std::uint16_t>(Answer.error().Code));
      Results.setJson(Answer.error().Detail.c_str());
      return kj::READY_NOW;
    }
    Results.setJson(
        Answer->dump(-1, ' ', false, json::error_handler_t::replace).c_str());
    return kj::READY_NOW;
  }

private:
  auto fillLeader(SubscribeResults::Builder Results) -> void {
    Results.setLeader(Service.replica().leaderAddress().c_str());
    const auto &Members = Service.replica().node().members().Members;
    auto List = Results.initControl(static_cast<unsigned>(Members.size()));
    for (unsigned Index = 0; Index < List.size(); ++Index)
      List.set(Index, Members[Index].Address.c_str());
  }

  control_service &Service;
};

} // namespace

auto controlInterface(control_service &Service) -> wire::Control::Client {
  return kj::heap<control_server>(Service);
}

} // namespace acacianotch
