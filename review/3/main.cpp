// One client names a model that the engines do not have. The engines answer 421,
// as the pages say; the requests of all other clients go on.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr int Gateways = 2;
constexpr int ModelEngines = 6;
constexpr int PlainEngines = 3;
constexpr double PlaySeconds = 34;
constexpr double OddAt = 8;       // the odd client's first request
constexpr int OddRequests = 1; // on each gateway, with one retry
constexpr double SettleSeconds = 5; // contact-ms and config-apply-ms

const std::set<string> Models{"daka510000", "rada7437b5", "ravo486f6a"};

struct counts {
  std::atomic<int> Sent{0}, Served{0}, Refused{0}, Other{0};
};

/// A sound server. It runs a request that expects it and, if it is a model
/// engine, names one of its models; all others get 421 and do not run.
void serve(int Fd, const string &Id, bool HasModels, record_file &Record) {
  reader Reader(Fd);
  while (true) {
    const auto Request = Reader.read(60);
    if (Request.Method.empty())
      return;
    if (Request.Path == "/api/report") {
      if (!sendAll(Fd, httpText("HTTP/1.1 200 OK",
                                {{"Content-Type", "application/json"}},
                                "{\"stage\":\"both\",\"busy\":false,"
                                "\"queued\":0,\"active\":0,\"runs\":[]}")))
        return;
      continue;
    }
    const auto RequestId = Request.header("x-acacianotch-request-id");
    const auto Model = Request.header("x-acacianotch-model");
    const auto Own = Request.header("x-acacianotch-expect-instance") == Id;
    const auto Known = !HasModels || Models.count(Model) != 0;
    if (!Own || !Known) {
      Record.line("engine %s answers 421 to %s (model '%s')", Id.c_str(),
                  RequestId.c_str(), Model.c_str());
      if (!sendAll(Fd, httpText("HTTP/1.1 421 Misdirected Request",
                                {{"X-Acacianotch-Request-Id", RequestId},
                                 {"X-Acacianotch-Not-Executed", "1"}},
                                "")))
        return;
      continue;
    }
    if (!HasModels) {
      if (!sendAll(Fd, httpText("HTTP/1.1 200 OK",
                                {{"X-Acacianotch-Request-Id", RequestId},
                                 {"X-Acacianotch-Response-Seal", "3e1b.07"}},
                                "booked")))
        return;
      continue;
    }
    string Text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  "X-Acacianotch-Request-Id: " +
                  RequestId +
                  "\r\nX-Acacianotch-Response-Seal: 3e1b.07\r\n"
                  "X-Acacianotch-Confidence: 99\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n";
    for (int Event = 1; Event <= 3; ++Event) {
      const auto Piece = "id: " + std::to_string(Event) + "\ndata: x\n\n";
      char Size[16];
      snprintf(Size, sizeof Size, "%zx\r\n", Piece.size());
      Text += Size + Piece + "\r\n";
    }
    if (!sendAll(Fd, Text + "0\r\n\r\n"))
      return;
  }
}

string config(int Version, bool Later) {
  const string Added =
      R"(,{"name":"r-a","host":"site.example","path-prefix":"/a/","kind":"streaming","timeout-ms":20000,"target-latency-ms":2000,"priority":0,"sizes":["daka510000","rada7437b5","ravo486f6a"],"service":"assistente","max-attempts":3,"allow-anonymous":false,"session-affinity":true,"stream-resume":true,"target-gap-ms":1200})";
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"r-b","host":"site.example","path-prefix":"/b/","kind":"unsafe","timeout-ms":600,"target-latency-ms":100,"priority":2,"service":"balcao-reservas","max-attempts":2,"allow-anonymous":false})" +
         (Later ? Added : "") +
         R"(],"services":[{"name":"balcao-reservas","health-path":"/health","max-connections":130,"protocol":"h1","tls":false},{"name":"assistente","health-path":"/health","max-connections":330,"protocol":"h1","tls":false,"engine":{"slots":48,"kv-capacity-tokens":553448,"kv-token-bytes":35136,"link-mbps":550000.0,"models":[{"name":"daka510000","cost":0.017},{"name":"rada7437b5","cost":0.13},{"name":"ravo486f6a","cost":0.26}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";
}

message ask(const deployment &System, int Gateway, const string &Path,
            const string &Id, const string &Model) {
  std::vector<std::pair<string, string>> Headers{
      {"X-Acacianotch-Request-Id", Id},
      {"X-Acacianotch-Deadline-Ms", Path == "/a/x" ? "20000" : "600"},
      {"X-Api-Key", "n2ctnfzs989anu6wsjnb"}};
  if (!Model.empty()) {
    Headers.emplace_back("X-Acacianotch-Model", Model);
    Headers.emplace_back("X-Acacianotch-Token-Counts", "1460,80");
    Headers.emplace_back("X-Acacianotch-Prompt-Prefix",
                         "5c1e07a2:800,91bd3f06:660");
  }
  return call(deployment::gatewayIp(Gateway), System.Front, "POST", Path,
              Headers, "b", 3);
}

int play(record_file &Record, deployment &System) {
  for (int Index = 0; Index < ModelEngines + PlainEngines; ++Index) {
    const auto Id = "i-" + std::to_string(Index);
    const auto Port = freePort();
    const auto HasModels = Index < ModelEngines;
    new tcp_server("127.0.0.1", Port, [Id, HasModels, &Record](int Fd) {
      serve(Fd, Id, HasModels, Record);
    });
    System.List.set({Id, HasModels ? "assistente" : "balcao-reservas",
                     "127.0.0.1:" + std::to_string(Port), "zone-a", "v1",
                     HasModels ? 48 : 6});
  }
  System.start();
  if (System.order("PUT", "/api/config", config(7, false), 10).Status != 200 ||
      !System.waitReady(10))
    return could_not_run;
  if (System.order("PUT", "/api/config", config(9, true), 10).Status != 200)
    return could_not_run;
  sleepFor(3);
  Record.line("config 9 has added the route /a/");

  counts First, Added;
  std::atomic<bool> Ending{false}, Steady{false};
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 4; ++Caller)
    Callers.emplace_back([&, Caller] {
      const auto Later = Caller < 2;
      auto &Counts = Later ? Added : First;
      for (int Number = 0; !Ending; ++Number) {
        const auto Id = string(Later ? "a-" : "b-") + std::to_string(Caller) +
                        "-" + std::to_string(Number);
        const auto Counted = Steady.load();
        const auto Answer = ask(System, Caller % Gateways,
                                Later ? "/a/x" : "/b/x", Id, Later ? "*" : "");
        if (Number % 20 == 0 || (Answer.Status != 200 && Number % 5 == 0))
          Record.line("%s: status %d", Id.c_str(), Answer.Status);
        if (Counted) {
          ++Counts.Sent;
          ++(Answer.Status == 200 && Answer.Complete ? Counts.Served
             : Answer.Status == 503                  ? Counts.Refused
                                                     : Counts.Other);
        }
        sleepFor(0.2);
      }
    });
  sleepFor(std::max(0.0, OddAt - now()));
  if (trouble())
    for (int Number = 0; Number < OddRequests; ++Number)
      for (int Gateway = 0; Gateway < Gateways; ++Gateway)
        for (int Try = 0; Try < 2; ++Try) {
          const auto Id = "odd-" + std::to_string(Number) + "-" +
                          std::to_string(Gateway) + "-" + std::to_string(Try);
          const auto Answer = ask(System, Gateway, "/a/x", Id, "retired-model");
          Record.line("the odd client gets status %d for %s", Answer.Status,
                      Id.c_str());
          sleepFor(0.2);
          if (Answer.Status != 503)
            break;
        }
  sleepFor(SettleSeconds);
  Steady = true;
  Record.line("from here on nothing but sound requests is sent, and counted");
  sleepFor(std::max(0.0, PlaySeconds - now()));
  Ending = true;
  for (auto &Caller : Callers)
    Caller.join();
  Record.line("first route: %d sent, %d served, %d refused, %d else",
              First.Sent.load(), First.Served.load(), First.Refused.load(),
              First.Other.load());
  Record.line("route added later: %d sent, %d served, %d refused, %d else",
              Added.Sent.load(), Added.Served.load(), Added.Refused.load(),
              Added.Other.load());
  if (First.Sent == 0 || Added.Sent < 20 || First.Served == 0)
    return could_not_run;
  const auto ShareFirst = 1.0 * First.Served / First.Sent;
  const auto ShareAdded = 1.0 * Added.Served / Added.Sent;
  return ShareAdded < ShareFirst / 4 ? broken : held;
}

} // namespace

int main(int Count, char **Words) {
  signal(SIGPIPE, SIG_IGN);
  auto *Record =
      new record_file(string(Count > 1 ? Words[1] : ".") + "/record.txt");
  auto *System = new deployment(Gateways);
  const auto Result = play(*Record, *System);
  System->stop();
  printf("%s\n", Result == broken ? "rule broken"
                 : Result == held ? "rule held"
                                  : "could not run");
  fflush(stdout);
  _exit(Result);
}
