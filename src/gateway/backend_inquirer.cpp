/// \file Asks backend servers for reports of their own work.
#include "gateway/backend_inquirer.h"

#include "platform/report_codec.h"

namespace acacianotch {

namespace {

/// A report needs no slot and comes within some milliseconds; a server that
/// takes this long sends nothing to anybody.
constexpr duration AnswerLimit = std::chrono::milliseconds(300);
constexpr int Success = 200;

} // namespace

auto backend_inquirer::ask(const address &Address, callback Callback) -> void {
  const auto Key = Address.text();
  auto &Inquiry = Inquiries[Key];
  Inquiry.Waiting.push_back(std::move(Callback));
  if (Inquiry.Call != nullptr)
    return;
  ++Calls;
  Inquiry.Client = std::make_unique<http_client>(Loop, Address);
  http_call_options Options;
  Options.Method = "GET";
  Options.Target = platform::ReportTarget;
  Options.SilenceLimit = AnswerLimit;
  http_call_events Events;
  Events.OnHead = [&Inquiry](int Status, const http_headers &) {
    Inquiry.Status = Status;
  };
  Events.OnData = [&Inquiry](std::string_view Data) {
    Inquiry.Body.append(Data);
  };
  Events.OnEnd = [this, Key](const result<void> &Result) {
    // The call must not be freed while it reports its end.
    Loop.defer([this, Key, Result, Guard = std::weak_ptr(Alive)] {
      if (Guard.lock())
        handleEnd(Key, Result);
    });
  };
  Inquiry.Call = Inquiry.Client->start(std::move(Options), std::move(Events));
}

auto backend_inquirer::handleEnd(const std::string &Key,
                                 const result<void> &Result) -> void {
  const auto Ended = std::move(Inquiries[Key]);
  Inquiries.erase(Key);
  auto Report = [&]() -> result<backend_report> {
    if (!Result)
      return failure::of(errc::backend_unreachable, Result.error().Detail);
    if (Ended.Status != Success)
      return failure::of(errc::bad_request,
                         "status " + std::to_string(Ended.Status));
    return platform::decodeReport(Ended.Body);
  }();
  for (const auto &Callback : Ended.Waiting)
    Callback(Report);
}

} // namespace acacianotch
