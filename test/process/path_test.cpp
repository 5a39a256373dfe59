/// \file The request path through real processes.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

namespace {

auto postRaw(const daemon_instance &Entry, const http_fields &Headers,
             const std::string &Body) -> http_answer {
  return http_call(Entry.Http,
                   httpRequest("POST", "/v1/chat/completions", Headers, Body))
      .finish();
}

/// Checks the status and the error fields of a failed request. Status, body and
/// header must all report the failure, so that none suggests a success.
auto checkError(const http_answer &Answer, int Status, const std::string &Code,
                const std::string &Verdict) -> void {
  INFO(Answer.Body);
  CHECK(Answer.Status == Status);
  CHECK(Answer.error("code") == Code);
  CHECK(Answer.error("verdict") == Verdict);
  CHECK(Answer.header("x-verdict") == Verdict);
  CHECK_FALSE(Answer.error("message").empty());
}

} // namespace

// Guards against answers that are truncated, duplicated or belong to another
// request.
TEST_CASE("whole and streamed answers are complete") {
  deployment System;
  for (const auto &Entry : System.Entries) {
    const auto Whole = startChat(Entry, chatBody("whole"))->finish();
    INFO(Whole.Body);
    REQUIRE(Whole.Status == 200);
    CHECK(Whole.Complete);
    const auto Text = Whole.json()["choices"][0]["message"]["content"];
    CHECK(Text == "t0 t1 t2 t3 t4 t5 t6 t7 ");
    CHECK(Whole.json()["id"] == Whole.header("x-request-id"));

    auto Body = chatBody("streamed");
    Body["stream"] = true;
    const auto Streamed = startChat(Entry, Body)->finish();
    CHECK(Streamed.Status == 200);
    CHECK(Streamed.Complete);
    for (int Token = 0; Token < 8; ++Token) {
      const auto Word = "\"t" + std::to_string(Token) + " \"";
      const auto First = Streamed.Body.find(Word);
      CHECK(First != std::string::npos);
      CHECK(Streamed.Body.find(Word, First + 1) == std::string::npos);
    }
    CHECK(Streamed.Body.find("data: [DONE]\n\n") == Streamed.Body.size() - 14);
  }
  CHECK(System.runsOf("whole") == 2);
  CHECK(System.runsOf("streamed") == 2);

  const auto Models =
      http_call(System.Entries[0].Http,
                httpRequest("GET", "/v1/models", callerHeaders(), ""))
          .finish();
  const auto Listed = Models.json();
  json Names = json::array();
  for (const auto &Row : Listed["data"])
    Names.push_back(Row["id"]);
  CHECK(Names == json{"answers", "small@1", "small@2"});
}

// Guards against rejections with the verdict not_run although a backend server
// ran the request, and against errors without a verdict.
TEST_CASE("refused requests do not run") {
  deployment System;
  const auto &Entry = System.Entries[0];
  const auto Chat = chatBody("refused").dump();
  checkError(postRaw(Entry, {}, Chat), 401, "unauthenticated", "not_run");
  checkError(postRaw(Entry, {{"Authorization", "Bearer wrong-key"}}, Chat), 401,
             "unauthenticated", "not_run");
  checkError(postRaw(Entry, callerHeaders({}, "guest"), Chat), 403,
             "not_allowed", "not_run");
  checkError(startChat(Entry, chatBody("refused", "absent"))->finish(), 404,
             "unknown_model", "not_run");
  for (const auto *Malformed : {"{", "[]", "{\"model\":1}", "\xff\xfe", "{}"})
    checkError(postRaw(Entry, callerHeaders(), Malformed), 400, "bad_request",
               "not_run");
  checkError(startChat(Entry, chatBody("refused"), {{"X-Deadline-Ms", "-1"}})
                 ->finish(),
             400, "bad_request", "not_run");
  checkError(startChat(Entry, chatBody("refused"), {{"X-Session-Token", "x"}})
                 ->finish(),
             400, "invalid_session_token", "not_run");
  CHECK(System.runs() == 0);
}

// Guards against a body above the size limit that reaches a backend server or
// crashes the entry.
TEST_CASE("an oversize body is refused") {
  deployment System;
  const auto &Entry = System.Entries[0];
  auto Body = chatBody("oversize");
  Body["padding"] = std::string(5UL * 1024 * 1024, 'x');
  const auto Answer = startChat(Entry, Body)->finish();
  CHECK(Answer.Status == 413);
  CHECK(System.runs() == 0);
  CHECK(startChat(Entry, chatBody("small"))->finish().Status == 200);
}

// Guards against success being reported for an answer that is truncated or has
// the id of another request.
TEST_CASE("truncated and crossed answers are errors") {
  deployment System;
  const auto &Entry = System.Entries[0];
  const http_fields Key = {{"Idempotency-Key", "k1"}};
  const auto Truncated = startChat(Entry, chatBody("!truncate"), Key)->finish();
  checkError(Truncated, 502, "backend_failed", "may_have_run");
  const http_fields Other = {{"Idempotency-Key", "k2"}};
  const auto Crossed = startChat(Entry, chatBody("!cross"), Other)->finish();
  checkError(Crossed, 502, "crossed_answer", "may_have_run");
  CHECK(System.runsOf("!truncate") == 1);
  CHECK(System.runsOf("!cross") == 1);
  for (const auto *Text : {"!truncate", "!cross"}) {
    auto Body = chatBody(Text);
    Body["stream"] = true;
    const auto Streamed = startChat(Entry, Body)->finish();
    INFO(Streamed.Body);
    CHECK(Streamed.Body.find("[DONE]") == std::string::npos);
    const auto Failed = Streamed.Status != 200 || !Streamed.Complete;
    CHECK(Failed);
    CHECK(Streamed.Body.find("may_have_run") != std::string::npos);
  }
}

// Guards against work that continues after its caller has disconnected.
TEST_CASE("a disconnected caller cancels idempotent work") {
  deployment System;
  auto Body = chatBody("left alone");
  Body["stream"] = true;
  Body["max_tokens"] = 1000000;
  const auto Call = startChat(System.Entries[0], Body);
  REQUIRE(Call->readUntil("t3 "));
  Call->disconnect();
  CHECK(waitUntil([&] {
    return System.stats(0)["running"] == 0 && System.stats(1)["running"] == 0;
  }));
  CHECK(System.runsOf("left alone") == 1);
  const auto Dump = deployment::dump(System.Entries[0]);
  CHECK(Dump["caller_left"] == 1);
  CHECK(Dump["open"] == 0);
}

// Guards against a process that a port scan or a faulty peer crashes.
TEST_CASE("garbage on every port crashes no process") {
  deployment System({.Replicas = 1, .Entries = 1, .Engines = 1});
  const std::vector<std::string> Garbage = {
      std::string(4096, '\xff'), std::string(4096, '\0'),
      "GET / HTTP/9.9\r\nContent-Length: -1\r\n\r\n",
      std::string("\x01\x00\x00\x00\xff\xff\xff\x7f", 8), "\r\n\r\n"};
  std::vector<daemon_instance *> Daemons = {
      &System.Controls[0], &System.Entries[0], &System.Agents[0]};
  for (auto *Daemon : Daemons)
    for (const auto Port :
         {Daemon->Rpc, Daemon->Http, Daemon->Admin, Daemon->AdminRpc})
      for (const auto &Bytes : Garbage)
        if (Port != 0)
          http_call(Port, Bytes).disconnect();
  for (auto *Daemon : Daemons) {
    CHECK(Daemon->Process->running());
    System.waitReady(*Daemon);
  }
  const auto Answer = startChat(System.Entries[0], chatBody("after"))->finish();
  CHECK(Answer.Status == 200);
}

// Guards against two processes that share a port or the data folder of a
// replica.
TEST_CASE("a second process on the same address or folder ends") {
  deployment System({.Replicas = 1, .Entries = 1, .Engines = 1, .Services = 0});
  CHECK(System.runDaemon(System.Entries[0], {}) == 4);
  CHECK(System.runDaemon(System.Agents[0], {}) == 4);
  CHECK(System.runDaemon(System.Controls[0], {}) == 4);
  CHECK(deployment::ready(System.Controls[0]));
}
