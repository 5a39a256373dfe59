/// \file A gateway with two scripted backend servers and one caller.
#pragma once

#include "gateway_fixture.h"

#include <array>

namespace acacianotch::gateway_test {

inline constexpr auto AnswerHead =
    "HTTP/1.1 200 OK\r\nX-Acacianotch-Request-Id: $ID\r\n"
    "X-Acacianotch-Response-Seal: seal\r\n";
inline constexpr auto NotExecuted = "HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Acacianotch-Request-Id: $ID\r\n"
                                    "X-Acacianotch-Not-Executed: 1\r\n"
                                    "Content-Length: 0\r\n\r\n";

inline auto completeAnswer(const std::string &Body) -> scripted_answer {
  return {std::string(AnswerHead) +
          "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body};
}

inline auto chunk(const std::string &Data) -> std::string {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Data.size());
  return Size.data() + Data + "\r\n";
}

inline auto eventWithId(int Id) -> std::string {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

inline auto streamHead(const std::string &More = "") -> std::string {
  return std::string(AnswerHead) + More + "Transfer-Encoding: chunked\r\n\r\n";
}

inline auto makeRoute(route_kind Kind) -> gateway_route {
  gateway_route Route;
  Route.Kind = Kind;
  Route.Timeout = std::chrono::seconds(10);
  Route.TargetLatency = std::chrono::seconds(10);
  Route.MaxAttempts = 3;
  Route.Resumable = Kind == route_kind::streaming;
  return Route;
}

inline auto contains(const std::string &Text, const std::string &Part) -> bool {
  return Text.find(Part) != std::string::npos;
}

/// A gateway with two backend servers and one caller.
struct forward_fixture {
  explicit forward_fixture(gateway_route Route)
      : First(*Gateway.Loop), Second(*Gateway.Loop),
        Caller(Gateway, Gateway.Server->port()) {
    Gateway.setRoute(std::move(Route));
    Gateway.listBackends({&First, &Second});
    Second.Answers = First.Answers;
  }
  /// Sets the answers of both servers, in the order of the requests.
  auto setAnswers(std::deque<scripted_answer> Answers) -> void {
    *First.Answers = std::move(Answers);
  }
  [[nodiscard]] auto requestCount() const -> std::size_t {
    return First.Requests.size() + Second.Requests.size();
  }
  auto waitForText(const std::string &Part) -> bool {
    return Gateway.runUntil([&] { return contains(Caller.Received, Part); });
  }

  gateway Gateway;
  scripted_backend First;
  scripted_backend Second;
  raw_caller Caller;
};

} // namespace acacianotch::gateway_test
