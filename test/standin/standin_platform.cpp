/// \file Stand-in for the users' platform: its list of backend servers and the
/// servers themselves, in one process.
///
/// GET /instances lists the servers as members of `--service`, by turns in the
/// zones `a` and `b`. Without
/// `--server`, this process is the only server. Any other request to a server
/// is answered with its request id, a seal and the path as the body. If the
/// request expects another instance, it is rejected with status 421 and does
/// not run. A path that begins with /stream/ returns a stream of events, which
/// resumes after Last-Event-Id. A path that ends in /delay/N is answered after
/// N ms, and one that ends in /bytes/N with N bytes. GET /api/report at a
/// server returns its active streams.
///
/// On the address of the list, GET /standin/runs returns all runs, POST
/// /standin/drain/N marks server N as draining, and POST /standin/renew/N
/// replaces it by a new instance with another id.
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
constexpr auto SelfInstanceId = "i-standin";
constexpr int EventsPerStream = 6;
constexpr duration EventDelay = std::chrono::milliseconds(25);

/// One backend server. The address in the list may be that of a relay.
struct backend_server {
  std::string Id;
  std::string ListedAddress;
  int Incarnation = 0;
  std::uint64_t StartTimeMs = 1;
  bool Draining = false;
  std::unique_ptr<http_server> Listener;
};

/// An active stream of events.
struct stream {
  std::shared_ptr<http_exchange> Exchange;
  std::string Id;
  std::size_t Server = 0;
  int FirstEvent = 1; ///< Number of the first event sent.
  int NextEvent = 1;
  std::unique_ptr<loop_timer> Timer;
};

class platform_standin {
public:
  platform_standin(event_loop &TheLoop, std::string TheService)
      : Loop(TheLoop), Service(std::move(TheService)) {}

  auto addSelf(const std::string &ListedAddress) -> void {
    Servers.push_back({SelfInstanceId, ListedAddress});
  }

  /// Adds a server that listens on \p ListenAddress and appears in the list
  /// with \p ListedAddress.
  auto add(const std::string &ListenAddress, const std::string &ListedAddress)
      -> bool {
    const auto Address = parseAddress(ListenAddress);
    const auto Index = Servers.size();
    Servers.push_back({"i-" + std::to_string(Index) + "-0", ListedAddress});
    if (!Address)
      return false;
    auto Created = http_server::create(
        Loop, *Address, {},
        [this, Index](const std::shared_ptr<http_exchange> &Exchange) {
          handleRequest(Index, Exchange);
        });
    if (!Created)
      return false;
    Servers[Index].Listener = std::move(Created).value();
    return true;
  }

  auto handle(const std::shared_ptr<http_exchange> &Exchange) -> void {
    const auto Path = Exchange->path();
    if (Path == "/instances")
      return replyJson(*Exchange, instanceList());
    if (Path == "/standin/runs")
      return replyJson(*Exchange, Runs);
    if (Path.starts_with("/standin/"))
      return handleCommand(*Exchange, Path);
    handleRequest(0, Exchange);
  }

private:
  static auto replyJson(http_exchange &Exchange, const json &Body) -> void {
    Exchange.reply(HttpOk, {{"Content-Type", "application/json"}}, Body.dump());
  }

  auto handleCommand(http_exchange &Exchange, const std::string &Path) -> void {
    const auto Slash = Path.rfind('/');
    const auto Index = std::stoul(Path.substr(Slash + 1));
    if (Index >= Servers.size())
      return Exchange.reply(HttpNotFound, {}, "");
    auto &Server = Servers[Index];
    if (Path.starts_with("/standin/drain/")) {
      Server.Draining = true;
    } else {
      ++Server.Incarnation;
      ++Server.StartTimeMs;
      Server.Draining = false;
      Server.Id = "i-" + std::to_string(Index) + "-" +
                  std::to_string(Server.Incarnation);
    }
    Exchange.reply(HttpOk, {}, Server.Id);
  }

  auto handleRequest(std::size_t Index,
                     const std::shared_ptr<http_exchange> &Exchange) -> void {
    const auto &Server = Servers[Index];
    if (Exchange->path() == "/api/report")
      return replyJson(*Exchange, loadReport(Index));
    const auto Expected = Exchange->header("X-Acacianotch-Expect-Instance");
    if (Expected && *Expected != Server.Id)
      return Exchange->reply(HttpMisdirected, {}, "");
    const auto Id = Exchange->header("X-Acacianotch-Request-Id").value_or("");
    if (Server.Listener != nullptr)
      Runs.push_back(
          {{"id", Id}, {"server", Server.Id}, {"leaving", Server.Draining}});
    if (Exchange->path().starts_with("/stream/"))
      return startStream(Index, Exchange, Id);
    replyAfter(delayOf(Exchange->path()), Exchange, Id);
  }

  static auto delayOf(const std::string &Path) -> duration {
    return std::chrono::milliseconds(numberAfter("/delay/", Path));
  }

  /// \return the number that follows \p Name in \p Path; 0 without it.
  static auto numberAfter(const std::string &Name, const std::string &Path)
      -> std::size_t {
    const auto At = Path.rfind(Name);
    return At == std::string::npos ? 0
                                   : std::stoul(Path.substr(At + Name.size()));
  }

  auto replyAfter(duration Delay,
                  const std::shared_ptr<http_exchange> &Exchange,
                  const std::string &Id) -> void {
    const auto Reply = [Exchange, Id] {
      const auto Size = numberAfter("/bytes/", Exchange->path());
      Exchange->reply(HttpOk, headers(*Exchange, Id),
                      Size > 0 ? std::string(Size, 'x') : Exchange->target());
    };
    if (Delay == duration::zero())
      return Reply();
    DelayedReplies.push_back(Loop.oneShot(Reply));
    DelayedReplies.back()->start(Delay);
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
    const auto LastEventId = Exchange->header("Last-Event-Id").value_or("");
    Stream->FirstEvent = LastEventId.empty() ? 1 : std::stoi(LastEventId) + 1;
    Stream->NextEvent = Stream->FirstEvent;
    auto Headers = headers(*Exchange, Id);
    Headers.emplace_back("Content-Type", "text/event-stream");
    Exchange->startStream(HttpOk, Headers);
    Streams[Stream.get()] = Stream;
    Exchange->onClosed([this, Key = Stream.get()] { Streams.erase(Key); });
    Stream->Timer =
        Loop.oneShot([this, Key = Stream.get()] { sendNextEvent(Key); });
    Stream->Timer->start(EventDelay);
  }

  auto sendNextEvent(stream *Key) -> void {
    const auto Stream = Streams.at(Key);
    if (Stream->NextEvent > EventsPerStream) {
      Stream->Exchange->endStream();
      Streams.erase(Key);
      return;
    }
    const auto Number = std::to_string(Stream->NextEvent++);
    Stream->Exchange->writeChunk("id: " + Number + "\ndata: " + Stream->Id +
                                     " " + Number + "\n\n",
                                 [] {});
    Stream->Timer->start(EventDelay);
  }

  /// \return the load report of a server, with its active streams.
  [[nodiscard]] auto loadReport(std::size_t Index) const -> json {
    json Rows = json::array();
    for (const auto &[Key, Stream] : Streams)
      if (Stream->Server == Index)
        Rows.push_back(
            {Stream->Id, 0, Stream->NextEvent - Stream->FirstEvent, 0});
    const auto Active = Rows.size();
    return {{"queued", 0}, {"active", Active}, {"runs", std::move(Rows)}};
  }

  [[nodiscard]] auto instanceList() const -> json {
    json Rows = json::array();
    for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
      const auto &Server = Servers[Index];
      Rows.push_back({{"id", Server.Id},
                      {"service", Service},
                      {"address", Server.ListedAddress},
                      {"zone", Index % 2 == 0 ? "a" : "b"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", Server.Draining ? "draining" : "ready"},
                      {"born", Server.StartTimeMs},
                      {"cold-remaining-ms", 0}});
    }
    Rows.push_back("an entry of another writer");
    return {{"instances", std::move(Rows)}, {"next", nullptr}};
  }

  event_loop &Loop;
  std::string Service;
  std::vector<backend_server> Servers;
  std::map<stream *, std::shared_ptr<stream>> Streams;
  std::vector<std::unique_ptr<loop_timer>> DelayedReplies;
  json Runs = json::array();
};

/// Adds a server for each of \p ServerSpecs, `LISTEN` or `LISTEN,LISTED`.
auto addServers(platform_standin &Standin,
                const std::vector<std::string> &ServerSpecs) -> bool {
  for (const auto &Spec : ServerSpecs) {
    const auto Comma = Spec.find(',');
    const auto ListenAddress = Spec.substr(0, Comma);
    const auto ListedAddress =
        Comma == std::string::npos ? ListenAddress : Spec.substr(Comma + 1);
    if (!Standin.add(ListenAddress, ListedAddress))
      return false;
  }
  return true;
}

auto run(const std::string &ListenAddress, const std::string &Service,
         const std::vector<std::string> &Servers) -> int {
  auto Loop = event_loop::create();
  const auto Address = parseAddress(ListenAddress);
  if (!Loop || !Address)
    return EXIT_FAILURE;
  platform_standin Standin(**Loop, Service);
  if (Servers.empty())
    Standin.addSelf(ListenAddress);
  if (!addServers(Standin, Servers)) {
    std::cerr << "cannot listen on the address of a server\n";
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
  std::string ListenAddress = "127.0.0.1:0";
  std::string Service = "chat";
  std::vector<std::string> Servers;
  CLI::App App("Stand-in of the users' platform for tests");
  App.add_option("--listen", ListenAddress, "Address to listen on");
  App.add_option("--service", Service, "Service that the servers belong to");
  App.add_option("--server", Servers,
                 "LISTEN or LISTEN,LISTED: address of a server, and that in "
                 "the list; may be repeated");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return run(ListenAddress, Service, Servers);
}
