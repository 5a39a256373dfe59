/// \file The backend servers that a gateway knows, in pools by service.
#include "gateway/backend_directory.h"

#include "core/log_func.h"

#include <algorithm>
#include <set>

namespace acacianotch {

namespace {

/// First time without new work after a failed connection; it doubles up to the
/// longest, which is about what a crashed backend server needs to start again.
constexpr duration FirstSuspension = std::chrono::milliseconds(500);
constexpr duration MaxSuspension = std::chrono::seconds(4);
/// Attempts without a whole answer in a row that suspend a backend server; lost
/// answers are spread, those of a dark server follow each other.
constexpr std::uint32_t MaxFailures = 3;
/// A working model engine sends the tokens of some request at least this often:
/// a step with a chunk of the longest prompt takes a tenth of it.
constexpr duration DarkTime = std::chrono::seconds(1);
/// Idle connections kept to one backend server.
constexpr std::size_t MaxIdle = 32;

constexpr std::string_view ServingSuffix = "/serving";
constexpr std::string_view CandidateSuffix = "/candidate";

auto armKey(const std::string &Service, version_arm Arm) -> std::string {
  return Service + std::string(Arm == version_arm::candidate ? CandidateSuffix
                                                             : ServingSuffix);
}

/// Servers of one pool that a gateway uses. Up to this size all gateways agree
/// on where a prompt is cached; above, what they exchange stays bounded.
constexpr std::uint32_t MaxServers = 96;
/// Makes the subset as large as MaxServers, whatever the number of gateways.
constexpr std::uint32_t ManyEntries = 1U << 16U;

auto placementSettings() -> placement_settings {
  placement_settings Settings;
  Settings.Subset.MinSize = MaxServers;
  Settings.Subset.SpillSize = 0;
  Settings.Subset.Entries = ManyEntries;
  // A prompt holds up the tokens of all requests beside it, so a cached prefix
  // is worth a few more requests than elsewhere, not half of the slots.
  Settings.AffinityFreeLoad = 0.06;
  Settings.AffinityLoadFactor = 1.5;
  return Settings;
}

} // namespace

backend_directory::backend_directory(event_loop &TheLoop, node_id TheNode,
                                     zone_id TheZone, std::uint64_t Seed)
    : Loop(TheLoop), Node(std::move(TheNode)), Zone(std::move(TheZone)),
      Random(Seed) {}

auto backend_directory::follow(std::vector<backend_record> Listed) -> void {
  std::set<std::string> Present;
  auto Changed = !std::exchange(Known, true);
  for (auto &Record : Listed) {
    Present.insert(Record.Id);
    auto &Place = Backends[Record.Id];
    const auto NewLife =
        Place != nullptr && (Place->Record.StartedMs != Record.StartedMs ||
                             Place->Record.Address != Record.Address);
    if (NewLife)
      remove(*Place);
    if (Place == nullptr || NewLife) {
      Place = std::make_unique<known_backend>();
      logInfo(log_category::placement, "backend server listed",
              {{"backend", Record.Id},
               {"service", Record.Service},
               {"address", Record.Address.text()},
               {"version", Record.Version}});
    } else if (!Place->Record.Leaving && Record.Leaving) {
      logInfo(log_category::placement, "backend server is leaving",
              {{"backend", Record.Id}, {"service", Record.Service}});
    }
    Record.Leaving = Record.Leaving || (!NewLife && Place->Record.Leaving);
    if (Place->Record == Record)
      continue;
    Changed = true;
    Place->Record = std::move(Record);
    const auto &Facts = Place->Record;
    Place->Handle = Board.put({backend_id(Facts.Id), zone_id(Facts.Zone),
                               Facts.Slots, Facts.Leaving});
    Place->Key = serverKey(Facts.Id);
    ByHandle[Place->Handle] = Place.get();
  }
  for (auto Place = Backends.begin(); Place != Backends.end();) {
    if (Present.contains(Place->first)) {
      ++Place;
      continue;
    }
    logInfo(log_category::placement, "backend server is no longer listed",
            {{"backend", Place->first}});
    remove(*Place->second);
    Place = Backends.erase(Place);
    Changed = true;
  }
  if (Changed)
    rebuildPools();
}

auto backend_directory::remove(known_backend &Backend) -> void {
  if (Backend.Suspended)
    Board.restore(Backend.Handle);
  for (const auto &Channel : Backend.Idle)
    Channel->cancel();
  ByHandle.erase(Backend.Handle);
  Board.remove(backend_id(Backend.Record.Id));
}

auto backend_directory::followRollouts(const catalogue_view &View) -> void {
  Rollouts = {View.serviceRollouts().begin(), View.serviceRollouts().end()};
  rebuildPools();
}

auto backend_directory::poolKey(const backend_record &Record) const
    -> std::string {
  const auto Place = Rollouts.find(Record.Service);
  if (Place == Rollouts.end())
    return armKey(Record.Service, version_arm::serving);
  const auto &Rollout = Place->second;
  const auto IsTarget = Record.Version == Rollout.To;
  // After a completed rollout the predecessor is stopped at once; after an
  // aborted one the new version must get nothing more.
  if (Rollout.State == rollout_state::done)
    return IsTarget ? armKey(Record.Service, version_arm::serving) : "";
  return armKey(Record.Service,
                IsTarget ? version_arm::candidate : version_arm::serving);
}

auto backend_directory::rebuildPools() -> void {
  std::map<std::string, std::vector<backend_handle>> Lists;
  for (const auto &[Key, Pool] : Pools)
    Lists[Key];
  for (const auto &[Id, Backend] : Backends)
    if (const auto Key = poolKey(Backend->Record); !Key.empty())
      Lists[Key].push_back(Backend->Handle);
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

auto backend_directory::pool(const std::string &Service, version_arm Arm)
    -> backend_pool * {
  const auto Place = Pools.find(armKey(Service, Arm));
  if (Place == Pools.end() || Place->second->Members.empty())
    return nullptr;
  return Place->second.get();
}

auto backend_directory::runningRollout(const std::string &Service) const
    -> const service_rollout * {
  const auto Place = Rollouts.find(Service);
  const auto Running =
      Place != Rollouts.end() && Place->second.State == rollout_state::running;
  return Running ? &Place->second : nullptr;
}

auto backend_directory::armOf(const known_backend &Backend) const
    -> version_arm {
  const auto Place = Rollouts.find(Backend.Record.Service);
  const auto IsNew =
      Place != Rollouts.end() && Place->second.To == Backend.Record.Version;
  return IsNew ? version_arm::candidate : version_arm::serving;
}

auto backend_directory::find(backend_handle Handle) -> known_backend * {
  const auto Place = ByHandle.find(Handle);
  return Place == ByHandle.end() ? nullptr : Place->second;
}

auto backend_directory::channel(known_backend &Backend)
    -> result<std::shared_ptr<backend_channel>> {
  const auto Now = steady_clock::now();
  while (!Backend.Idle.empty()) {
    auto Channel = std::move(Backend.Idle.back());
    Backend.Idle.pop_back();
    if (Channel->reusable(Now))
      return Channel;
    Channel->cancel();
  }
  return backend_channel::connect(Loop, Backend.Record.Address);
}

auto backend_directory::keep(backend_handle Handle,
                             std::shared_ptr<backend_channel> Channel) -> void {
  auto *Backend = find(Handle);
  const auto Useful = Backend != nullptr && Backend->Idle.size() < MaxIdle &&
                      Channel->reusable(steady_clock::now());
  if (Useful)
    Backend->Idle.push_back(std::move(Channel));
  else
    Channel->cancel();
}

auto backend_directory::suspend(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend == nullptr)
    return;
  auto Time = FirstSuspension;
  for (std::uint32_t Step = 0; Step < Backend->Suspensions; ++Step)
    Time = std::min(2 * Time, MaxSuspension);
  ++Backend->Suspensions;
  Backend->Failures = 0;
  Backend->SuspendedUntil = steady_clock::now() + Time;
  for (const auto &Channel : Backend->Idle)
    Channel->cancel();
  Backend->Idle.clear();
  if (std::exchange(Backend->Suspended, true))
    return;
  Board.eject(Handle);
  logWarning(
      log_category::placement, "backend server is suspended",
      {{"backend", Backend->Record.Id}, {"service", Backend->Record.Service}});
}

auto backend_directory::noteGone(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend == nullptr || Backend->Record.Leaving)
    return;
  Backend->Record.Leaving = true;
  const auto &Facts = Backend->Record;
  Board.put({backend_id(Facts.Id), zone_id(Facts.Zone), Facts.Slots, true});
  logInfo(log_category::placement, "backend server was replaced",
          {{"backend", Facts.Id}, {"service", Facts.Service}});
}

auto backend_directory::noteProgress(backend_handle Handle) -> void {
  if (auto *Backend = find(Handle))
    Backend->LastByteAt = steady_clock::now();
}

auto backend_directory::dark(backend_handle Handle, time_point Since) -> bool {
  const auto *Backend = find(Handle);
  return Backend == nullptr ||
         steady_clock::now() - std::max(Backend->LastByteAt, Since) > DarkTime;
}

auto backend_directory::noteFailure(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend != nullptr && ++Backend->Failures >= MaxFailures)
    suspend(Handle);
}

auto backend_directory::noteSuccess(backend_handle Handle) -> void {
  if (auto *Backend = find(Handle)) {
    Backend->Failures = 0;
    Backend->Suspensions = 0;
  }
}

auto backend_directory::servers(const std::string &Service) const -> double {
  double Sum = 0;
  for (const auto Arm : {version_arm::serving, version_arm::candidate})
    if (const auto Place = Pools.find(armKey(Service, Arm));
        Place != Pools.end())
      Sum += static_cast<double>(Place->second->Members.size());
  return Sum;
}

auto backend_directory::usedServers() const -> std::vector<used_server> {
  std::vector<used_server> Servers;
  for (const auto &[Key, Pool] : Pools)
    for (const auto Handle : Pool->Placement.subset().members())
      if (const auto Place = ByHandle.find(Handle); Place != ByHandle.end())
        Servers.push_back({Place->second->Key, Place->second->Suspended});
  return Servers;
}

auto backend_directory::suspended() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Backends.begin(), Backends.end(),
                    [](const auto &Row) { return Row.second->Suspended; }));
}

auto backend_directory::tick() -> void {
  const auto Now = steady_clock::now();
  for (auto &[Id, Backend] : Backends) {
    std::erase_if(Backend->Idle, [&](const auto &Channel) {
      const auto Useless = !Channel->reusable(Now);
      if (Useless)
        Channel->cancel();
      return Useless;
    });
    if (!Backend->Suspended || Now < Backend->SuspendedUntil)
      continue;
    Backend->Suspended = false;
    Board.restore(Backend->Handle);
    logInfo(log_category::placement, "backend server is used again",
            {{"backend", Id}});
  }
}

} // namespace acacianotch
