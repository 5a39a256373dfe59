/// \file Periodic reads of the platform's list of backend servers.
#include "platform/instance_poller.h"

#include "core/log_func.h"
#include "platform/instance_codec.h"

namespace acacianotch::platform {

namespace {

/// A page normally arrives within milliseconds; a short timeout keeps a lost
/// connection from delaying the next read.
constexpr duration PageTimeout = std::chrono::milliseconds(700);
/// A page on a slow link takes less; a list that takes longer is outdated.
constexpr duration PageTimeLimit = std::chrono::seconds(2);
constexpr std::size_t MaxPageBytes = 1024ULL * 1024;
/// Interval of the checks whether this process should poll.
constexpr duration CheckInterval = std::chrono::milliseconds(200);
constexpr int StatusOk = 200;

} // namespace

instance_poller::instance_poller(event_loop &TheLoop, const address &Address,
                                 duration TheInterval, list_callback TheOnList)
    : Loop(TheLoop), Client(TheLoop, Address), Interval(TheInterval),
      OnList(std::move(TheOnList)), Timer(TheLoop.oneShot([this] { poll(); })) {
}

auto instance_poller::start(std::function<bool()> TheShouldPoll) -> void {
  ShouldPoll = std::move(TheShouldPoll);
  Timer->start(duration::zero());
}

auto instance_poller::poll() -> void {
  if (!ShouldPoll())
    return Timer->start(CheckInterval);
  Token.clear();
  Collected.clear();
  requestPage();
}

auto instance_poller::requestPage() -> void {
  http_call_options Options;
  Options.Method = "GET";
  Options.Target = instancePageTarget(Token);
  Options.SilenceLimit = PageTimeout;
  Options.TimeLimit = PageTimeLimit;
  Options.MaxBodyBytes = MaxPageBytes;
  http_call_events Events;
  Body.clear();
  Status = 0;
  Events.OnHead = [this](int Code, const http_headers &) { Status = Code; };
  Events.OnData = [this](std::string_view Data) { Body.append(Data); };
  Events.OnEnd = [this](const result<void> &Result) {
    // The call must not be destroyed inside its own callback.
    Loop.defer([this, Result] { handleEnd(Result); });
  };
  Call = Client.start(std::move(Options), std::move(Events));
}

auto instance_poller::handleEnd(const result<void> &Result) -> void {
  Call.reset();
  if (!Result)
    return handleFailure(Result.error().text());
  if (Status != StatusOk)
    return handleFailure("status " + std::to_string(Status));
  handlePage();
}

auto instance_poller::handlePage() -> void {
  auto Page = decodeInstancePage(Body);
  if (!Page)
    return handleFailure(Page.error().text());
  if (Page->Skipped > 0)
    logWarning(log_category::placement,
               "skipped unreadable entries of the list of backend servers",
               {{"entries", Page->Skipped}});
  std::move(Page->Backends.begin(), Page->Backends.end(),
            std::back_inserter(Collected));
  if (Page->Next) {
    Token = std::move(*Page->Next);
    return requestPage();
  }
  ListedAt = steady_clock::now();
  if (!std::exchange(Reachable, true))
    logInfo(log_category::placement,
            "the list of backend servers is available again");
  OnList(std::move(Collected));
  Collected.clear();
  Timer->start(Interval);
}

auto instance_poller::handleFailure(const std::string &Reason) -> void {
  if (std::exchange(Reachable, false))
    logWarning(log_category::placement,
               "cannot read the list of backend servers; keeping the last one",
               {{"reason", Reason}});
  Timer->start(Interval);
}

} // namespace acacianotch::platform
