/// \file Parsers of the platform's list of backend servers and of HTTP headers.
#include "platform/instance_codec.h"
#include "platform/report_codec.h"
#include "platform/request_codec.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace acacianotch;

namespace {

auto valueOf(const http_headers &Headers, std::string_view Name)
    -> std::string {
  const auto Found =
      std::find_if(Headers.begin(), Headers.end(), [&](const auto &Row) {
        return sameHeaderName(Row.first, Name);
      });
  return Found == Headers.end() ? "-" : Found->second;
}

auto sampleHead() -> http_head {
  http_head Head;
  Head.Method = "POST";
  Head.Target = "/a/b?c=d";
  Head.Headers = {{"Host", "h"},
                  {"X-Acacianotch-Request-Id", "id1"},
                  {"X-Acacianotch-Deadline-Ms", "2500"},
                  {"X-Api-Key", "key"},
                  {"Session", "s1"},
                  {"X-Acacianotch-Model", "*"},
                  {"X-Acacianotch-Token-Counts", "1460,80"},
                  {"X-Acacianotch-Prompt-Prefix", "5c1e07a2:800,91bd:410"},
                  {"X-Acacianotch-Hold", "h1"},
                  {"X-Acacianotch-Tenant", "forged"},
                  {"Kv-From", "1.2.3.4:5/6"},
                  {"Connection", "keep-alive, X-Hop"},
                  {"X-Hop", "1"},
                  {"Accept", "text/plain"}};
  return Head;
}

} // namespace

// Guards against one unreadable entry that makes the whole page unusable.
TEST_CASE("unreadable entries of the list are skipped") {
  const auto Page = platform::decodeInstancePage(
      "{\"instances\":[{\"service\":\"chat\",\"address\":\"10.0.0.9:80\","
      "\"zone\":\"a\",\"version\":\"v1\",\"slots\":48,\"state\":\"draining\","
      "\"cold-remaining-ms\":20,\"id\":\"i-1\",\"born\":17},"
      "{\"id\":\"i-2\"},7,{\"id\":\"\xff\"},"
      "{\"id\":\"i-3\",\"service\":\"chat\",\"address\":\"10.0.0.8:80\","
      "\"slots\":\"48\",\"state\":\"ready\"},"
      "{\"id\":\"i-4\",\"service\":\"chat\",\"address\":\"10.0.0.8:80\","
      "\"slots\":8,\"state\":\"odd\"}],\"next\":\"p-50\"}");
  REQUIRE(Page.ok());
  REQUIRE(Page->Backends.size() == 1);
  CHECK(Page->Skipped == 5);
  CHECK(Page->Backends[0].Leaving);
  CHECK(Page->Backends[0].StartedMs == 17);
  CHECK(Page->Backends[0].Address.Port == 80);
  CHECK(Page->Next == "p-50");
  CHECK_FALSE(platform::decodeInstancePage("{}").ok());
  CHECK_FALSE(platform::decodeInstancePage("garbage").ok());
}

// Guards against a malformed entry that ends the process or hides the list.
TEST_CASE("an entry with extreme values does not affect the others") {
  const auto Nested = std::string(300'000, '[') + std::string(300'000, ']');
  const std::string Plain =
      R"("service":"chat","state":"ready","id":"i-2","address":)";
  for (const auto &Entry : {
           Nested,
           R"({"id":)" + Nested + "}",
           std::string("1e999"),
           "{" + Plain + R"("10.0.0.8:80","slots":1e999})",
           "{" + Plain + R"("10.0.0.8:80","slots":18446744073709551616})",
           "{" + Plain + R"("10.0.0.8:80","slots":4294967296})",
           "{" + Plain + R"("10.0.0.8:80","slots":-8})",
           "{" + Plain + R"("10.0.0.8:70000","slots":8})",
           "{" + Plain + R"("10.0.0.8:0","slots":8})",
           "{" + Plain + R"("10.0.0.8:80","slots":8,)" +
               R"("cold-remaining-ms":18446744073709551615})",
       }) {
    INFO(Entry.substr(0, 120));
    const auto Page = platform::decodeInstancePage(
        R"({"instances":[)" + Entry +
        R"(,{"service":"chat","address":"10.0.0.9:80","slots":48,)"
        R"("state":"ready","id":"i-1"}],"next":null})");
    REQUIRE(Page.ok());
    CHECK(Page->Skipped == 1);
    REQUIRE(Page->Backends.size() == 1);
    CHECK(Page->Backends[0].Id == "i-1");
  }
}

// Guards against a report of a faulty server that ends the process.
TEST_CASE("a deeply nested report is an error") {
  const auto Nested = std::string(300'000, '[') + std::string(300'000, ']');
  CHECK_FALSE(platform::decodeReport(R"({"queued":)" + Nested + "}").ok());
}

// Guards against callers that set headers reserved to the gateway, and against
// API keys being forwarded to backend servers.
TEST_CASE("a forwarded request has the gateway's headers, not the caller's") {
  auto Request = platform::decodeRequest(sampleHead());
  REQUIRE(Request.ok());
  CHECK(Request->AnyModel);
  CHECK(Request->Key == "key");
  CHECK(Request->Session == "s1");
  CHECK(Request->PromptTokens == 1460);
  CHECK(Request->MaxOutputTokens == 80);
  REQUIRE(Request->Prompt.size() == 2);
  CHECK(Request->Prompt[0].Id == 0x5c1e07a2);
  attempt_options AttemptOptions;
  AttemptOptions.Account = "club";
  AttemptOptions.Instance = "i-1";
  AttemptOptions.Model = "small";
  AttemptOptions.TimeLeft = std::chrono::milliseconds(1200);
  const auto Headers = platform::attemptHeaders(*Request, AttemptOptions);
  CHECK(valueOf(Headers, "X-Acacianotch-Request-Id") == "id1");
  CHECK(valueOf(Headers, "X-Acacianotch-Tenant") == "club");
  CHECK(valueOf(Headers, "X-Acacianotch-Expect-Instance") == "i-1");
  CHECK(valueOf(Headers, "X-Acacianotch-Model") == "small");
  CHECK(valueOf(Headers, "X-Acacianotch-Deadline-Ms") == "1200");
  CHECK(valueOf(Headers, "X-Acacianotch-Token-Counts") == "1460,80");
  CHECK(valueOf(Headers, "Accept") == "text/plain");
  for (const auto *Name :
       {"X-Api-Key", "X-Acacianotch-Hold", "Kv-From", "Connection", "X-Hop"})
    CHECK(valueOf(Headers, Name) == "-");
}

// Guards against forwarding requests without an id or with two hosts.
TEST_CASE("a request needs one host and an id") {
  auto NoId = sampleHead();
  NoId.Headers.erase(NoId.Headers.begin() + 1);
  CHECK_FALSE(platform::decodeRequest(NoId).ok());
  auto TwoHosts = sampleHead();
  TwoHosts.Headers.emplace_back("host", "other");
  CHECK_FALSE(platform::decodeRequest(TwoHosts).ok());
}

// Guards against a refused request being taken for an executed one, and the
// reverse.
TEST_CASE("the head of an answer states whether the request ran") {
  http_head Head;
  Head.Status = 503;
  CHECK_FALSE(platform::decodeAnswer(Head).NotRun);
  Head.Headers = {{"X-Acacianotch-Not-Executed", "1"},
                  {"X-Acacianotch-Engine-Load", "3,1,8,250"},
                  {"X-Acacianotch-Confidence", "41"},
                  {"Keep-Alive", "timeout=5, max=100"}};
  const auto Facts = platform::decodeAnswer(Head);
  CHECK(Facts.NotRun);
  REQUIRE(Facts.Load);
  CHECK(Facts.Load->Waiting == 1);
  CHECK(Facts.Load->Slowdown == doctest::Approx(2.5));
  CHECK(Facts.Confidence == 41U);
  CHECK(Facts.IdleLimit == std::chrono::seconds(5));
  http_head Other;
  Other.Status = 421;
  CHECK(platform::decodeAnswer(Other).NotRun);
}
