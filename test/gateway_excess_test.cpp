/// \file Answers without end at a gateway: memory, other callers, sound answers
/// that are large.
#include "forward_fixture.h"

#include <optional>

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;

auto head(const std::string &Status, const std::string &More) -> std::string {
  return "HTTP/1.1 " + Status +
         "\r\nX-Acacianotch-Request-Id: $ID\r\n"
         "X-Acacianotch-Response-Seal: seal\r\n" +
         More + "\r\n";
}

/// An answer whose body never ends.
auto endless(const std::string &Status, const std::string &More,
             const std::string &Repeat) -> scripted_answer {
  scripted_answer Answer{head(Status, More)};
  Answer.Repeat = Repeat;
  return Answer;
}

auto chunkOf(std::size_t Size) -> std::string {
  return chunk(std::string(Size, 'x'));
}

constexpr auto ChunkedLine = "Transfer-Encoding: chunked\r\n";

/// \return bytes that differ from place to place.
auto pattern(std::size_t Size) -> std::string {
  std::string Text(Size, '\0');
  for (std::size_t Index = 0; Index < Size; ++Index)
    Text[Index] = static_cast<char>('a' + (Index * 31 + Index / 997) % 26);
  return Text;
}

/// \return the body of a whole answer, with a length or in chunks; nothing if
/// it is not whole.
auto wholeBody(const std::string &Answer) -> std::optional<std::string> {
  const auto HeadEnd = Answer.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return std::nullopt;
  auto At = HeadEnd + 4;
  const std::string LengthName = "Content-Length: ";
  if (const auto Length = Answer.find(LengthName); Length < HeadEnd) {
    const auto Size = std::stoul(Answer.substr(Length + LengthName.size()));
    if (Answer.size() != At + Size)
      return std::nullopt;
    return Answer.substr(At);
  }
  if (!Answer.ends_with("\r\n0\r\n\r\n"))
    return std::nullopt;
  std::string Body;
  while (At < Answer.size()) {
    const auto LineEnd = Answer.find("\r\n", At);
    const auto Size = std::stoul(Answer.substr(At, LineEnd - At), nullptr, 16);
    Body += Answer.substr(LineEnd + 2, Size);
    At = LineEnd + 2 + Size + 2;
  }
  return Body;
}

/// Many callers of one gateway, whose two servers send the same answers.
struct crowd {
  crowd(gateway_route Route, std::size_t Count) : Fixture(std::move(Route)) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Callers.push_back(std::make_unique<raw_caller>(
          Fixture.Gateway, Fixture.Gateway.Server->port()));
  }
  /// Sends a request of each caller and waits until all tasks have ended.
  auto requestAll(const scripted_answer &Answer, const std::string &More = "")
      -> bool {
    Fixture.First.Answers->assign(8 * Callers.size(), Answer);
    for (std::size_t Index = 0; Index < Callers.size(); ++Index)
      Callers[Index]->request("POST", "r" + std::to_string(Index), "body",
                              More);
    const auto &Counters = Fixture.Gateway.Context.Counters;
    return Fixture.Gateway.runUntil([&] {
      return Counters.Requests == Callers.size() &&
             Fixture.Gateway.Tasks.empty();
    });
  }

  forward_fixture Fixture;
  std::vector<std::unique_ptr<raw_caller>> Callers;
};

} // namespace

// Guards against a gateway whose memory one server uses up.
TEST_CASE("bodies without end use no more than the memory for answers") {
  constexpr std::size_t Limit = 2 * Mebibyte;
  constexpr std::size_t Callers = 12;
  const auto Chunks = chunkOf(16 * Kibibyte);
  const std::string Line(16 * Kibibyte, 'x');
  const std::vector<scripted_answer> Answers{
      endless("200 OK", ChunkedLine, Chunks),
      endless("200 OK", "Content-Length: 900000000000\r\n", Line),
      endless("200 OK", "", Line),
      endless("500 Error", ChunkedLine, Chunks),
      endless("404 Gone", ChunkedLine, Chunks),
      endless("503 Busy",
              std::string("X-Acacianotch-Not-Executed: 1\r\n") + ChunkedLine,
              Chunks)};
  for (const auto Kind : {route_kind::idempotent, route_kind::non_idempotent,
                          route_kind::streaming})
    for (const auto &Answer : Answers) {
      INFO(RouteKindNames.name(Kind), " ", Answer.Text);
      crowd Crowd(makeRoute(Kind), Callers);
      auto &Memory = Crowd.Fixture.Gateway.Context.Memory;
      Memory.setLimit(Limit);
      REQUIRE(Crowd.requestAll(Answer));
      // The answer that passes the limit may have doubled its buffer.
      CHECK(Memory.largest() <= Limit + 2 * Mebibyte);
      CHECK(Memory.used() == 0);
      for (const auto &Caller : Crowd.Callers)
        CHECK_FALSE(contains(Caller->Received, "\r\n0\r\n\r\n"));
    }
}

// Guards against a limit that breaks sound answers: they are passed on instead.
TEST_CASE("large answers arrive whole while the memory for answers is full") {
  const auto Body = pattern(6 * Mebibyte);
  for (const std::size_t Limit : {std::size_t{0}, 32 * Mebibyte}) {
    INFO("limit ", Limit);
    crowd Crowd(makeRoute(route_kind::non_idempotent), 6);
    Crowd.Fixture.Gateway.Context.Memory.setLimit(Limit);
    REQUIRE(Crowd.requestAll(
        {head("200 OK", ChunkedLine) + chunk(Body) + "0\r\n\r\n"}));
    for (const auto &Caller : Crowd.Callers) {
      REQUIRE(Crowd.Fixture.Gateway.runUntil(
          [&] { return wholeBody(Caller->Received).has_value(); }));
      CHECK(wholeBody(Caller->Received) == Body);
    }
    CHECK(Crowd.Fixture.Gateway.Context.Counters.Answered ==
          Crowd.Callers.size());
  }
}

// Guards against a cut answer that looks complete or is joined to another.
TEST_CASE("a large answer that breaks off is not completed by another one") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  Fixture.Gateway.Context.Memory.setLimit(0);
  const auto Part = pattern(32 * Kibibyte);
  scripted_answer Cut{head("200 OK", ChunkedLine) + chunk(Part)};
  Cut.Close = true;
  Fixture.setAnswers({Cut, Cut, Cut});
  Fixture.Caller.request("GET", "c1");
  REQUIRE(Fixture.Gateway.runUntil([&] { return Fixture.Caller.Closed; }));
  CHECK(Fixture.requestCount() == 1);
  CHECK_FALSE(contains(Fixture.Caller.Received, "\r\n0\r\n\r\n"));
}

// Guards against a stream of sound events that has no end.
TEST_CASE("events without end are cut and not continued elsewhere") {
  const auto Tokens = std::string("X-Acacianotch-Token-Counts: 10,20\r\n");
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  const auto Answer =
      endless("200 OK", ChunkedLine, chunk("id: 1\ndata: x\n\n"));
  Fixture.setAnswers({Answer, Answer, Answer});
  Fixture.Caller.request("POST", "s1", "prompt", Tokens);
  REQUIRE(Fixture.Gateway.runUntil([&] { return Fixture.Caller.Closed; }));
  CHECK(Fixture.requestCount() == 1);
  CHECK(Fixture.Gateway.Directory.suspendedCount() == 1);
  CHECK_FALSE(contains(Fixture.Caller.Received, "\r\n0\r\n\r\n"));
}

// Guards against a faulty server that takes the others' callers with it.
TEST_CASE("sound servers answer while another one sends without end") {
  crowd Crowd(makeRoute(route_kind::non_idempotent), 12);
  auto &Fixture = Crowd.Fixture;
  Fixture.Gateway.Context.Memory.setLimit(2 * Mebibyte);
  Fixture.Second.Answers = std::make_shared<std::deque<scripted_answer>>(
      Crowd.Callers.size(), completeAnswer("served"));
  REQUIRE(
      Crowd.requestAll(endless("200 OK", ChunkedLine, chunkOf(16 * Kibibyte))));
  CHECK_FALSE(Fixture.First.Requests.empty());
  CHECK_FALSE(Fixture.Second.Requests.empty());
  const auto Served = std::count_if(
      Crowd.Callers.begin(), Crowd.Callers.end(), [](const auto &Caller) {
        return wholeBody(Caller->Received) == "served";
      });
  CHECK(Served == static_cast<std::ptrdiff_t>(Fixture.Second.Requests.size()));
}

// Guards against a server that gets the next request as fast as it fails one.
TEST_CASE("a server that sends an answer without end gets less work") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({endless("200 OK", ChunkedLine, chunkOf(16 * Kibibyte))});
  Fixture.Caller.request("POST", "e1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 502"));
  CHECK(Fixture.Gateway.Directory.suspendedCount() == 1);
}

// Guards against more attempts than the route allows, and a lost answer.
TEST_CASE("an error that is not held back is replaced within the attempts") {
  auto Route = makeRoute(route_kind::idempotent);
  Route.MaxAttempts = 2;
  for (const auto Errors : {1U, 2U}) {
    forward_fixture Fixture(Route);
    Fixture.Gateway.Context.Memory.setLimit(0);
    const scripted_answer Error{head("500 Error", "Content-Length: 5\r\n") +
                                "error"};
    std::deque<scripted_answer> Answers(Errors, Error);
    Answers.push_back(completeAnswer("served"));
    Fixture.setAnswers(Answers);
    Fixture.Caller.request("GET", "e1");
    const auto Last = Errors == 1 ? "served" : "error";
    REQUIRE(Fixture.waitForText(Last));
    CHECK(Fixture.requestCount() == 2);
    CHECK(contains(Fixture.Caller.Received,
                   Errors == 1 ? "HTTP/1.1 200" : "HTTP/1.1 500"));
  }
}

// Guards against answers to HEAD that are taken for large ones.
TEST_CASE("an answer without a body may state a large length") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  Fixture.setAnswers({{head("200 OK", "Content-Length: 900000000000\r\n")}});
  Fixture.Caller.request("HEAD", "h1");
  CHECK(Fixture.waitForText("HTTP/1.1 200"));
}
