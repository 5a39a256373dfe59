/// \file HTTP headers of requests and answers as defined by the platform.
#include "platform/request_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace acacianotch::platform {

namespace {

constexpr std::string_view RequestIdName = "X-Acacianotch-Request-Id";
constexpr std::string_view DeadlineName = "X-Acacianotch-Deadline-Ms";
constexpr std::string_view ApiKeyName = "X-Api-Key";
constexpr std::string_view AccountName = "X-Acacianotch-Tenant";
constexpr std::string_view InstanceName = "X-Acacianotch-Expect-Instance";
constexpr std::string_view ModelName = "X-Acacianotch-Model";
constexpr std::string_view SessionName = "Session";
constexpr std::string_view TokensName = "X-Acacianotch-Token-Counts";
constexpr std::string_view PromptName = "X-Acacianotch-Prompt-Prefix";
constexpr std::string_view LengthName = "X-Acacianotch-Length-Hint";
constexpr std::string_view LastEventName = "Last-Event-Id";
constexpr std::string_view UrgencyName = "X-Acacianotch-Request-Urgency";
constexpr std::string_view FetchName = "Kv-Fetch";
constexpr std::string_view SealName = "X-Acacianotch-Response-Seal";
constexpr std::string_view NotExecutedName = "X-Acacianotch-Not-Executed";
constexpr std::string_view LoadName = "X-Acacianotch-Engine-Load";
constexpr std::string_view ConfidenceName = "X-Acacianotch-Confidence";
constexpr std::string_view LeavingName = "Server-Leaving";
constexpr std::string_view RetryAfterName = "Retry-After";
constexpr std::string_view ColdName = "X-Acacianotch-Cold-Ms";
/// A server that states a longer time is read wrongly.
constexpr duration MaxColdTime = std::chrono::minutes(1);
/// Model name with which a caller lets the gateway choose.
constexpr std::string_view AnyModelText = "*";

/// Headers that are not forwarded: set by the gateway or forbidden to callers.
constexpr std::array<std::string_view, 15> ReservedNames{
    DeadlineName,
    ApiKeyName,
    AccountName,
    InstanceName,
    ModelName,
    LastEventName,
    UrgencyName,
    "X-Acacianotch-Expect-Version",
    "X-Acacianotch-Pin-Ms",
    "X-Acacianotch-Hold",
    "X-Acacianotch-Kv-Backup",
    "Kv-From",
    FetchName,
    "Content-Length",
    "Host",
};

auto oneOf(std::string_view Name, const auto &Names) -> bool {
  return std::any_of(Names.begin(), Names.end(),
                     [&](std::string_view Candidate) {
                       return sameHeaderName(Candidate, Name);
                     });
}

/// \return the text without spaces at its ends.
auto withoutSpaces(std::string_view Text) -> std::string_view {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && Text.back() == ' ')
    Text.remove_suffix(1);
  return Text;
}

template <typename number>
auto parseNumber(std::string_view Text, int Base = 10)
    -> std::optional<number> {
  Text = withoutSpaces(Text);
  number Value{};
  const auto *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value, Base);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

/// Calls \p Visit with each part of a comma-separated list.
auto forEachPart(std::string_view Text, const auto &Visit) -> void {
  while (!Text.empty()) {
    const auto Comma = std::min(Text.find(','), Text.size());
    Visit(Text.substr(0, Comma));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
}

auto parsePrompt(std::string_view Text) -> std::vector<prompt_part> {
  std::vector<prompt_part> Parts;
  forEachPart(Text, [&](std::string_view Part) {
    const auto Colon = Part.find(':');
    if (Colon == std::string_view::npos)
      return;
    constexpr int Hexadecimal = 16;
    const auto Id =
        parseNumber<std::uint64_t>(Part.substr(0, Colon), Hexadecimal);
    const auto Tokens = parseNumber<std::uint32_t>(Part.substr(Colon + 1));
    if (Id && Tokens)
      Parts.push_back({*Id, *Tokens});
  });
  return Parts;
}

auto parseNumbers(std::string_view Text) -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> Numbers;
  forEachPart(Text, [&](std::string_view Part) {
    Numbers.push_back(parseNumber<std::uint32_t>(Part).value_or(0));
  });
  return Numbers;
}

/// Headers that a peer cannot declare to be hop-by-hop: a server that gets a
/// request without them rejects it, or runs another one than the caller's.
constexpr std::array<std::string_view, 7> EndToEndNames{
    RequestIdName, SessionName, TokensName,    PromptName,
    LengthName,    SealName,    ConfidenceName};

/// \return the header names that the Connection header lists as hop-by-hop.
auto connectionOptions(const http_head &Head) -> std::vector<std::string> {
  std::vector<std::string> Names;
  if (const auto *Value = Head.find("Connection"))
    forEachPart(*Value, [&](std::string_view Part) {
      const auto Name = withoutSpaces(Part);
      if (!oneOf(Name, EndToEndNames))
        Names.emplace_back(Name);
    });
  return Names;
}

auto copyModel(const http_head &Head, caller_request &Request) -> void {
  const auto *Model = Head.find(ModelName);
  if (Model == nullptr)
    return;
  Request.AnyModel = *Model == AnyModelText;
  if (!Request.AnyModel)
    Request.Model = *Model;
}

auto copyPrompt(const http_head &Head, caller_request &Request) -> void {
  if (const auto *Tokens = Head.find(TokensName)) {
    const auto Numbers = parseNumbers(*Tokens);
    Request.PromptTokens = Numbers.empty() ? 0 : Numbers[0];
    Request.MaxOutputTokens = Numbers.size() < 2 ? 0 : Numbers[1];
  }
  if (const auto *Prompt = Head.find(PromptName))
    Request.Prompt = parsePrompt(*Prompt);
  if (const auto *Length = Head.find(LengthName))
    Request.LikelyOutputTokens = parseNumber<std::uint32_t>(*Length);
}

/// Longest pause that a backend server can ask for. A larger value is more
/// likely an error of the server than a time that it needs.
constexpr double MaxRetryAfterSeconds = 60;
/// Pause for a value that states a date: the clocks of VMs may differ.
constexpr double DatedRetryAfterSeconds = 1;

/// \return the seconds that one value states; 0 if it states none.
auto retryAfterSeconds(std::string_view Text) -> double {
  Text = withoutSpaces(Text);
  const auto StatesDate =
      Text.find(':') != std::string_view::npos && Text.ends_with("GMT");
  if (StatesDate)
    return DatedRetryAfterSeconds;
  double Seconds = 0;
  const auto *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Seconds);
  if (Read.ec == std::errc::result_out_of_range && Read.ptr == End)
    return Text.front() == '-' || Text.find("e-") != std::string_view::npos
               ? 0
               : MaxRetryAfterSeconds;
  if (Read.ec != std::errc() || Read.ptr != End || !std::isfinite(Seconds))
    return 0;
  return std::clamp(Seconds, 0.0, MaxRetryAfterSeconds);
}

/// \return the longest time that any Retry-After header states.
auto decodeRetryAfter(const http_head &Head) -> std::optional<duration> {
  double Longest = 0;
  for (const auto &[Name, Value] : Head.Headers) {
    if (!sameHeaderName(Name, RetryAfterName))
      continue;
    Longest = std::max(Longest, retryAfterSeconds(Value));
    forEachPart(Value, [&](std::string_view Part) {
      Longest = std::max(Longest, retryAfterSeconds(Part));
    });
  }
  if (Longest <= 0)
    return std::nullopt;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Longest));
}

auto millisecondsText(duration Time) -> std::string {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  return std::to_string(std::max<std::int64_t>(Count, 1));
}

} // namespace

auto decodeRequest(http_head Head) -> result<caller_request> {
  caller_request Request;
  const auto *Id = Head.find(RequestIdName);
  const auto *Host = Head.find("Host");
  const auto HostCount = std::count_if(
      Head.Headers.begin(), Head.Headers.end(),
      [](const auto &Row) { return sameHeaderName(Row.first, "Host"); });
  if (Host == nullptr || HostCount != 1)
    return failure::of(errc::bad_request, "exactly one Host is expected");
  if (Id == nullptr || Id->empty())
    return failure::of(errc::bad_request, "the request id is missing");
  Request.Id = *Id;
  Request.Host = *Host;
  if (const auto *Key = Head.find(ApiKeyName))
    Request.Key = *Key;
  if (const auto *Session = Head.find(SessionName))
    Request.Session = *Session;
  if (const auto *Event = Head.find(LastEventName))
    Request.LastEventId = *Event;
  if (const auto *Time = Head.find(DeadlineName))
    if (const auto Count = parseNumber<std::uint32_t>(*Time))
      Request.TimeLeft = std::chrono::milliseconds(*Count);
  copyModel(Head, Request);
  copyPrompt(Head, Request);
  const auto Options = connectionOptions(Head);
  for (auto &Row : Head.Headers)
    if (!isConnectionHeader(Row.first) && !oneOf(Row.first, ReservedNames) &&
        !oneOf(Row.first, Options))
      Request.Forwarded.push_back(std::move(Row));
  Request.Method = std::move(Head.Method);
  Request.Target = std::move(Head.Target);
  return Request;
}

auto attemptHeaders(const caller_request &Request,
                    const attempt_options &AttemptOptions) -> http_headers {
  http_headers Headers;
  Headers.reserve(Request.Forwarded.size() + ReservedNames.size());
  Headers.emplace_back("Host", Request.Host);
  for (const auto &Row : Request.Forwarded)
    Headers.push_back(Row);
  const auto Add = [&](std::string_view Name, std::string Value) {
    if (!Value.empty())
      Headers.emplace_back(Name, std::move(Value));
  };
  Add(InstanceName, AttemptOptions.Instance);
  Add(AccountName, AttemptOptions.Account);
  Add(ModelName, AttemptOptions.Model);
  Add(LastEventName, AttemptOptions.LastEventId);
  if (AttemptOptions.TimeLeft)
    Add(DeadlineName, millisecondsText(*AttemptOptions.TimeLeft));
  if (AttemptOptions.Urgency)
    Add(UrgencyName, std::to_string(*AttemptOptions.Urgency));
  if (AttemptOptions.FetchFrom)
    Add(FetchName, AttemptOptions.FetchFrom->text());
  return Headers;
}

auto statesLeaving(const http_headers &Headers) -> bool {
  return std::any_of(Headers.begin(), Headers.end(), [](const auto &Row) {
    return sameHeaderName(Row.first, LeavingName) && Row.second == "1";
  });
}

auto decodeAnswer(const http_head &Head) -> answer_facts {
  constexpr int MisdirectedRequest = 421;
  constexpr int Unavailable = 503;
  answer_facts Facts;
  Facts.Status = Head.Status;
  Facts.Misdirected = Head.Status == MisdirectedRequest;
  Facts.NotRun = Head.find(NotExecutedName) != nullptr || Facts.Misdirected;
  Facts.Sealed = Head.find(SealName) != nullptr;
  Facts.Leaving = statesLeaving(Head.Headers);
  if (Head.Status == Unavailable)
    Facts.RetryAfter = decodeRetryAfter(Head);
  if (const auto *Id = Head.find(RequestIdName))
    Facts.RequestId = *Id;
  if (const auto *ColdMs = Head.find(ColdName))
    if (const auto Count = parseNumber<std::uint32_t>(*ColdMs))
      Facts.ColdFor =
          std::min<duration>(std::chrono::milliseconds(*Count), MaxColdTime);
  if (const auto *Confidence = Head.find(ConfidenceName))
    Facts.Confidence = parseNumber<std::uint32_t>(*Confidence);
  if (const auto *Load = Head.find(LoadName)) {
    constexpr double Percent = 100; // Unit of the slowdown in the header.
    const auto Numbers = parseNumbers(*Load);
    if (Numbers.size() >= 3)
      Facts.Load = {Numbers[0], Numbers[1], Numbers[2],
                    Numbers.size() > 3 ? Numbers[3] / Percent : 1};
  }
  constexpr std::string_view TimeoutOption = "timeout=";
  if (const auto *Option = Head.find("Keep-Alive"))
    if (const auto Position = Option->find(TimeoutOption);
        Position != std::string::npos) {
      const auto Text =
          std::string_view(*Option).substr(Position + TimeoutOption.size());
      if (const auto Limit =
              parseNumber<std::uint32_t>(Text.substr(0, Text.find(','))))
        Facts.IdleLimit = std::chrono::seconds(*Limit);
    }
  return Facts;
}

auto callerHeaders(const http_head &Head) -> http_headers {
  const auto Options = connectionOptions(Head);
  http_headers Headers;
  for (const auto &Row : Head.Headers)
    if (!isConnectionHeader(Row.first) && !oneOf(Row.first, Options) &&
        !sameHeaderName(Row.first, "Content-Length") &&
        !sameHeaderName(Row.first, LoadName))
      Headers.push_back(Row);
  return Headers;
}

auto gatewayHeaders(const std::string &RequestId, duration RetryAfter)
    -> http_headers {
  http_headers Headers;
  if (!RequestId.empty())
    Headers.emplace_back(RequestIdName, RequestId);
  if (RetryAfter > duration::zero()) {
    std::array<char, 32> Text{};
    const auto Size =
        std::snprintf(Text.data(), Text.size(), "%.3f",
                      std::chrono::duration<double>(RetryAfter).count());
    Headers.emplace_back(RetryAfterName,
                         std::string(Text.data(), static_cast<size_t>(Size)));
  }
  return Headers;
}

} // namespace acacianotch::platform
