#include "soak/ledger.h"

namespace acacianotch::soak {

auto ledger::recordRequest(const std::string &Id, bool Idempotent) -> void {
  const std::lock_guard Guard(Lock);
  Requests[Id] = Idempotent;
}

auto ledger::recordRefusal(const std::string &Id) -> void {
  const std::lock_guard Guard(Lock);
  Refused.insert(Id);
}

auto ledger::recordAnswer() -> void {
  const std::lock_guard Guard(Lock);
  ++Answered;
}

auto ledger::recordViolation(const std::string &Guarantee,
                             const std::string &Detail) -> void {
  const std::lock_guard Guard(Lock);
  Violations.push_back(Guarantee + ": " + Detail);
}

auto ledger::checkRuns(const std::map<std::string, int> &Runs) -> void {
  const std::lock_guard Guard(Lock);
  for (const auto &[Id, Count] : Runs) {
    const auto Request = Requests.find(Id);
    if (Request == Requests.end()) {
      Violations.push_back("only sent requests run: " + Id);
      continue;
    }
    if (Request->second)
      continue;
    if (Count > 1)
      Violations.push_back("non-idempotent work runs once: " + Id + " ran " +
                           std::to_string(Count) + " times");
    if (Refused.contains(Id))
      Violations.push_back("a refusal that says not run is true: " + Id);
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

auto ledger::violations() const -> std::vector<std::string> {
  const std::lock_guard Guard(Lock);
  return Violations;
}

} // namespace acacianotch::soak
