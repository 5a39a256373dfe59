/// \file Stand-in for a plain service such as the booking desk.
///
/// POST /bookings records a booking on each call, so a duplicate call appears
/// as a second booking of the same `place`. GET /standin/stats reports the
/// number of bookings per place. The field `delay_us` of a booking delays the
/// response; `"crash": true` ends the process after the booking is recorded and
/// before the response is sent.
#include "net/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <map>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int CrashExitCode = 70;

class booking_desk {
public:
  explicit booking_desk(event_loop &TheLoop) : Loop(TheLoop) {}

  auto handle(const std::shared_ptr<http_exchange> &Exchange) -> void {
    if (Exchange->path() == "/standin/stats") {
      Exchange->reply(HttpOk, jsonHeaders(*Exchange), json(Bookings).dump());
      return;
    }
    const auto Body = json::parse(Exchange->body(), nullptr, false);
    if (Exchange->method() == "GET") {
      Exchange->reply(HttpOk, jsonHeaders(*Exchange), R"({"places":3})");
      return;
    }
    if (!Body.is_object() || !Body.contains("place")) {
      Exchange->reply(HttpBadRequest, jsonHeaders(*Exchange), "{}");
      return;
    }
    recordBooking(Exchange, Body);
  }

private:
  static auto jsonHeaders(const http_exchange &Exchange) -> http_headers {
    return {{"Content-Type", "application/json"},
            {"X-Request-Id", Exchange.header("X-Request-Id").value_or("")}};
  }

  auto recordBooking(const std::shared_ptr<http_exchange> &Exchange,
                     const json &Body) -> void {
    const auto Place = Body.value("place", "");
    const auto Number = ++Bookings[Place];
    if (Body.value("crash", false))
      std::_Exit(CrashExitCode);
    const json Response = {{"place", Place}, {"booking", Number}};
    const auto Key = NextTimer++;
    Timers[Key] = Loop.oneShot([this, Exchange, Response, Key] {
      Exchange->reply(HttpOk, jsonHeaders(*Exchange), Response.dump());
      Loop.defer([this, Key] { Timers.erase(Key); });
    });
    Timers[Key]->start(duration(Body.value("delay_us", 0)));
  }

  event_loop &Loop;
  std::map<std::string, int> Bookings;
  std::map<std::uint64_t, std::unique_ptr<loop_timer>> Timers;
  std::uint64_t NextTimer = 0;
};

auto runService(const std::string &Listen) -> int {
  auto Loop = event_loop::create();
  const auto Address = parseAddress(Listen);
  if (!Loop || !Address)
    return EXIT_FAILURE;
  booking_desk Desk(**Loop);
  const auto Server = http_server::create(
      **Loop, *Address, {},
      [&Desk](const std::shared_ptr<http_exchange> &Exchange) {
        Desk.handle(Exchange);
      });
  if (!Server) {
    std::cerr << Server.error().text() << '\n';
    return EXIT_FAILURE;
  }
  std::cout << "port " << (*Server)->port() << std::endl;
  (*Loop)->onSignal(SIGTERM, [&Loop] { (*Loop)->stop(); });
  (*Loop)->run();
  return EXIT_SUCCESS;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  std::string Listen = "127.0.0.1:0";
  CLI::App App("Stand-in plain service for tests");
  App.add_option("--listen", Listen, "Address to listen on");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return runService(Listen);
}
