/// \file Sends usage records to control until they are stored.
#include "entry/usage_reporter.h"

#include "core/log_func.h"

namespace acacianotch {

namespace {

constexpr duration FlushInterval = std::chrono::milliseconds(100);
constexpr duration CommandLimit = std::chrono::seconds(5);
constexpr std::size_t MaxBatch = 256;

} // namespace

usage_reporter::usage_reporter(event_loop &Loop, leader_client &TheClient,
                               std::string TheIssuer)
    : Client(TheClient), Issuer(std::move(TheIssuer)),
      Timer(Loop.repeating([this] { flush(); })) {
  Timer->start(FlushInterval);
}

auto usage_reporter::add(usage_record Record) -> void {
  Waiting.push_back(std::move(Record));
}

auto usage_reporter::flush() -> void {
  if (Call.running() || (Waiting.empty() && InFlight.empty()))
    return;
  while (!Waiting.empty() && InFlight.size() < MaxBatch) {
    InFlight.push_back(std::move(Waiting.front()));
    Waiting.pop_front();
  }
  command Command;
  Command.Issuer = Issuer;
  Command.Body = record_usage{InFlight};
  Call.start(Client.execute(Command, CommandLimit),
             [this](const command_result &Result) { handleResult(Result); });
}

auto usage_reporter::handleResult(const command_result &Result) -> void {
  if (Result.ok()) {
    InFlight.clear();
    return;
  }
  // Control will never take a malformed batch; repeating it for ever would hold
  // back all later records.
  if (Result.Code == errc::bad_request) {
    logError(log_category::entry, "dropped usage that control rejects",
             {{"error", Result.Detail}, {"records", InFlight.size()}});
    InFlight.clear();
    return;
  }
  logWarning(log_category::entry, "usage is not stored yet",
             {{"error", Result.Detail}, {"records", InFlight.size()}});
}

} // namespace acacianotch
