/// \file Stand-in for the users' platform: its list of backend servers and one
/// backend server, on one address.
///
/// GET /instances lists the server itself as a member of `--service`. Any other
/// request gets an answer with its id, a seal and the path as the body, or a
/// refusal that states that nothing ran if it names another instance.
#include "net/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpMisdirected = 421;
constexpr auto Instance = "i-standin";

class platform_standin {
public:
  platform_standin(std::string Listen, std::string TheService)
      : Address(std::move(Listen)), Service(std::move(TheService)) {}

  auto handle(http_exchange &Exchange) const -> void {
    if (Exchange.path() == "/instances")
      return Exchange.reply(HttpOk, {{"Content-Type", "application/json"}},
                            list().dump());
    const auto Expected = Exchange.header("X-Acacianotch-Expect-Instance");
    if (Expected && *Expected != Instance)
      return Exchange.reply(HttpMisdirected, {}, "");
    Exchange.reply(HttpOk,
                   {{"X-Acacianotch-Request-Id",
                     Exchange.header("X-Acacianotch-Request-Id").value_or("")},
                    {"X-Acacianotch-Response-Seal", "seal"},
                    {"X-Standin-Tenant",
                     Exchange.header("X-Acacianotch-Tenant").value_or("")}},
                   Exchange.target());
  }

private:
  [[nodiscard]] auto list() const -> json {
    return {{"instances",
             {{{"id", Instance},
               {"service", Service},
               {"address", Address},
               {"zone", "a"},
               {"version", "v1"},
               {"slots", 8},
               {"state", "ready"},
               {"cold-remaining-ms", 0}},
              "an entry of another writer"}},
            {"next", nullptr}};
  }

  std::string Address;
  std::string Service;
};

auto run(const std::string &Listen, const std::string &Service) -> int {
  auto Loop = event_loop::create();
  const auto Address = parseAddress(Listen);
  if (!Loop || !Address)
    return EXIT_FAILURE;
  const platform_standin Standin(Listen, Service);
  const auto Server =
      http_server::create(**Loop, *Address, {},
                          [&](const std::shared_ptr<http_exchange> &Exchange) {
                            Standin.handle(*Exchange);
                          });
  if (!Server) {
    std::cerr << Server.error().text() << '\n';
    return EXIT_FAILURE;
  }
  (*Loop)->onSignal(SIGTERM, [&Loop] { (*Loop)->stop(); });
  (*Loop)->run();
  return EXIT_SUCCESS;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  std::string Listen = "127.0.0.1:0";
  std::string Service = "chat";
  CLI::App App("Stand-in of the users' platform for tests");
  App.add_option("--listen", Listen, "Address to listen on");
  App.add_option("--service", Service, "Service that it belongs to");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return run(Listen, Service);
}
