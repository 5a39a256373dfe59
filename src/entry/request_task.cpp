/// \file One caller's request from admission to its answer.
#include "entry/request_task.h"

#include "catalogue/command_fields.h"
#include "core/log_func.h"
#include "entry/api_reply.h"
#include "entry/caller_auth.h"
#include "entry/request_id_func.h"
#include "entry/version_choice.h"

#include <xxhash.h>

#include <charconv>

namespace acacianotch {

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::uint64_t LongWorkTokens = 2000;
constexpr duration ClaimLimit = std::chrono::seconds(3);
constexpr duration SettleLimit = std::chrono::seconds(30);
constexpr duration SettleWait = std::chrono::seconds(1);
constexpr std::uint32_t ClaimLeaseMs = 300'000;
constexpr std::size_t MaxStoredAnswerBytes = 64ULL * 1024;
constexpr int HttpOk = 200;
constexpr std::uint64_t TokensPerPrice = 1000;

auto hashOf(std::string_view Text) -> std::uint64_t {
  return XXH3_64bits(Text.data(), Text.size());
}

auto parseMilliseconds(const std::string &Text)
    -> std::optional<std::uint32_t> {
  std::uint32_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Value == 0)
    return std::nullopt;
  return Value;
}

auto contains(const std::vector<std::string> &List, const std::string &Value)
    -> bool {
  return std::find(List.begin(), List.end(), Value) != List.end();
}

auto startsWith(const std::string &Text, const std::string &Prefix) -> bool {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

auto unixSeconds() -> std::uint64_t {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(Now / std::chrono::seconds(1));
}

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
  const auto IsService =
      startsWith(Exchange->path(), std::string(ServicePrefix));
  const auto Prepared = IsService ? prepareService() : prepareChat();
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
  proceed();
}

auto request_task::prepareChat() -> result<void> {
  auto Parsed = chat_request::parse(Request.Body);
  if (!Parsed)
    return Parsed.error();
  Chat = std::move(Parsed).value();
  Request.Path = "/v1/chat/completions";
  Request.ContentType = "application/json";
  Request.Streamed = Chat.Streamed;
  Request.HideUsage = !Chat.IncludeUsage;
  Request.AffinityKey = Chat.PrefixHash;
  Request.Fingerprint =
      hashOf(Account.Text + "\n" + Request.Path + "\n" + Request.Body);
  Key = Exchange->header("Idempotency-Key").value_or("");
  Request.Idempotent = Key.empty();
  Digest = sha256Hex(Request.Path + "\n" + Request.Body);
  if (auto Chosen = chooseVersion(); !Chosen)
    return Chosen;
  Pool = Context.Pools.find(Request.Version);
  Request.Body = Chat.bodyFor(Request.Version.text());
  return checkSuspicion();
}

// A session keeps the version in its token; other requests get the cheapest
// candidate.
auto request_task::chooseVersion() -> result<void> {
  const auto &View = Context.View;
  if (const auto Token = Exchange->header("X-Session-Token")) {
    auto Claims = Context.Sessions.admit(
        *Token, [&](const version_ref &Ref) { return !View.active(Ref); });
    if (!Claims)
      return Claims.error();
    if (!namesVersion(View, Chat.Model, Claims->Version))
      return failure::of(errc::invalid_session_token,
                         "the session belongs to another model");
    if (auto Checked = checkVersion(View, AccountBody, Claims->Version);
        !Checked)
      return Checked;
    Session = *Claims;
    Request.AffinityKey = hashOf(Session->Session);
  }
  const auto SessionId = Session ? Session->Session : newRequestId().Text;
  auto Choice = resolveModel(View, AccountBody, Chat.Model, hashOf(SessionId));
  if (!Choice && !Session)
    return Choice.error();
  const auto Version = Session ? Session->Version : Choice->Candidates.front();
  if (!View.fresh(steady_clock::now(), Version))
    return failure::of(errc::stale_catalogue);
  Request.Version = Version;
  if (!Session)
    Session = session_claims{SessionId, Version, unixSeconds()};
  const auto Class = Exchange->header("X-Request-Class");
  if (auto Applied = applyClass(Class.value_or(Choice ? Choice->Class : ""));
      !Applied)
    return Applied;
  Request.Long = Request.Long || Chat.MaxTokens.value_or(0) > LongWorkTokens;
  return {};
}

auto request_task::prepareService() -> result<void> {
  const auto Path = Exchange->path().substr(ServicePrefix.size());
  const auto Slash = std::min(Path.find('/'), Path.size());
  Request.Service = Path.substr(0, Slash);
  Request.Path = Exchange->target().substr(ServicePrefix.size() + Slash);
  const auto *Service = Context.View.service(Request.Service);
  if (Service == nullptr)
    return failure::of(errc::unknown_service, Request.Service);
  const auto Served = std::any_of(
      Service->Paths.begin(), Service->Paths.end(),
      [&](const auto &Prefix) { return startsWith(Request.Path, Prefix); });
  if (!Served)
    return failure::of(errc::unknown_service, Request.Path);
  if (!Context.View.fresh(steady_clock::now()))
    return failure::of(errc::stale_catalogue);
  Request.Method = Exchange->method();
  Request.ContentType = Exchange->header("Content-Type").value_or("");
  Key = Exchange->header("Idempotency-Key").value_or("");
  Request.Idempotent = contains(Service->IdempotentMethods, Request.Method);
  if (Request.Idempotent)
    Key.clear();
  Digest = sha256Hex(Request.Method + " " + Request.Path + "\n" + Request.Body);
  Request.Fingerprint =
      hashOf(Account.Text + "\n" + Request.Path + "\n" + Request.Body);
  Pool = Context.Pools.find(Request.Service);
  if (auto Applied = applyClass(Service->Class); !Applied)
    return Applied;
  return checkSuspicion();
}

auto request_task::applyClass(const std::string &Name) -> result<void> {
  Request.Class = Name;
  const auto *Class = Context.View.requestClass(Name);
  if (Class == nullptr && !Name.empty())
    return failure::of(errc::bad_request, "unknown request class " + Name);
  auto Limit = Context.Limits.DefaultDeadline;
  if (Class != nullptr) {
    Request.Priority = Class->Priority;
    Request.Long = Class->LongWork;
    Limit = std::chrono::milliseconds(Class->DeadlineMs);
  }
  if (const auto Stated = Exchange->header("X-Deadline-Ms")) {
    const auto Value = parseMilliseconds(*Stated);
    if (!Value)
      return failure::of(errc::bad_request,
                         "X-Deadline-Ms must be a positive integer");
    Limit = std::chrono::milliseconds(*Value);
  }
  Request.Deadline = StartedAt + Limit;
  return {};
}

auto request_task::checkSuspicion() -> result<void> {
  const auto State = Context.View.suspicionOf(fingerprint{Request.Fingerprint});
  if (State == suspicion::quarantined)
    return failure::of(errc::quarantined);
  Request.Isolated = State == suspicion::suspect;
  return {};
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

// The claim is durable before the request is dispatched, so a resend through
// any other entry finds it.
auto request_task::claim() -> void {
  ++Context.Counters.Claims;
  command Command;
  Command.Issuer = Context.NodeId;
  Command.Body = claim_request{Account, Key, Digest, Request.Id, ClaimLeaseMs};
  ClaimCall = Context.Control.execute(Command, ClaimLimit)
                  .then([this, Guard = Alive](const command_result &Result) {
                    if (*Guard)
                      handleClaim(Result);
                  })
                  .eagerlyEvaluate(nullptr);
}

auto request_task::handleClaim(const command_result &Result) -> void {
  if (!Result.ok()) {
    auto Failure = failure::of(Result.Code, Result.Detail);
    // This attempt has sent nothing to a backend server.
    if (Result.Code == errc::no_quorum)
      Failure.Verdict = verdict::not_run;
    replyFailure(Failure, duration::zero());
    return;
  }
  if (Result.Payload.value("claim", "") == "done") {
    replyStored(Result.Payload.value("response", json()));
    return;
  }
  Claimed = true;
  run();
}

auto request_task::replyStored(const json &Response) -> void {
  const auto Stored = readValue<stored_response>(Response);
  if (!Stored) {
    replyFailure(failure::of(errc::outcome_unknown,
                             "it ran, but its answer is not stored"),
                 duration::zero());
    return;
  }
  auto Headers = replyHeaders();
  Headers.emplace_back("Content-Type", Stored->ContentType);
  Headers.emplace_back("Idempotent-Replay", "true");
  Headers.emplace_back(VerdictHeader, "ran");
  Exchange->reply(Stored->Status, Headers, Stored->Body.Bytes);
  ++Context.Counters.Completed;
  release(duration::zero());
  done();
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
  Exchange->writeChunk(Data, std::move(OnTaken));
}

auto request_task::finish(dispatch_end End) -> void {
  Context.Counters.Retries +=
      End.Attempts - End.Hedges - (End.Attempts ? 1 : 0);
  Context.Counters.Hedges += End.Hedges;
  release(End.Error ? duration::zero() : steady_clock::now() - StartedAt);
  if (!Claimed) {
    reply(End);
    return;
  }
  settleThenReply(std::move(End));
}

auto request_task::reply(const dispatch_end &End) -> void {
  if (End.Error) {
    replyFailure(*End.Error, End.RetryAfter);
    return;
  }
  ++Context.Counters.Completed;
  recordUsage(End);
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

auto request_task::settlement(const dispatch_end &End) const -> command {
  settle_request Settle{Account, Key, Request.Id, claim_outcome::done,
                        std::nullopt};
  if (End.Error)
    Settle.Outcome = End.Error->Verdict == verdict::not_run
                         ? claim_outcome::not_run
                         : claim_outcome::outcome_unknown;
  else if (End.Body.size() <= MaxStoredAnswerBytes && !Streaming)
    Settle.Response =
        stored_response{static_cast<std::uint16_t>(End.HttpStatus),
                        End.ContentType,
                        {End.Body}};
  command Command;
  Command.Issuer = Context.NodeId;
  Command.Body = std::move(Settle);
  return Command;
}

// The caller can lose the answer and resend at once, so the outcome is stored
// before the answer is sent. An answer that exists is not held back for long:
// the claim alone already prevents a second run.
auto request_task::settleThenReply(dispatch_end End) -> void {
  auto Stored =
      Context.Control.execute(settlement(End), SettleLimit)
          .then([](const command_result &Result) {
            if (!Result.ok())
              logWarning(log_category::entry, "a claim could not be settled",
                         {{"error", Result.Detail}});
          })
          .fork();
  ClaimCall = Stored.addBranch()
                  .exclusiveJoin(Context.Loop.delay(SettleWait))
                  .then([this, Guard = Alive, Held = std::move(End)] {
                    if (*Guard)
                      reply(Held);
                  })
                  .eagerlyEvaluate(nullptr);
  // Storing goes on after the reply.
  Stored.addBranch().detach([](kj::Exception &&) {});
}

// Plain services have no cost in the catalogue.
auto request_task::recordUsage(const dispatch_end &End) -> void {
  if (Request.Version.Model.empty())
    return;
  usage_attempt Attempt;
  Attempt.Version = Request.Version;
  Attempt.Purpose = "primary";
  Attempt.InputTokens = End.PromptTokens;
  Attempt.OutputTokens = End.CompletionTokens;
  if (const auto *Version = Context.View.version(Request.Version))
    Attempt.Cost = (End.PromptTokens * Version->InputCost +
                    End.CompletionTokens * Version->OutputCost) /
                   TokensPerPrice;
  Context.Usage.add({Request.Id, Account, Context.NodeId, {Attempt}});
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
  Dispatch.reset();
  release(duration::zero());
  done();
}

auto request_task::release(duration Response) -> void {
  if (!Admitted)
    return;
  Admitted = false;
  Pool->Admission.finished(Account, Request.Long, Response);
}

auto request_task::done() -> void {
  if (Done)
    return;
  Done = true;
  OnDone();
}

} // namespace acacianotch
