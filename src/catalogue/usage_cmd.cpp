/// \file Commands that record usage and lease budget.
#include "catalogue/command_func.h"
#include "catalogue/state_fields.h"

#include <algorithm>
#include <chrono>

namespace acacianotch {

namespace {

auto findLease(catalogue_data &Data, const std::string &Account,
               std::uint64_t Id) -> budget_lease * {
  const auto Place = Data.Leases.find(Account);
  if (Place == Data.Leases.end())
    return nullptr;
  for (auto &Lease : Place->second)
    if (Lease.Id == Id)
      return &Lease;
  return nullptr;
}

/// Usage that is recorded no longer counts as leased. The oldest lease of the
/// node pays first.
auto payFromLeases(catalogue_data &Data, const usage_record &Record) -> void {
  const auto Place = Data.Leases.find(Record.Account.Text);
  if (Place == Data.Leases.end())
    return;
  auto Left = Record.cost();
  for (auto &Lease : Place->second) {
    if (Lease.Holder != Record.Holder)
      continue;
    const auto Paid = std::min(Left, Lease.Amount);
    Lease.Amount -= Paid;
    Left -= Paid;
  }
}

auto addUsage(catalogue_data &Data, const command_context &Context,
              const usage_record &Record) -> void {
  auto &Total = Data.Usage[{Record.Account.Text, monthOf(Context.NowMs)}];
  Total.Cost += Record.cost();
  ++Total.Requests;
  Total.Attempts += Record.Attempts.size();
  for (const auto &Attempt : Record.Attempts) {
    if (!Attempt.Billed)
      continue;
    Total.InputTokens += Attempt.InputTokens;
    Total.OutputTokens += Attempt.OutputTokens;
  }
  payFromLeases(Data, Record);
  Data.Recorded.insert(Record.Request.Text, Context.NowMs);
}

/// \return the micro-units that the account may still lease.
auto budgetLeft(const catalogue_data &Data, const command_context &Context,
                const std::string &Account, std::uint64_t Limit)
    -> std::uint64_t {
  const auto Total = Data.Usage.find({Account, monthOf(Context.NowMs)});
  auto Taken = Total == Data.Usage.end() ? 0 : Total->second.Cost;
  const auto Leases = Data.Leases.find(Account);
  if (Leases != Data.Leases.end())
    for (const auto &Lease : Leases->second)
      if (Lease.UntilMs > Context.NowMs)
        Taken += Lease.Amount;
  return Taken >= Limit ? 0 : Limit - Taken;
}

/// A resent return must not give the same budget back twice.
auto takeBack(catalogue_data &Data, const lease_budget &Body) -> void {
  auto *Lease = findLease(Data, Body.Account.Text, Body.ReturnId);
  if (Lease == nullptr || Lease->Returned || Lease->Holder != Body.Holder)
    return;
  Lease->Amount -= std::min(Lease->Amount, Body.Returned);
  Lease->Returned = true;
}

auto dropEnded(catalogue_data &Data, const command_context &Context,
               const std::string &Account) -> void {
  const auto Place = Data.Leases.find(Account);
  if (Place == Data.Leases.end())
    return;
  std::erase_if(Place->second, [&](const budget_lease &Lease) {
    return Lease.UntilMs <= Context.NowMs || Lease.Amount == 0;
  });
  if (Place->second.empty())
    Data.Leases.erase(Place);
}

auto leasePayload(const command_context &Context, std::uint64_t Amount,
                  std::uint64_t Left) -> json {
  return {{"lease", Amount == 0 ? 0 : Context.Index},
          {"amount", Amount},
          {"lease_ms", BudgetLeaseMs},
          {"left", Left}};
}

} // namespace

auto monthOf(std::uint64_t TimeMs) -> std::uint32_t {
  // The calendar of the standard library ends at year 32767.
  constexpr std::uint64_t LastMs = 253402300799999; // End of year 9999.
  const auto Time = std::chrono::milliseconds(std::min(TimeMs, LastMs));
  const auto Day = std::chrono::floor<std::chrono::days>(
      std::chrono::sys_time<std::chrono::milliseconds>(Time));
  const std::chrono::year_month_day Date(Day);
  const auto Year = static_cast<std::uint32_t>(static_cast<int>(Date.year()));
  return Year * 100 + static_cast<unsigned>(Date.month());
}

auto execute(catalogue_data &Data, command_context &Context,
             const record_usage &Body) -> command_result {
  if (Context.DryRun)
    return {};
  std::uint64_t Recorded = 0;
  std::uint64_t Repeated = 0;
  auto TooOld = json::array();
  for (const auto &Record : Body.Records) {
    const auto Known = Data.Recorded.look(Record.Request.Text);
    if (Known == window_answer::repeated) {
      ++Repeated;
      continue;
    }
    if (Known == window_answer::too_old) {
      TooOld.push_back(Record.Request.Text);
      continue;
    }
    addUsage(Data, Context, Record);
    ++Recorded;
  }
  return command_result::of(errc::ok, {},
                            {{"recorded", Recorded},
                             {"repeated", Repeated},
                             {"too_old", std::move(TooOld)}});
}

/// One lease takes at most half of what is left, so that one node cannot hold
/// the whole rest of a budget while others reject.
auto execute(catalogue_data &Data, command_context &Context,
             const lease_budget &Body) -> command_result {
  const auto &Account = Body.Account.Text;
  const auto Entry = Data.Entries.find({entry_kind::account, Account});
  if (Entry == Data.Entries.end())
    return command_result::of(errc::unknown_entry, "account/" + Account);
  const auto Limit = std::get<account_body>(Entry->second.Body).SpendLimit;
  if (Context.DryRun)
    return {};
  takeBack(Data, Body);
  dropEnded(Data, Context, Account);
  const auto Left = budgetLeft(Data, Context, Account, Limit);
  const auto Amount = std::min(Body.Amount, Left / 2 + Left % 2);
  auto Payload = leasePayload(Context, Amount, Left - Amount);
  if (Amount == 0 && Body.Amount > 0)
    return command_result::of(errc::spend_limit, {}, std::move(Payload));
  if (Amount > 0)
    Data.Leases[Account].push_back({Context.Index, Body.Holder, Amount,
                                    Context.NowMs + BudgetLeaseMs, false});
  return command_result::of(errc::ok, {}, std::move(Payload));
}

} // namespace acacianotch
