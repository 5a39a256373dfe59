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
      callerLeft();
  });
  if (Request.Version.Model.empty())
    proceed();
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
        proceed();
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

auto request_task::proceed() -> void {
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
      dispatch_events{
          [this](std::string_view Data, std::function<void()> OnTaken) {
            deliver(Data, std::move(OnTaken));
          },
          [this](dispatch_end End) { finish(std::move(End)); }});
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

auto request_task::deliver(std::string_view Data, std::function<void()> OnTaken)
    -> void {
  if (!Streaming) {
    Streaming = true;
    auto Headers = replyHeaders();
    Headers.emplace_back("Content-Type", "text/event-stream");
    Headers.emplace_back("Cache-Control", "no-store");
    Exchange->startStream(HttpOk, Headers);
  }
  keepForRating(Data);
  Exchange->writeChunk(Data, std::move(OnTaken));
}

auto request_task::finish(dispatch_end End) -> void {
  Context.Counters.Retries +=
      End.Attempts - End.Hedges - (End.Attempts ? 1 : 0);
  Context.Counters.Hedges += End.Hedges;
  release(End.Error ? duration::zero() : steady_clock::now() - StartedAt);
  if (FirstAnswer)
    afterSecondAnswer(std::move(End));
  else if (End.Error)
    conclude(std::move(End));
  else
    afterFirstAnswer(std::move(End));
}

auto request_task::conclude(dispatch_end End) -> void {
  if (Claimed)
    settleThenReply(std::move(End));
  else
    reply(End);
}

auto request_task::reply(const dispatch_end &End) -> void {
  if (End.Error) {
    replyFailure(*End.Error, End.RetryAfter);
    return;
  }
  ++Context.Counters.Completed;
  recordUsage();
  if (Streaming)
    Exchange->endStream();
  else
    replyWhole(End);
  done();
}

auto request_task::replyWhole(const dispatch_end &End) -> void {
  auto Headers = replyHeaders();
  if (!End.ContentType.empty())
    Headers.emplace_back("Content-Type", End.ContentType);
  Headers.emplace_back(VerdictHeader, "ran");
  Exchange->reply(End.HttpStatus, Headers, End.Body);
}

auto request_task::replyFailure(const failure &Failure, duration RetryAfter)
    -> void {
  auto &Counter = Failure.Verdict == verdict::not_run
                      ? Context.Counters.NotRun
                      : Context.Counters.MayHaveRun;
  ++Counter;
  release(duration::zero());
  if (Streaming) {
    // The error event tells what happened; the missing end marker and the
    // broken connection tell clients that ignore it.
    Exchange->writeChunk("data: " + errorBody(Failure) + "\n\n",
                         [Held = Exchange] { Held->abort(); });
  } else {
    replyError(*Exchange, Failure, RetryAfter,
               {{"X-Request-Id", Request.Id.Text}});
  }
  done();
}

// Work that must not run twice goes on, so that its outcome can be stored for
// the caller's resend.
auto request_task::callerLeft() -> void {
  if (Done || Left)
    return;
  Left = true;
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
