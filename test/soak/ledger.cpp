#include "soak/ledger.h"

namespace acacianotch::soak {

auto ledger::sent(const std::string &Id, bool MayRepeat) -> void {
  const std::lock_guard Guard(Lock);
  Requests[Id] = MayRepeat;
}

auto ledger::refused(const std::string &Id) -> void {
  const std::lock_guard Guard(Lock);
  Refused.insert(Id);
}

auto ledger::answered() -> void {
  const std::lock_guard Guard(Lock);
  ++Answered;
}

auto ledger::broken(const std::string &Promise, const std::string &Detail)
    -> void {
  const std::lock_guard Guard(Lock);
  Breaks.push_back(Promise + ": " + Detail);
}

auto ledger::checkRuns(const std::map<std::string, int> &Runs) -> void {
  const std::lock_guard Guard(Lock);
  for (const auto &[Id, Count] : Runs) {
    const auto Request = Requests.find(Id);
    if (Request == Requests.end()) {
      Breaks.push_back("only sent requests run: " + Id);
      continue;
    }
    if (Request->second)
      continue;
    if (Count > 1)
      Breaks.push_back("non-idempotent work runs once: " + Id + " ran " +
                       std::to_string(Count) + " times");
    if (Refused.contains(Id))
      Breaks.push_back("a refusal that says not run is true: " + Id);
  }
}

auto ledger::requests() const -> std::size_t {
  const std::lock_guard Guard(Lock);
  return Requests.size();
}

auto ledger::answers() const -> std::size_t {
  const std::lock_guard Guard(Lock);
  return Answered;
}

auto ledger::refusals() const -> std::size_t {
  const std::lock_guard Guard(Lock);
  return Refused.size();
}

auto ledger::breaks() const -> std::vector<std::string> {
  const std::lock_guard Guard(Lock);
  return Breaks;
}

} // namespace acacianotch::soak
