// Small deployment on loopback for the scripts under review/: three control
// processes, gateways, the platform's list of servers, stand-in servers and
// clients. Plain POSIX sockets and threads; no dependency.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::string;
using clock_type = std::chrono::steady_clock;

inline const auto Began = clock_type::now();

/// Seconds since the start of the script.
inline double now() {
  return std::chrono::duration<double>(clock_type::now() - Began).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// Lines of what was sent, answered and run.
class record_file {
public:
  explicit record_file(const string &Path) : File(fopen(Path.c_str(), "w")) {}
  ~record_file() {
    if (File)
      fclose(File);
  }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard Guard(Mutex);
    if (!File)
      return;
    fprintf(File, "%8.3f  ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    vfprintf(File, Format, Arguments);
    va_end(Arguments);
    fputc('\n', File);
    fflush(File);
  }

private:
  FILE *File;
  std::mutex Mutex;
};

// ---------------------------------------------------------------- sockets

inline sockaddr_in socketAddress(const string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

inline int listenOn(const string &Ip, int Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const auto Address = socketAddress(Ip, Port);
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) ||
      listen(Fd, 512)) {
    close(Fd);
    return -1;
  }
  return Fd;
}

inline int connectTo(const string &Ip, int Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  const auto Address = socketAddress(Ip, Port);
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address)) {
    close(Fd);
    return -1;
  }
  return Fd;
}

inline bool sendAll(int Fd, const string &Data) {
  size_t Sent = 0;
  while (Sent < Data.size()) {
    const auto Count =
        send(Fd, Data.data() + Sent, Data.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

/// A port that is free on 127.0.0.1 to 127.0.0.9.
inline int freePort() {
  static std::atomic<int> Next{24000 + static_cast<int>(getpid() % 400) * 20};
  while (true) {
    const int Port = Next++;
    if (Port > 32700)
      Next = 24000;
    bool Free = true;
    for (int Host = 1; Host <= 9 && Free; ++Host) {
      const int Fd = listenOn("127.0.0." + std::to_string(Host), Port);
      Free = Fd >= 0;
      if (Free)
        close(Fd);
    }
    if (Free)
      return Port;
  }
}

inline string lower(string Text) {
  for (auto &Letter : Text)
    Letter = static_cast<char>(tolower(static_cast<unsigned char>(Letter)));
  return Text;
}

/// One HTTP message. A request has Method and Path, an answer Status.
struct message {
  string Method, Path;
  int Status = 0;
  std::map<string, string> Headers; ///< Names in lower case.
  string Body;
  bool Complete = false;

  string header(const string &Name) const {
    const auto Found = Headers.find(Name);
    return Found == Headers.end() ? string() : Found->second;
  }
};

/// Reads messages one after another from a socket.
class reader {
public:
  explicit reader(int TheFd) : Fd(TheFd) {}

  /// Reads one message; \p Limit is the longest silence in seconds. Status and
  /// Method are empty if no head came.
  message read(double Limit) {
    message Message;
    size_t End = string::npos;
    while ((End = Buffer.find("\r\n\r\n")) == string::npos)
      if (!fill(Limit))
        return Message;
    std::istringstream Head(Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    string Line;
    std::getline(Head, Line);
    if (Line.rfind("HTTP/", 0) == 0)
      Message.Status = atoi(Line.c_str() + 9);
    else {
      std::istringstream Words(Line);
      Words >> Message.Method >> Message.Path;
    }
    while (std::getline(Head, Line)) {
      while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
        Line.pop_back();
      const auto Colon = Line.find(':');
      if (Colon == string::npos)
        continue;
      auto Value = Line.substr(Colon + 1);
      while (!Value.empty() && Value.front() == ' ')
        Value.erase(0, 1);
      Message.Headers[lower(Line.substr(0, Colon))] = Value;
    }
    Message.Complete = Message.header("transfer-encoding") == "chunked"
                           ? readChunks(Message, Limit)
                           : readLength(Message, Limit);
    return Message;
  }

private:
  bool fill(double Limit) {
    pollfd Poll{Fd, POLLIN, 0};
    if (poll(&Poll, 1, static_cast<int>(Limit * 1000)) <= 0)
      return false;
    char Bytes[16384];
    const auto Count = recv(Fd, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }

  bool readLength(message &Message, double Limit) {
    const auto Size =
        static_cast<size_t>(atoll(Message.header("content-length").c_str()));
    while (Buffer.size() < Size)
      if (!fill(Limit)) {
        Message.Body = std::exchange(Buffer, {});
        return false;
      }
    Message.Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return true;
  }

  bool readChunks(message &Message, double Limit) {
    while (true) {
      size_t End = 0;
      while ((End = Buffer.find("\r\n")) == string::npos)
        if (!fill(Limit))
          return false;
      const auto Size = strtoul(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < End + 2 + Size + 2)
        if (!fill(Limit))
          return false;
      Message.Body += Buffer.substr(End + 2, Size);
      Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }

  int Fd;
  string Buffer;
};

inline string httpText(const string &First,
                       const std::vector<std::pair<string, string>> &Headers,
                       const string &Body) {
  string Text = First + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Sends one request on a new connection and reads the answer.
inline message call(const string &Ip, int Port, const string &Method,
                    const string &Path,
                    std::vector<std::pair<string, string>> Headers,
                    const string &Body, double Limit) {
  const int Fd = connectTo(Ip, Port);
  if (Fd < 0)
    return {};
  Headers.insert(Headers.begin(), {"Host", "site.example"});
  message Answer;
  if (sendAll(Fd, httpText(Method + " " + Path + " HTTP/1.1", Headers, Body)))
    Answer = reader(Fd).read(Limit);
  close(Fd);
  return Answer;
}

// ---------------------------------------------------------------- servers

/// Accepts connections, one thread each. crash() closes the listening socket
/// and all connections, as the end of a process does; start() listens again.
class tcp_server {
public:
  using handler = std::function<void(int Fd)>;

  tcp_server(string TheIp, int ThePort, handler TheHandler)
      : Ip(std::move(TheIp)), Port(ThePort), Handler(std::move(TheHandler)) {
    start();
  }
  ~tcp_server() { crash(); }

  void start() {
    const std::lock_guard Guard(Mutex);
    if (Listener >= 0)
      return;
    Listener = listenOn(Ip, Port);
    std::thread([this, Fd = Listener] { accept(Fd); }).detach();
  }

  void crash() {
    const std::lock_guard Guard(Mutex);
    if (Listener >= 0) {
      shutdown(Listener, SHUT_RDWR);
      close(Listener);
    }
    Listener = -1;
    const linger Reset{1, 0};
    for (const int Fd : Open) {
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
      shutdown(Fd, SHUT_RDWR);
    }
  }

  bool up() {
    const std::lock_guard Guard(Mutex);
    return Listener >= 0;
  }

  const string Ip;
  const int Port;

private:
  void accept(int From) {
    while (true) {
      const int Fd = ::accept4(From, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      const int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      {
        const std::lock_guard Guard(Mutex);
        if (Listener != From) {
          close(Fd);
          return;
        }
        Open.insert(Fd);
      }
      std::thread([this, Fd] {
        Handler(Fd);
        const std::lock_guard Guard(Mutex);
        Open.erase(Fd);
        close(Fd);
      }).detach();
    }
  }

  handler Handler;
  std::mutex Mutex;
  int Listener = -1;
  std::set<int> Open;
};

/// One row of the platform's list.
struct listed_server {
  string Id, Service, Address, Zone = "zone-a", Version = "v1";
  int Slots = 8;
  string State = "ready";
  uint64_t Born = 1;
};

/// The platform's list of servers.
class platform {
public:
  platform() : Port(freePort()), Server("127.0.0.1", Port, [this](int Fd) {
                 reader Reader(Fd);
                 while (true) {
                   const auto Request = Reader.read(30);
                   if (Request.Method.empty())
                     return;
                   if (!sendAll(Fd, httpText("HTTP/1.1 200 OK",
                                             {{"Content-Type",
                                               "application/json"}},
                                             page())))
                     return;
                 }
               }) {}

  void set(const listed_server &Row) {
    const std::lock_guard Guard(Mutex);
    Rows[Row.Id] = Row;
  }
  void erase(const string &Id) {
    const std::lock_guard Guard(Mutex);
    Rows.erase(Id);
  }

  const int Port;

private:
  string page() {
    const std::lock_guard Guard(Mutex);
    string Text;
    for (const auto &[Id, Row] : Rows)
      Text += string(Text.empty() ? "" : ",") + "{\"service\":\"" +
              Row.Service + "\",\"address\":\"" + Row.Address +
              "\",\"zone\":\"" + Row.Zone + "\",\"version\":\"" + Row.Version +
              "\",\"slots\":" + std::to_string(Row.Slots) + ",\"state\":\"" +
              Row.State + "\",\"cold-remaining-ms\":0,\"born\":" +
              std::to_string(Row.Born) + ",\"id\":\"" + Id + "\"}";
    return "{\"instances\":[" + Text + "],\"next\":null}";
  }

  std::mutex Mutex;
  std::map<string, listed_server> Rows;
  tcp_server Server;
};

// ---------------------------------------------------------------- processes

class process {
public:
  process(string ThePath, string TheSettings, string TheLog)
      : Path(std::move(ThePath)), Settings(std::move(TheSettings)),
        Log(std::move(TheLog)) {}
  ~process() { kill(); }

  void start() {
    Pid = fork();
    if (Pid != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(File, 1);
    dup2(File, 2);
    execl(Path.c_str(), Path.c_str(), "--settings", Settings.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
  void signal(int Number) {
    if (running())
      ::kill(Pid, Number);
  }
  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGCONT);
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  bool running() {
    if (Pid > 0 && waitpid(Pid, &Status, WNOHANG) == Pid)
      Pid = -1;
    return Pid > 0;
  }
  /// Wait status after running() has returned false.
  int Status = 0;

private:
  string Path, Settings, Log;
  pid_t Pid = -1;
};

/// Control at 127.0.0.2 to 127.0.0.4, gateways from 127.0.0.5 on; ports are the
/// same on all machines, as on the platform.
class deployment {
public:
  deployment(int GatewayCount, double SessionSeconds = 5, int GraceSeconds = 8)
      : Operator(freePort()), Rpc(freePort()), Front(freePort()),
        Ready(freePort()), AdminControl(freePort()), AdminGateway(freePort()) {
    const char *Root = getenv("REVIEW_ROOT");
    const auto Program = string(Root ? Root : ".") + "/target/acacianotchd";
    const char *Base = getenv("REVIEW_TMP");
    auto Pattern = string(Base ? Base : "/tmp") + "/review-XXXXXX";
    Folder = mkdtemp(Pattern.data());
    string Seeds;
    for (int Index = 0; Index < 3; ++Index)
      Seeds += string(Index ? ", " : "") + "\"" + controlIp(Index) + ":" +
               std::to_string(Operator) + "\"";
    for (int Index = 0; Index < 3; ++Index) {
      const auto Ip = controlIp(Index);
      const auto Name = "control-" + std::to_string(Index);
      mkdir((Folder + "/" + Name).c_str(), 0700);
      std::ofstream(Folder + "/" + Name + ".toml")
          << "role = \"control\"\n[node]\nid = \"" << Name
          << "\"\nzone = \"zone-a\"\n[control]\ndata_folder = \"" << Folder
          << "/" << Name << "\"\ntolerated_losses = 1\nseeds = [" << Seeds
          << "]\nrpc_port = " << Rpc
          << "\nbootstrap = true\noperator_listen = \"" << Ip << ":"
          << Operator << "\"\nsnapshot_every = 200\n[gateway]\nbackends = \""
          << "127.0.0.1:" << List.Port
          << "\"\nbackend_interval_ms = 1000\nexposure_share = 0.15\n"
          << "[rpc]\nlisten = \"" << Ip << ":" << Rpc
          << "\"\nkeepalive_s = 2\n[admin]\nlisten = \"" << Ip << ":"
          << AdminControl << "\"\n[shutdown]\ndeadline_s = 5\n";
      Control.push_back(std::make_unique<process>(
          Program, Folder + "/" + Name + ".toml", Folder + "/" + Name + ".log"));
    }
    for (int Index = 0; Index < GatewayCount; ++Index) {
      const auto Ip = gatewayIp(Index);
      const auto Name = "gateway-" + std::to_string(Index);
      std::ofstream(Folder + "/" + Name + ".toml")
          << "role = \"gateway\"\n[node]\nid = \"" << Name
          << "\"\nzone = \"zone-a\"\n[http]\nlisten = \"" << Ip << ":" << Front
          << "\"\n[gateway]\nready_listen = \"" << Ip << ":" << Ready
          << "\"\nbackends = \"127.0.0.1:" << List.Port
          << "\"\nbackend_interval_ms = 1500\ngrace_s = " << GraceSeconds
          << "\nsession_s = " << SessionSeconds
          << "\nexposure_share = 0.15\n[control]\naddresses = [" << Seeds
          << "]\nrpc_port = " << Rpc << "\n[admin]\nlisten = \"" << Ip << ":"
          << AdminGateway << "\"\n[rpc]\nkeepalive_s = 2\n";
      Gateways.push_back(std::make_unique<process>(
          Program, Folder + "/" + Name + ".toml", Folder + "/" + Name + ".log"));
    }
  }

  /// Ends all processes and removes their folder.
  void stop() {
    Gateways.clear();
    Control.clear();
    if (!getenv("REVIEW_KEEP"))
      if (system(("rm -rf '" + Folder + "'").c_str()) != 0)
        fprintf(stderr, "cannot remove %s\n", Folder.c_str());
  }

  void start() {
    for (auto &Process : Control)
      Process->start();
    for (auto &Process : Gateways)
      Process->start();
  }

  /// Calls the operator's API as the operator does: any machine, redirects
  /// followed, again after failures. \return the last answer.
  message order(const string &Method, const string &Path, const string &Body,
                double Limit) {
    const auto End = now() + Limit;
    message Answer;
    for (int Try = 0; now() < End; ++Try) {
      auto Ip = controlIp(Try % 3);
      for (int Hop = 0; Hop < 3; ++Hop) {
        Answer = call(Ip, Operator, Method, Path,
                      {{"Content-Type", "application/json"}}, Body, 1.0);
        if (Answer.Status != 307)
          break;
        const auto Location = Answer.header("location");
        Ip = Location.substr(7, Location.find(':', 7) - 7);
      }
      if (Answer.Status >= 200 && Answer.Status < 500 && Answer.Status != 307 &&
          Answer.Status != 408 && Answer.Status != 429)
        return Answer;
      sleepFor(0.1);
    }
    return Answer;
  }

  /// \return whether all gateways are ready in time.
  bool waitReady(double Limit) {
    const auto End = now() + Limit;
    for (size_t Index = 0; Index < Gateways.size(); ++Index)
      while (call(gatewayIp(static_cast<int>(Index)), Ready, "GET",
                  "/api/ready", {}, "", 1)
                 .Status != 200) {
        if (now() > End)
          return false;
        sleepFor(0.05);
      }
    return true;
  }

  static string controlIp(int Index) {
    return "127.0.0." + std::to_string(2 + Index);
  }
  static string gatewayIp(int Index) {
    return "127.0.0." + std::to_string(5 + Index);
  }

  platform List;
  const int Operator, Rpc, Front, Ready, AdminControl, AdminGateway;
  string Folder;
  std::vector<std::unique_ptr<process>> Control, Gateways;
};

/// \return whether the script plays the disruption.
inline bool trouble() {
  const char *Text = getenv("TROUBLE");
  return !Text || string(Text) != "0";
}

enum outcome { held = 0, broken = 1, could_not_run = 2 };

} // namespace review
