/// \file Random commands for tests and benchmarks of the catalogue.
#pragma once

#include "catalogue_support.h"

#include "core/random_type.h"

namespace acacianotch::catalogue_test {

/// Makes commands over few names, so that they conflict and repeat.
class random_commands {
public:
  explicit random_commands(std::uint64_t Seed) : Random(Seed) {}

  /// Applies one random command; sometimes resends or restarts.
  auto step(cluster &Cluster) -> void {
    Cluster.NowMs += below(20) == 0 ? below(40'000) : below(300);
    if (Last && below(10) == 0) {
      Cluster.send(*Last);
      return;
    }
    Last = Cluster.make(body(Cluster));
    Cluster.send(*Last);
  }

  /// \return the last command sent; call step first.
  [[nodiscard]] auto last() const -> const command & { return Last.value(); }

  auto below(std::uint64_t Bound) -> std::uint64_t {
    return randomBelow(Random, Bound);
  }

private:
  auto name(const char *Prefix, std::uint64_t Count) -> std::string {
    return Prefix + std::to_string(below(Count));
  }

  auto held(const cluster &Cluster, const entry_key &Key) -> revision {
    const auto *Entry = Cluster.find(Key.Kind, Key.Name);
    return Entry && below(8) != 0 ? Entry->Revision : revision::none;
  }

  auto entry() -> model_entry {
    switch (below(4)) {
    case 0:
      return accountEntry(name("a", 5), below(1000));
    case 1:
      return backendEntry(name("b", 20), name("", 4));
    default: {
      auto Entry = versionEntry("m", name("", 4));
      std::get<version_body>(Entry.Body).InputCost = below(10);
      return Entry;
    }
    }
  }

  auto serving(const cluster &Cluster) -> std::string {
    const auto Version = servingVersion(Cluster.State.data(), "m");
    return Version.empty() ? name("", 4) : Version;
  }

  auto rolloutId(const cluster &Cluster) -> std::string {
    const auto Place = Cluster.State.data().Rollouts.find("m");
    return Place == Cluster.State.data().Rollouts.end() ? "m#0"
                                                        : Place->second.Id;
  }

  auto fingerprints() -> std::vector<fingerprint> {
    return {fingerprint{1 + below(6)}, fingerprint{7 + below(6)}};
  }

  auto body(const cluster &Cluster) -> command_body {
    switch (below(22)) {
    case 0:
    case 1:
    case 2: {
      auto Entry = entry();
      const auto Held = held(Cluster, Entry.key());
      return put_entry{std::move(Entry), Held, below(4) == 0};
    }
    case 3: {
      const auto Key = entry().key();
      return remove_entry{Key.Kind, Key.Name, held(Cluster, Key)};
    }
    case 4:
      return withdraw_version{{"m", name("", 4)}, "bad"};
    case 5:
      return start_rollout{
          "m", serving(Cluster), name("", 4), {{0.1, 0, 0}, {0.5, 0, 0}}, {}};
    case 6:
      return set_rollout_state{rolloutId(Cluster),
                               below(2) == 0 ? rollout_state::paused
                                             : rollout_state::aborted,
                               "stop",
                               {}};
    case 7:
      return advance_rollout{rolloutId(Cluster),
                             static_cast<std::uint32_t>(below(2))};
    case 8:
      return drain_backend{name("b", 20), below(2) == 0};
    case 9:
      return claim_request{account_id(name("a", 5)), name("k", 50), "d",
                           request_id(name("r-", 1000)), 20'000};
    case 10:
      return settle_request{account_id(name("a", 5)), name("k", 50),
                            request_id(name("r-", 1000)),
                            claim_outcome::not_run, std::nullopt};
    case 11:
      return lease_budget{account_id(name("a", 5)), "n1", below(50), 0, 0};
    case 12:
      return lift_quarantine{fingerprint{1 + below(12)}, "tried"};
    case 13:
      return publish_routing{below(50), {std::string("\xff", 1) + name("", 9)}};
    case 14:
      return start_service_rollout{name("s", 3), name("v", 3), 1000};
    case 15:
      return shift_service_rollout{name("s", 3), name("v", 3)};
    case 16:
      return end_service_rollout{name("s", 3), name("v", 3),
                                 below(2) == 0 ? rollout_state::aborted
                                               : rollout_state::done,
                                 "judged"};
    case 17:
      return report_service_evidence{
          name("s", 3),
          name("v", 3),
          name("g", 3),
          1 + below(9),
          {{version_arm::candidate, "r/0", below(9), below(3), 2, 1.5}},
          {below(40), below(40)}};
    case 18:
      return open_service_rollout{name("s", 3), name("v", 3)};
    case 19:
      return evacuate_zone{name("z", 3)};
    case 20:
      return end_evacuation{name("z", 3)};
    default:
      return report_crash{name("c", 40),
                          "b",
                          below(3) == 0,
                          fingerprints(),
                          {fingerprint{1 + below(6)}}};
    }
  }

  seeded_random Random;
  std::optional<command> Last;
};

} // namespace acacianotch::catalogue_test
