// A look-up that crashes each booking engine that begins to run it comes again
// every 4 s, with the same path, caller and body, at any gateway.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr int Engines = 3;
constexpr int Gateways = 2;
constexpr double RepeatEvery = 4.0;
constexpr int Repeats = 8;
constexpr double ContactSeconds = 3.0; // contact-ms of the site
constexpr int AllowedRetries = 3;      // rule BUDGET
constexpr double WorkSeconds = 0.015;  // of a request, as on the site
constexpr double BackAfter = 2.0;      // a crashed engine starts again
constexpr double ListLag = 0.8;        // max-lag-ms
const string PoisonPath = "/c/inscritos/77";

struct arrival {
  double At;
  string Request;
  string Engine;
};

struct state {
  explicit state(const string &Folder) : Record(Folder + "/record.txt") {}
  record_file Record;
  std::mutex Mutex;
  std::vector<arrival> Poisoned; ///< Arrivals of the request that crashes.
  std::vector<double> Crashes;
  std::atomic<int> Served{0}, Lost{0};
};

/// A booking engine; ends when it begins to run the look-up that crashes it.
class engine {
public:
  engine(state &TheState, platform &TheList, int TheIndex)
      : State(TheState), List(TheList), Index(TheIndex), Port(freePort()),
        Server("127.0.0.1", Port, [this](int Fd) { serve(Fd); }) {
    list();
  }

private:
  string id() const {
    return "i-" + std::to_string(Index) + "-" + std::to_string(Incarnation);
  }
  void list() {
    List.set({id(), "balcao-reservas", "127.0.0.1:" + std::to_string(Port), "zone-a",
              "v1", 6, "ready", 1000u + static_cast<unsigned>(Incarnation)});
  }

  void serve(int Fd) {
    reader Reader(Fd);
    while (true) {
      const auto Request = Reader.read(60);
      if (Request.Method.empty())
        return;
      const auto Request_Id = Request.header("x-acacianotch-request-id");
      if (Request.header("x-acacianotch-expect-instance") != id()) {
        if (!sendAll(Fd, httpText("HTTP/1.1 421 Misdirected Request",
                                  {{"X-Acacianotch-Request-Id", Request_Id},
                                   {"X-Acacianotch-Not-Executed", "1"}},
                                  "")))
          return;
        continue;
      }
      const auto Poison = Request.Path == PoisonPath;
      if (Poison) {
        const std::lock_guard Guard(State.Mutex);
        State.Poisoned.push_back({now(), Request_Id, id()});
        State.Record.line("reaches engine %s: request %s", id().c_str(),
                          Request_Id.c_str());
      }
      if (Poison && trouble())
        return crash(Request_Id);
      sleepFor(WorkSeconds);
      if (!sendAll(Fd, httpText("HTTP/1.1 200 OK",
                                {{"X-Acacianotch-Request-Id", Request_Id},
                                 {"X-Acacianotch-Response-Seal", "3e1b.07"}},
                                "done " + Request_Id)))
        return;
    }
  }

  void crash(const string &Request) {
    {
      const std::lock_guard Guard(State.Mutex);
      if (!Server.up())
        return;
      State.Crashes.push_back(now());
      State.Record.line("engine %s begins to run %s and crashes", id().c_str(),
                        Request.c_str());
    }
    Server.crash();
    std::thread([this] {
      sleepFor(BackAfter);
      const auto Former = id();
      ++Incarnation;
      Server.start();
      sleepFor(ListLag);
      List.erase(Former);
      list();
    }).detach();
  }

  state &State;
  platform &List;
  const int Index;
  std::atomic<int> Incarnation{0};
  const int Port;
  tcp_server Server;
};

const char *Config =
    R"({"version":7,"routes":[{"name":"r-b","host":"site.example","path-prefix":"/b/","kind":"unsafe","timeout-ms":600,"target-latency-ms":100,"priority":2,"service":"balcao-reservas","max-attempts":2,"allow-anonymous":false},{"name":"r-c","host":"site.example","path-prefix":"/c/","kind":"safe","timeout-ms":600,"target-latency-ms":100,"priority":2,"service":"balcao-reservas","max-attempts":2,"allow-anonymous":false}],"services":[{"name":"balcao-reservas","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";

message ask(const deployment &System, int Gateway, const string &Id,
            const string &Method, const string &Path) {
  return call(deployment::gatewayIp(Gateway), System.Front, Method, Path,
              {{"X-Acacianotch-Request-Id", Id},
               {"X-Acacianotch-Deadline-Ms", "600"},
               {"X-Api-Key", "n2ctnfzs989anu6wsjnb"}},
              "", 1.5);
}

int play(state &State, deployment *System) {
  // Threads of the engines run until the script exits.
  for (int Index = 0; Index < Engines; ++Index)
    new engine(State, System->List, Index);
  System->start();
  if (System->order("PUT", "/api/config", Config, 10).Status != 200 ||
      !System->waitReady(10))
    return could_not_run;
  sleepFor(1.5);
  State.Record.line("the deployment is ready");

  // Other callers: bookings, which may run once at most.
  std::atomic<bool> Ending{false};
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 5; ++Caller)
    Callers.emplace_back([&, Caller] {
      for (int Number = 0; !Ending; ++Number) {
        const auto Id = "other-" + std::to_string(Caller) + "-" +
                        std::to_string(Number);
        const auto Answer = ask(*System, Caller % Gateways, Id, "POST", "/b/x");
        const auto Whole = Answer.Status == 200 && Answer.Complete;
        ++(Whole ? State.Served : State.Lost);
        if (!Whole)
          State.Record.line("booking %s: status %d, %s", Id.c_str(),
                            Answer.Status,
                            Answer.Complete ? "whole" : "not whole");
        sleepFor(0.1);
      }
    });

  for (int Number = 0; Number < Repeats; ++Number) {
    const auto Id = "again-" + std::to_string(Number);
    State.Record.line("client sends %s at gateway %d", Id.c_str(),
                      Number % Gateways);
    const auto Sent = now();
    const auto Answer =
        ask(*System, Number % Gateways, Id, "GET", PoisonPath);
    State.Record.line("client gets status %d for %s", Answer.Status,
                      Id.c_str());
    sleepFor(std::max(0.0, Sent + RepeatEvery - now()));
  }
  Ending = true;
  for (auto &Caller : Callers)
    Caller.join();

  const std::lock_guard Guard(State.Mutex);
  State.Record.line("%d bookings served, %d not", State.Served.load(),
                    State.Lost.load());
  if (State.Served == 0 || State.Poisoned.empty())
    return could_not_run;
  if (State.Crashes.size() < 3) {
    State.Record.line("fewer than three crashes: the rule holds");
    return held;
  }
  const auto From = State.Crashes[2] + ContactSeconds;
  std::set<string> Retries;
  int Arrivals = 0;
  for (const auto &Row : State.Poisoned)
    if (Row.At > From) {
      ++Arrivals;
      Retries.insert(Row.Request);
    }
  State.Record.line("third crash at %.3f s; later than %.3f s %d arrivals at "
                    "engines, in %zu repeats of the client (allowed: %d); %zu "
                    "crashes in all",
                    State.Crashes[2], From, Arrivals, Retries.size(),
                    AllowedRetries, State.Crashes.size());
  return static_cast<int>(Retries.size()) > AllowedRetries ? broken : held;
}

} // namespace

int main(int Count, char **Words) {
  signal(SIGPIPE, SIG_IGN);
  auto *State = new state(Count > 1 ? Words[1] : ".");
  auto *System = new deployment(Gateways);
  const auto Result = play(*State, System);
  System->stop();
  printf("%s\n", Result == broken ? "rule broken"
                 : Result == held ? "rule held"
                                  : "could not run");
  fflush(stdout);
  _exit(Result);
}
