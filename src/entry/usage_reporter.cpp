/// \file Sends usage records to the control leader until they are stored.
#include "entry/usage_reporter.h"

#include "core/log_func.h"

namespace acacianotch {

namespace {

constexpr duration FlushInterval = std::chrono::milliseconds(100);
constexpr duration CommandTimeout = std::chrono::seconds(5);
constexpr std::size_t MaxBatch = 256;

} // namespace

usage_reporter::usage_reporter(event_loop &Loop, leader_client &TheClient,
                               std::string TheIssuer)
    : Client(TheClient), Issuer(std::move(TheIssuer)),
      Timer(Loop.repeating([this] { flush(); })) {
  Timer->start(FlushInterval);
}

auto usage_reporter::add(usage_record Record) -> void {
  Queued.push_back(std::move(Record));
}

auto usage_reporter::flush() -> void {
  if (Call.running() || (Queued.empty() && InFlight.empty()))
    return;
  while (!Queued.empty() && InFlight.size() < MaxBatch) {
    InFlight.push_back(std::move(Queued.front()));
    Queued.pop_front();
  }
  command Command;
  Command.Issuer = Issuer;
  Command.Body = record_usage{InFlight};
  Call.start(Client.execute(Command, CommandTimeout),
             [this](const command_result &Result) { handleResult(Result); });
}

auto usage_reporter::handleResult(const command_result &Result) -> void {
  if (Result.ok()) {
    InFlight.clear();
    return;
  }
  // A malformed batch is rejected every time. Retrying it would block all later
  // records.
  if (Result.Code == errc::bad_request) {
    logError(log_category::entry,
             "dropped usage records rejected by the control leader",
             {{"error", Result.Detail}, {"records", InFlight.size()}});
    InFlight.clear();
    return;
  }
  logWarning(log_category::entry, "failed to store usage records, retrying",
             {{"error", Result.Detail}, {"records", InFlight.size()}});
}

} // namespace acacianotch
