/// \file Requests reports of backend servers on their own work.
#include "gateway/backend_report_client.h"

#include "platform/report_codec.h"
#include "platform/request_codec.h"

namespace acacianotch {

namespace {

/// A report needs no slot and comes within a few milliseconds. A server that
/// takes this long has stalled for all requests.
constexpr duration AnswerTimeout = std::chrono::milliseconds(300);
constexpr std::size_t MaxReportBytes = 256ULL * 1024;
constexpr int Success = 200;

} // namespace

auto backend_report_client::requestReport(const address &Address,
                                          callback Callback) -> void {
  const auto Key = Address.text();
  auto &PendingRequest = PendingRequests[Key];
  PendingRequest.Callbacks.push_back(std::move(Callback));
  if (PendingRequest.Call != nullptr)
    return;
  ++Calls;
  PendingRequest.Client = std::make_unique<http_client>(Loop, Address);
  http_call_options Options;
  Options.Method = "GET";
  Options.Target = platform::ReportTarget;
  Options.SilenceLimit = AnswerTimeout;
  Options.TimeLimit = AnswerTimeout;
  Options.MaxBodyBytes = MaxReportBytes;
  http_call_events Events;
  Events.OnHead = [&PendingRequest](int Status, const http_headers &Headers) {
    PendingRequest.Status = Status;
    PendingRequest.Leaving = platform::statesLeaving(Headers);
  };
  Events.OnData = [&PendingRequest](std::string_view Data) {
    PendingRequest.Body.append(Data);
  };
  Events.OnEnd = [this, Key](const result<void> &Result) {
    // Deferred, because the call must not be destroyed inside its own callback.
    Loop.defer([this, Key, Result, Guard = std::weak_ptr(Alive)] {
      if (Guard.lock())
        handleEnd(Key, Result);
    });
  };
  PendingRequest.Call =
      PendingRequest.Client->start(std::move(Options), std::move(Events));
}

auto backend_report_client::handleEnd(const std::string &Key,
                                      const result<void> &Result) -> void {
  const auto Completed = std::move(PendingRequests[Key]);
  PendingRequests.erase(Key);
  const auto Report = [&]() -> result<backend_report> {
    if (!Result)
      return failure::of(errc::backend_unreachable, Result.error().Detail);
    if (Completed.Status != Success && Completed.Leaving) {
      backend_report Statement;
      Statement.Leaving = true;
      return Statement;
    }
    if (Completed.Status != Success)
      return failure::of(errc::bad_request,
                         "status " + std::to_string(Completed.Status));
    auto Decoded = platform::decodeReport(Completed.Body);
    if (Decoded)
      Decoded->Leaving = Completed.Leaving;
    return Decoded;
  }();
  for (const auto &Callback : Completed.Callbacks)
    Callback(Report);
}

} // namespace acacianotch
