/// \file Preparation of a caller's request: parses it and selects its class,
/// version and pool.
#include "entry/caller_auth.h"
#include "entry/request_id_func.h"
#include "entry/request_task.h"
#include "entry/version_choice.h"

#include <xxhash.h>

#include <charconv>

namespace acacianotch {

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr double BytesPerToken = 4;

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

auto request_task::prepare() -> result<void> {
  const auto IsService =
      startsWith(Exchange->path(), std::string(ServicePrefix));
  return IsService ? prepareService() : prepareChat();
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

auto request_task::chooseVersion() -> result<void> {
  if (const auto Token = Exchange->header("X-Session-Token"))
    return resumeSession(*Token);
  const auto SessionId = newRequestId().Text;
  auto Choice =
      resolveModel(Context.View, AccountBody, Chat.Model, hashOf(SessionId));
  if (!Choice)
    return Choice.error();
  if (auto Applied = applyChatClass(Choice->Class); !Applied)
    return Applied;
  planRoute(*Choice);
  const auto Version = Plan ? Plan->first() : Choice->Candidates.front();
  Session = session_claims{SessionId, Version, unixSeconds()};
  return useVersion(Version);
}

// The session token pins the version, so a resumed session never uses a
// cascade.
auto request_task::resumeSession(const std::string &Token) -> result<void> {
  const auto &View = Context.View;
  auto Claims = Context.Sessions.admit(
      Token, [&](const version_ref &Ref) { return !View.active(Ref); });
  if (!Claims)
    return Claims.error();
  if (!mayResolveTo(View, Chat.Model, Claims->Version))
    return failure::of(errc::invalid_session_token,
                       "the session belongs to another model");
  if (auto Checked = checkVersion(View, AccountBody, Claims->Version); !Checked)
    return Checked;
  Session = *Claims;
  Request.AffinityKey = hashOf(Session->Session);
  const auto *Route = View.route(Chat.Model);
  if (auto Applied = applyChatClass(Route != nullptr ? Route->Class : "");
      !Applied)
    return Applied;
  return useVersion(Session->Version);
}

auto request_task::useVersion(const version_ref &Version) -> result<void> {
  if (!Context.View.fresh(steady_clock::now(), Version))
    return failure::of(errc::stale_catalogue);
  Request.Version = Version;
  return {};
}

auto request_task::applyChatClass(const std::string &Default) -> result<void> {
  const auto Header = Exchange->header("X-Request-Class");
  if (auto Applied = applyClass(Header.value_or(Default)); !Applied)
    return Applied;
  Predicted = Context.Lengths.predict(lengthFeatures());
  Request.Long = Request.Long || Predicted.Long;
  return {};
}

auto request_task::lengthFeatures() const -> length_features {
  length_features Features{Request.Class, Account, std::nullopt};
  if (Chat.MaxTokens)
    Features.MaxTokens = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(*Chat.MaxTokens, UINT32_MAX));
  return Features;
}

// Candidates without a usable backend server are excluded, unless no candidate
// would remain.
auto request_task::planRoute(model_choice &Choice) -> void {
  auto Usable = Choice.Candidates;
  std::erase_if(Usable, [&](const version_ref &Version) {
    auto *Candidate = Context.Pools.find(Version);
    return Candidate == nullptr || Candidate->Placement.load().Slots == 0;
  });
  if (!Usable.empty())
    Choice.Candidates = std::move(Usable);
  const auto *Class = Context.View.requestClass(Request.Class);
  const auto ClassTarget = Class != nullptr ? Class->QualityTarget : 0;
  route_query Query;
  Query.Route = Chat.Model;
  Query.Class = Request.Class;
  Query.QualityTarget = Choice.QualityTarget.value_or(ClassTarget);
  Query.Candidates = Choice.Candidates;
  Query.Features = {Request.Class, Request.Long, Chat.Streamed,
                    static_cast<double>(Chat.PromptBytes) / BytesPerToken,
                    Predicted.OutputTokens};
  Plan = Context.Routes.plan(Context.View, Query);
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
  if (const auto Header = Exchange->header("X-Deadline-Ms")) {
    const auto Value = parseMilliseconds(*Header);
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

} // namespace acacianotch
