/// \file One caller's request from admission to its answer.
#include "entry/request_task.h"

#include "entry/api_reply.h"
#include "entry/request_id_func.h"

namespace acacianotch {

namespace {

constexpr int HttpOk = 200;

} // namespace

request_task::request_task(entry_context &TheContext,
                           std::shared_ptr<http_exchange> TheExchange,
                           const model_entry &AccountEntry,
                           std::function<void()> TheOnDone)
    : Context(TheContext), Exchange(std::move(TheExchange)),
      Account(AccountEntry.Name),
      AccountBody(std::get<account_body>(AccountEntry.Body)),
      OnDone(std::move(TheOnDone)), StartedAt(steady_clock::now()) {
  Request.Id = newRequestId();
  Request.Account = Account;
  Request.AccountWeight = AccountBody.Weight;
}

request_task::~request_task() { *Alive = false; }

auto request_task::start() -> void {
  Request.Body = Exchange->body();
  if (Request.Body.size() > Context.Limits.MaxBodyBytes) {
    replyFailure(failure::of(errc::body_too_large,
                             "at most " +
                                 std::to_string(Context.Limits.MaxBodyBytes) +
                                 " bytes"),
                 duration::zero());
    return;
  }
  const auto Prepared = prepare();
  if (!Prepared) {
    replyFailure(Prepared.error(), duration::zero());
    return;
  }
  if (!admit())
    return;
  ++Context.Counters.Accepted;
  Exchange->onClosed([this, Guard = Alive] {
    if (*Guard)
      handleCallerDisconnect();
  });
  if (Request.Version.Model.empty())
    claimOrRun();
  else
    reserveBudget();
}

auto request_task::reserveBudget() -> void {
  const auto Cost = expectedCost();
  Context.Budgets.reserve(
      Account, Cost, [this, Guard = Alive, Cost](const result<void> &Outcome) {
        if (!*Guard) {
          return;
        }
        if (!Outcome) {
          replyFailure(Outcome.error(), duration::zero());
          return;
        }
        Reserved = Cost;
        claimOrRun();
      });
}

auto request_task::admit() -> bool {
  if (Pool == nullptr) {
    replyFailure(failure::of(errc::no_backend), duration::zero());
    return false;
  }
  const auto Remaining = Request.Deadline - steady_clock::now();
  const auto Admission = Pool->Admission.admit(
      {Account, Request.Long, Remaining}, Pool->Placement.load());
  if (!Admission.ok()) {
    replyFailure(Admission.error(), Admission.RetryAfter);
    return false;
  }
  Admitted = true;
  return true;
}

auto request_task::claimOrRun() -> void {
  if (Key.empty())
    run();
  else
    claim();
}

auto request_task::run() -> void {
  Dispatch = std::make_unique<dispatch>(
      dispatch_context{Context.Loop, Context.Pools, Context.Agents,
                       Context.View},
      *Pool, Request,
      dispatch_callbacks{
          [this](std::string_view Data, std::function<void()> OnSent) {
            deliver(Data, std::move(OnSent));
          },
          [this](dispatch_result Result) { finish(std::move(Result)); }});
  Dispatch->start();
}

auto request_task::replyHeaders() -> http_headers {
  http_headers Headers = {{"X-Request-Id", Request.Id.Text}};
  if (!Request.Version.Model.empty())
    Headers.emplace_back("X-Model-Version", Request.Version.text());
  if (!Session)
    return Headers;
  if (auto Token = Context.Sessions.issue(*Session))
    Headers.emplace_back("X-Session-Token", std::move(*Token));
  return Headers;
}

auto request_task::deliver(std::string_view Data, std::function<void()> OnSent)
    -> void {
  if (!Streaming) {
    Streaming = true;
    auto Headers = replyHeaders();
    Headers.emplace_back("Content-Type", "text/event-stream");
    Headers.emplace_back("Cache-Control", "no-store");
    Exchange->startStream(HttpOk, Headers);
  }
  bufferForRating(Data);
  Exchange->writeChunk(Data, std::move(OnSent));
}

auto request_task::finish(dispatch_result Result) -> void {
  Context.Counters.Retries +=
      Result.Attempts - Result.Hedges - (Result.Attempts ? 1 : 0);
  Context.Counters.Hedges += Result.Hedges;
  release(Result.Error ? duration::zero() : steady_clock::now() - StartedAt);
  if (FirstAnswer)
    handleSecondAnswer(std::move(Result));
  else if (Result.Error)
    settleOrReply(std::move(Result));
  else
    handleFirstAnswer(std::move(Result));
}

auto request_task::settleOrReply(dispatch_result Result) -> void {
  if (Claimed)
    settleThenReply(std::move(Result));
  else
    reply(Result);
}

auto request_task::reply(const dispatch_result &Result) -> void {
  if (Result.Error) {
    replyFailure(*Result.Error, Result.RetryAfter);
    return;
  }
  ++Context.Counters.Completed;
  recordUsage();
  if (Streaming)
    Exchange->endStream();
  else
    replyBuffered(Result);
  done();
}

auto request_task::replyBuffered(const dispatch_result &Result) -> void {
  auto Headers = replyHeaders();
  if (!Result.ContentType.empty())
    Headers.emplace_back("Content-Type", Result.ContentType);
  Headers.emplace_back(VerdictHeader, "ran");
  Exchange->reply(Result.HttpStatus, Headers, Result.Body);
}

auto request_task::replyFailure(const failure &Failure, duration RetryAfter)
    -> void {
  auto &Counter = Failure.Verdict == verdict::not_run
                      ? Context.Counters.NotRun
                      : Context.Counters.MayHaveRun;
  ++Counter;
  release(duration::zero());
  if (Streaming) {
    // The event describes the error. Clients that ignore it detect the failure
    // by the missing end marker and the aborted connection.
    Exchange->writeChunk("data: " + errorBody(Failure) + "\n\n",
                         [Stream = Exchange] { Stream->abort(); });
  } else {
    replyError(*Exchange, Failure, RetryAfter,
               {{"X-Request-Id", Request.Id.Text}});
  }
  done();
}

// A request that is not idempotent continues, so that its outcome can be stored
// for a retry by the caller.
auto request_task::handleCallerDisconnect() -> void {
  if (Done || CallerDisconnected)
    return;
  CallerDisconnected = true;
  ++Context.Counters.CallerLeft;
  if (!Request.Idempotent)
    return;
  Context.Loop.defer([Old = std::shared_ptr<dispatch>(std::move(Dispatch))] {});
  release(duration::zero());
  done();
}

auto request_task::release(duration Response) -> void {
  if (!Admitted || Pool == nullptr)
    return;
  Admitted = false;
  Pool->Admission.finished(Account, Request.Long, Response);
}

auto request_task::done() -> void {
  if (Done)
    return;
  Done = true;
  settleBudget();
  OnDone();
}

} // namespace acacianotch
