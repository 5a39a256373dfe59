/// \file Stand-in for the users' platform: its list of backend servers and the
/// servers themselves, in one process.
///
/// GET /instances lists the servers as members of `--service`. Without
/// `--server` the process itself is the only one. Any other request to a server
/// gets an answer with its id, a seal and the path as the body, or a refusal
/// that states that nothing ran if it names another instance; a path that
/// begins with /stream/ gets a stream of events, which goes on after
/// Last-Event-Id. GET /api/report at a server returns its streams under way.
///
/// On the list's address: GET /standin/runs returns all runs, POST
/// /standin/drain/N lets a server leave, POST /standin/renew/N starts it anew
/// under another id.
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
constexpr int HttpNotFound = 404;
constexpr int HttpMisdirected = 421;
constexpr auto OnlyInstance = "i-standin";
constexpr int StreamEvents = 6;
constexpr duration EventDelay = std::chrono::milliseconds(25);

/// One backend server. Its address in the list may be that of a relay.
struct server {
  std::string Id;
  std::string Listed;
  int Life = 0;
  std::uint64_t BornMs = 1;
  bool Leaving = false;
  std::unique_ptr<http_server> Listener;
};

/// One stream that is under way.
struct stream {
  std::shared_ptr<http_exchange> Exchange;
  std::string Id;
  std::size_t Server = 0;
  int First = 1; ///< Event that it began with.
  int Next = 1;
  std::unique_ptr<loop_timer> Timer;
};

class platform_standin {
public:
  platform_standin(event_loop &TheLoop, std::string TheService)
      : Loop(TheLoop), Service(std::move(TheService)) {}

  auto addOnly(const std::string &Listed) -> void {
    Servers.push_back({OnlyInstance, Listed});
  }

  /// Adds a server that listens on \p Listen and is listed at \p Listed.
  auto add(const std::string &Listen, const std::string &Listed) -> bool {
    const auto Address = parseAddress(Listen);
    const auto Index = Servers.size();
    Servers.push_back({"i-" + std::to_string(Index) + "-0", Listed});
    if (!Address)
      return false;
    auto Created = http_server::create(
        Loop, *Address, {},
        [this, Index](const std::shared_ptr<http_exchange> &Exchange) {
          serve(Index, Exchange);
        });
    if (!Created)
      return false;
    Servers[Index].Listener = std::move(Created).value();
    return true;
  }

  auto handle(const std::shared_ptr<http_exchange> &Exchange) -> void {
    const auto Path = Exchange->path();
    if (Path == "/instances")
      return replyJson(*Exchange, list());
    if (Path == "/standin/runs")
      return replyJson(*Exchange, Runs);
    if (Path.starts_with("/standin/"))
      return command(*Exchange, Path);
    serve(0, Exchange);
  }

private:
  static auto replyJson(http_exchange &Exchange, const json &Body) -> void {
    Exchange.reply(HttpOk, {{"Content-Type", "application/json"}}, Body.dump());
  }

  auto command(http_exchange &Exchange, const std::string &Path) -> void {
    const auto Slash = Path.rfind('/');
    const auto Index = std::stoul(Path.substr(Slash + 1));
    if (Index >= Servers.size())
      return Exchange.reply(HttpNotFound, {}, "");
    auto &Server = Servers[Index];
    if (Path.starts_with("/standin/drain/")) {
      Server.Leaving = true;
    } else {
      ++Server.Life;
      ++Server.BornMs;
      Server.Leaving = false;
      Server.Id =
          "i-" + std::to_string(Index) + "-" + std::to_string(Server.Life);
    }
    Exchange.reply(HttpOk, {}, Server.Id);
  }

  auto serve(std::size_t Index, const std::shared_ptr<http_exchange> &Exchange)
      -> void {
    const auto &Server = Servers[Index];
    if (Exchange->path() == "/api/report")
      return replyJson(*Exchange, report(Index));
    const auto Expected = Exchange->header("X-Acacianotch-Expect-Instance");
    if (Expected && *Expected != Server.Id)
      return Exchange->reply(HttpMisdirected, {}, "");
    const auto Id = Exchange->header("X-Acacianotch-Request-Id").value_or("");
    if (Server.Listener != nullptr)
      Runs.push_back(
          {{"id", Id}, {"server", Server.Id}, {"leaving", Server.Leaving}});
    if (Exchange->path().starts_with("/stream/"))
      return startStream(Index, Exchange, Id);
    Exchange->reply(HttpOk, headers(*Exchange, Id), Exchange->target());
  }

  static auto headers(const http_exchange &Exchange, const std::string &Id)
      -> http_headers {
    return {{"X-Acacianotch-Request-Id", Id},
            {"X-Acacianotch-Response-Seal", "seal"},
            {"X-Standin-Tenant",
             Exchange.header("X-Acacianotch-Tenant").value_or("")}};
  }

  auto startStream(std::size_t Index,
                   const std::shared_ptr<http_exchange> &Exchange,
                   const std::string &Id) -> void {
    auto Stream = std::make_shared<stream>();
    Stream->Exchange = Exchange;
    Stream->Id = Id;
    Stream->Server = Index;
    const auto Last = Exchange->header("Last-Event-Id").value_or("");
    Stream->First = Last.empty() ? 1 : std::stoi(Last) + 1;
    Stream->Next = Stream->First;
    auto Headers = headers(*Exchange, Id);
    Headers.emplace_back("Content-Type", "text/event-stream");
    Exchange->startStream(HttpOk, Headers);
    Streams[Stream.get()] = Stream;
    Exchange->onClosed([this, Key = Stream.get()] { Streams.erase(Key); });
    Stream->Timer = Loop.oneShot([this, Key = Stream.get()] { step(Key); });
    Stream->Timer->start(EventDelay);
  }

  auto step(stream *Key) -> void {
    const auto Stream = Streams.at(Key);
    if (Stream->Next > StreamEvents) {
      Stream->Exchange->endStream();
      Streams.erase(Key);
      return;
    }
    const auto Number = std::to_string(Stream->Next++);
    Stream->Exchange->writeChunk("id: " + Number + "\ndata: " + Stream->Id +
                                     " " + Number + "\n\n",
                                 [] {});
    Stream->Timer->start(EventDelay);
  }

  /// What a server says of its own work: the streams that are under way.
  [[nodiscard]] auto report(std::size_t Index) const -> json {
    json Rows = json::array();
    for (const auto &[Key, Stream] : Streams)
      if (Stream->Server == Index)
        Rows.push_back({Stream->Id, 0, Stream->Next - Stream->First, 0});
    const auto Active = Rows.size();
    return {{"queued", 0}, {"active", Active}, {"runs", std::move(Rows)}};
  }

  [[nodiscard]] auto list() const -> json {
    json Rows = json::array();
    for (const auto &Server : Servers)
      Rows.push_back({{"id", Server.Id},
                      {"service", Service},
                      {"address", Server.Listed},
                      {"zone", "a"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", Server.Leaving ? "draining" : "ready"},
                      {"born", Server.BornMs},
                      {"cold-remaining-ms", 0}});
    Rows.push_back("an entry of another writer");
    return {{"instances", std::move(Rows)}, {"next", nullptr}};
  }

  event_loop &Loop;
  std::string Service;
  std::vector<server> Servers;
  std::map<stream *, std::shared_ptr<stream>> Streams;
  json Runs = json::array();
};

/// Adds the servers `LISTEN` or `LISTEN,LISTED`.
auto addServers(platform_standin &Standin,
                const std::vector<std::string> &Texts) -> bool {
  for (const auto &Text : Texts) {
    const auto Comma = Text.find(',');
    const auto Listen = Text.substr(0, Comma);
    const auto Listed =
        Comma == std::string::npos ? Listen : Text.substr(Comma + 1);
    if (!Standin.add(Listen, Listed))
      return false;
  }
  return true;
}

auto run(const std::string &Listen, const std::string &Service,
         const std::vector<std::string> &Servers) -> int {
  auto Loop = event_loop::create();
  const auto Address = parseAddress(Listen);
  if (!Loop || !Address)
    return EXIT_FAILURE;
  platform_standin Standin(**Loop, Service);
  if (Servers.empty())
    Standin.addOnly(Listen);
  if (!addServers(Standin, Servers)) {
    std::cerr << "cannot listen for a server\n";
    return EXIT_FAILURE;
  }
  const auto Server =
      http_server::create(**Loop, *Address, {},
                          [&](const std::shared_ptr<http_exchange> &Exchange) {
                            Standin.handle(Exchange);
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
  std::vector<std::string> Servers;
  CLI::App App("Stand-in of the users' platform for tests");
  App.add_option("--listen", Listen, "Address to listen on");
  App.add_option("--service", Service, "Service that the servers belong to");
  App.add_option("--server", Servers,
                 "LISTEN or LISTEN,LISTED: address of a server, and that in "
                 "the list; may be repeated");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return run(Listen, Service, Servers);
}
