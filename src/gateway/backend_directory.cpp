/// \file The backend servers known to a gateway, in pools by service and arm.
#include "gateway/backend_directory.h"

#include "core/log_func.h"

#include <algorithm>
#include <set>

namespace acacianotch {

namespace {

/// Duration of the first suspension. It doubles with each consecutive one up to
/// MaxSuspension, about the restart time of a crashed backend server.
constexpr duration FirstSuspension = std::chrono::milliseconds(500);
constexpr duration MaxSuspension = std::chrono::seconds(4);
/// Consecutive attempts without a complete answer that suspend a backend
/// server. Occasional lost answers are not consecutive; those of a stalled
/// server are.
constexpr std::uint32_t MaxFailures = 3;
/// A working model engine sends tokens of some request at least this often: a
/// generation step with a chunk of the longest prompt takes a tenth of it.
constexpr duration StallTimeout = std::chrono::seconds(1);
/// Idle connections kept for one backend server.
constexpr std::size_t MaxIdleChannels = 32;

constexpr std::string_view ServingSuffix = "/serving";
constexpr std::string_view CandidateSuffix = "/candidate";

/// Backend servers of one pool that a gateway uses. In pools up to this size,
/// all gateways agree on the home server of a prompt; in larger ones, the limit
/// bounds the data that they exchange.
constexpr std::uint32_t PoolSubsetSize = 96;
/// Number of gateways passed to the subset algorithm, high enough for a subset
/// of PoolSubsetSize whatever their actual number is.
constexpr std::uint32_t AssumedGateways = 1U << 16U;

auto placementSettings() -> placement_settings {
  placement_settings Settings;
  Settings.Subset.MinSize = PoolSubsetSize;
  Settings.Subset.SpillSize = 0;
  Settings.Subset.Entries = AssumedGateways;
  // A prompt delays the tokens of all other requests at its server, so a cached
  // prefix justifies a few more requests than elsewhere, but not half of the
  // slots.
  Settings.AffinityFreeLoad = 0.06;
  Settings.AffinityLoadFactor = 1.5;
  return Settings;
}

} // namespace

auto backend_directory::armKey(const std::string &Service, version_arm Arm)
    -> std::string {
  return Service + std::string(Arm == version_arm::candidate ? CandidateSuffix
                                                             : ServingSuffix);
}

backend_directory::backend_directory(event_loop &TheLoop, node_id TheNode,
                                     zone_id TheZone, std::uint64_t Seed)
    : Loop(TheLoop), Node(std::move(TheNode)), Zone(std::move(TheZone)),
      Random(Seed) {}

auto backend_directory::applyList(std::vector<backend_record> Listed) -> void {
  const auto Now = steady_clock::now();
  std::set<std::string> Present;
  const auto IsFirstList = !std::exchange(HasList, true);
  auto Changed = IsFirstList;
  for (auto &Record : Listed) {
    Present.insert(Record.Id);
    auto &Backend = Backends[Record.Id];
    const auto IsNewInstance =
        Backend != nullptr && (Backend->Record.StartedMs != Record.StartedMs ||
                               Backend->Record.Address != Record.Address);
    if (IsNewInstance)
      remove(*Backend);
    const auto IsNew = Backend == nullptr || IsNewInstance;
    if (IsNew) {
      Backend = std::make_unique<known_backend>();
      logInfo(log_category::placement, "backend server listed",
              {{"backend", Record.Id},
               {"service", Record.Service},
               {"address", Record.Address.text()},
               {"version", Record.Version}});
    } else if (!Backend->Record.Leaving && Record.Leaving) {
      logInfo(log_category::placement, "backend server is leaving",
              {{"backend", Record.Id}, {"service", Record.Service}});
    }
    const server_instance Instance{Record.Id, Record.StartedMs};
    Intake.recordListed(Instance, Now);
    Record.Leaving = Record.Leaving ||
                     (!IsNewInstance && Backend->Record.Leaving) ||
                     Intake.state(Instance, Now) == intake_state::leaving;
    if (Backend->Record == Record)
      continue;
    Changed = true;
    Backend->Record = std::move(Record);
    const auto &Facts = Backend->Record;
    Backend->Handle = Board.put({backend_id(Facts.Id), zone_id(Facts.Zone),
                                 Facts.Slots, Facts.Leaving});
    Backend->Key = serverKey(Facts.Id);
    ByHandle[Backend->Handle] = Backend.get();
    applyColdRule(*Backend);
    if (IsNew && !IsFirstList)
      recordPossibleStart(*Backend, Now);
    updateIntake(*Backend);
  }
  for (auto Iterator = Backends.begin(); Iterator != Backends.end();) {
    if (Present.contains(Iterator->first)) {
      ++Iterator;
      continue;
    }
    logInfo(log_category::placement, "backend server is no longer listed",
            {{"backend", Iterator->first}});
    Cold.release(Iterator->second->Key);
    remove(*Iterator->second);
    Iterator = Backends.erase(Iterator);
    Changed = true;
  }
  if (Changed)
    rebuildPools();
}

auto backend_directory::remove(known_backend &Backend) -> void {
  if (Backend.Suspended)
    Board.restore(Backend.Handle);
  if (Backend.IntakeClosed)
    Board.restore(Backend.Handle);
  for (const auto &Channel : Backend.IdleChannels)
    Channel->cancel();
  ByHandle.erase(Backend.Handle);
  Board.remove(backend_id(Backend.Record.Id));
}

auto backend_directory::applyCatalogue(const catalogue_view &View) -> void {
  Rollouts = {View.serviceRollouts().begin(), View.serviceRollouts().end()};
  applyEvacuations(View);
  rebuildPools();
}

// The end of an evacuation that this gateway missed counts as one that it saw,
// except at its start, when the list has just been read.
auto backend_directory::applyEvacuations(const catalogue_view &View) -> void {
  EvacuatedZones.clear();
  for (const auto &[Zone, Evacuation] : View.evacuations()) {
    if (Evacuation.Active)
      EvacuatedZones.insert(Zone);
    const auto Known = Evacuations.find(Zone);
    const auto IsNew = Known == Evacuations.end();
    if (!IsNew && Known->second == Evacuation)
      continue;
    if (Evacuation.Active)
      closeUnusedChannels(Zone);
    else if (!IsNew)
      markZoneCold(Zone);
    logInfo(log_category::placement,
            Evacuation.Active ? "a zone is evacuated"
                              : "the evacuation of a zone has ended",
            {{"zone", Zone},
             {"since_ms", Evacuation.ChangedMs},
             {"revision", static_cast<std::uint64_t>(View.currentRevision())}});
  }
  Evacuations = {View.evacuations().begin(), View.evacuations().end()};
}

auto backend_directory::closeUnusedChannels(const std::string &Zone) -> void {
  for (const auto &[Id, Backend] : Backends)
    if (Backend->Record.Zone == Zone)
      closeUnusedChannels(*Backend);
}

// Idle servers may have been started anew during the evacuation, and the list
// shows it late.
auto backend_directory::markZoneCold(const std::string &Zone) -> void {
  const auto Now = steady_clock::now();
  for (const auto &[Id, Backend] : Backends)
    if (Backend->Record.Zone == Zone)
      recordPossibleStart(*Backend, Now);
}

auto backend_directory::evacuatedWholly(const std::string &Service) const
    -> bool {
  auto Listed = false;
  for (const auto &[Id, Backend] : Backends) {
    const auto &Record = Backend->Record;
    if (Record.Service != Service || Record.Leaving)
      continue;
    if (!EvacuatedZones.contains(Record.Zone))
      return false;
    Listed = true;
  }
  return Listed;
}

auto backend_directory::servicesRunningFrom() const -> std::set<std::string> {
  std::set<std::string> Services;
  for (const auto &[Id, Backend] : Backends) {
    const auto &Record = Backend->Record;
    const auto Found = Rollouts.find(Record.Service);
    if (!Record.Leaving && !EvacuatedZones.contains(Record.Zone) &&
        Found != Rollouts.end() && Record.Version == Found->second.From)
      Services.insert(Record.Service);
  }
  return Services;
}

auto backend_directory::poolKey(const backend_record &Record,
                                bool FromRuns) const -> std::string {
  if (EvacuatedZones.contains(Record.Zone))
    return "";
  const auto Found = Rollouts.find(Record.Service);
  if (Found == Rollouts.end())
    return armKey(Record.Service, version_arm::serving);
  const auto &Rollout = Found->second;
  const auto IsCandidate = Record.Version == Rollout.To;
  // After a completed rollout the predecessor is stopped at once, so its
  // servers get no more work. After an aborted rollout the candidate must get
  // none.
  if (Rollout.State == rollout_state::done)
    return IsCandidate ? armKey(Record.Service, version_arm::serving) : "";
  if (IsCandidate)
    return armKey(Record.Service, version_arm::candidate);
  return Rollout.precededBy(Record.Version, FromRuns)
             ? armKey(Record.Service, version_arm::serving)
             : "";
}

auto backend_directory::rebuildPools() -> void {
  const auto RunFrom = servicesRunningFrom();
  std::map<std::string, std::vector<backend_handle>> Lists;
  for (const auto &[Key, Pool] : Pools)
    Lists[Key];
  for (const auto &[Id, Backend] : Backends)
    if (const auto Key =
            poolKey(Backend->Record, RunFrom.contains(Backend->Record.Service));
        !Key.empty())
      Lists[Key].push_back(Backend->Handle);
  for (const auto &[Service, Rollout] : Rollouts)
    if (Rollout.State == rollout_state::running && !Rollout.Shifted &&
        Rollout.Load.Servers > 0)
      limitCandidates(Lists[armKey(Service, version_arm::candidate)],
                      Rollout.Load.Servers);
  for (auto &[Key, Members] : Lists) {
    auto &Pool = Pools[Key];
    if (Pool == nullptr)
      Pool = std::make_unique<backend_pool>(Clock, Random, Board, Node, Zone,
                                            placementSettings());
    if (Pool->Members == Members)
      continue;
    Pool->Members = Members;
    Pool->Placement.update(std::move(Members));
  }
}

// The order by key is the same on all gateways, so that all use the same
// servers.
auto backend_directory::limitCandidates(std::vector<backend_handle> &Members,
                                        std::size_t Limit) const -> void {
  std::erase_if(Members, [this](backend_handle Handle) {
    return ByHandle.at(Handle)->Record.Leaving;
  });
  std::sort(Members.begin(), Members.end(),
            [this](backend_handle Left, backend_handle Right) {
              return ByHandle.at(Left)->Key < ByHandle.at(Right)->Key;
            });
  if (Limit < Members.size())
    Members.resize(Limit);
}

auto backend_directory::pool(const std::string &Service, version_arm Arm)
    -> backend_pool * {
  const auto Found = Pools.find(armKey(Service, Arm));
  if (Found == Pools.end() || Found->second->Members.empty())
    return nullptr;
  return Found->second.get();
}

auto backend_directory::runningRollout(const std::string &Service) const
    -> const service_rollout * {
  const auto Found = Rollouts.find(Service);
  const auto Running =
      Found != Rollouts.end() && Found->second.State == rollout_state::running;
  return Running ? &Found->second : nullptr;
}

auto backend_directory::armOf(const known_backend &Backend) const
    -> version_arm {
  const auto Found = Rollouts.find(Backend.Record.Service);
  const auto IsCandidate =
      Found != Rollouts.end() && Found->second.To == Backend.Record.Version;
  return IsCandidate ? version_arm::candidate : version_arm::serving;
}

auto backend_directory::find(backend_handle Handle) -> known_backend * {
  const auto Found = ByHandle.find(Handle);
  return Found == ByHandle.end() ? nullptr : Found->second;
}

auto backend_directory::acquireChannel(known_backend &Backend)
    -> result<std::shared_ptr<backend_channel>> {
  const auto Now = steady_clock::now();
  while (!Backend.IdleChannels.empty()) {
    auto Channel = std::move(Backend.IdleChannels.back());
    Backend.IdleChannels.pop_back();
    if (Channel->reusable(Now))
      return Channel;
    Channel->cancel();
  }
  auto Opened = backend_channel::connect(Loop, Backend.Record.Address);
  if (!Opened)
    return Opened;
  std::erase_if(Backend.NewChannels, [](const auto &Weak) {
    const auto Channel = Weak.lock();
    return Channel == nullptr || !Channel->connecting();
  });
  Backend.NewChannels.push_back(*Opened);
  (*Opened)->onConnected([this, Key = Backend.Key](time_point StartedAt) {
    Cold.recordConnected(Key, StartedAt, steady_clock::now());
  });
  (*Opened)->onHead([this, Handle = Backend.Handle](const answer_facts &Facts) {
    recordStatements(Handle, Facts);
  });
  return Opened;
}

auto backend_directory::releaseChannel(backend_handle Handle,
                                       std::shared_ptr<backend_channel> Channel)
    -> void {
  auto *Backend = find(Handle);
  const auto Reusable = Backend != nullptr && !Backend->Record.Leaving &&
                        Backend->IdleChannels.size() < MaxIdleChannels &&
                        Channel->reusable(steady_clock::now());
  if (Reusable)
    Backend->IdleChannels.push_back(std::move(Channel));
  else
    Channel->cancel();
}

auto backend_directory::suspend(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend == nullptr)
    return;
  Backend->Displaced = false;
  auto Suspension = FirstSuspension;
  for (std::uint32_t Count = 0; Count < Backend->Suspensions; ++Count)
    Suspension = std::min(2 * Suspension, MaxSuspension);
  ++Backend->Suspensions;
  Backend->Failures = 0;
  Backend->SuspendedUntil = steady_clock::now() + Suspension;
  recordPossibleStart(*Backend, Backend->SuspendedUntil);
  for (const auto &Channel : Backend->IdleChannels)
    Channel->cancel();
  Backend->IdleChannels.clear();
  if (std::exchange(Backend->Suspended, true))
    return;
  Board.eject(Handle);
  logWarning(
      log_category::placement, "backend server is suspended",
      {{"backend", Backend->Record.Id}, {"service", Backend->Record.Service}});
}

auto backend_directory::markLeaving(known_backend &Backend) -> void {
  Backend.Record.Leaving = true;
  const auto &Facts = Backend.Record;
  Board.put({backend_id(Facts.Id), zone_id(Facts.Zone), Facts.Slots, true});
}

auto backend_directory::recordProgress(backend_handle Handle) -> void {
  if (auto *Backend = find(Handle))
    Backend->LastByteAt = steady_clock::now();
}

auto backend_directory::stalled(backend_handle Handle, time_point Since)
    -> bool {
  const auto *Backend = find(Handle);
  return Backend == nullptr ||
         steady_clock::now() - std::max(Backend->LastByteAt, Since) >
             StallTimeout;
}

auto backend_directory::recordFailure(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend != nullptr && ++Backend->Failures >= MaxFailures)
    suspend(Handle);
}

// Answers that were under way at the same time count once.
auto backend_directory::recordExcessiveAnswer(backend_handle Handle) -> void {
  const auto *Backend = find(Handle);
  if (Backend != nullptr && !Backend->Suspended)
    suspend(Handle);
}

auto backend_directory::recordSuccess(backend_handle Handle) -> void {
  if (auto *Backend = find(Handle)) {
    Backend->Failures = 0;
    Backend->Suspensions = 0;
  }
}

auto backend_directory::serverCount(const std::string &Service) const
    -> double {
  double Count = 0;
  for (const auto Arm : {version_arm::serving, version_arm::candidate})
    if (const auto Found = Pools.find(armKey(Service, Arm));
        Found != Pools.end())
      Count += static_cast<double>(Found->second->Members.size());
  return Count;
}

auto backend_directory::usedServers() const -> std::vector<used_server> {
  std::vector<used_server> Servers;
  for (const auto &[Key, Pool] : Pools)
    for (const auto Handle : Pool->Placement.subset().members())
      if (const auto Found = ByHandle.find(Handle); Found != ByHandle.end())
        Servers.push_back({Found->second->Key, Found->second->Suspended});
  return Servers;
}

auto backend_directory::suspendedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Backends.begin(), Backends.end(),
                    [](const auto &Row) { return Row.second->Suspended; }));
}

auto backend_directory::tick() -> void {
  const auto Now = steady_clock::now();
  Intake.forgetUnlisted(Now);
  Cold.forgetReleased(Now);
  for (auto &[Id, Backend] : Backends) {
    std::erase_if(Backend->IdleChannels, [&](const auto &Channel) {
      const auto Unusable = !Channel->reusable(Now);
      if (Unusable)
        Channel->cancel();
      return Unusable;
    });
    updateIntake(*Backend);
    logCold(*Backend, Now);
    if (!Backend->Suspended || Now < Backend->SuspendedUntil)
      continue;
    endSuspension(*Backend);
  }
}

auto backend_directory::endSuspension(known_backend &Backend) -> void {
  Backend.Suspended = false;
  Backend.Displaced = false;
  Board.restore(Backend.Handle);
  logInfo(log_category::placement, "backend server is no longer suspended",
          {{"backend", Backend.Record.Id}});
}

} // namespace acacianotch
