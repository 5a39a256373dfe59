/// \file Stand-in for a model engine with an OpenAI-style HTTP interface.
///
/// Words in the last message of a request choose its behaviour:
///   !crash       ends the process without an answer
///   !truncate    closes the connection after half of the tokens
///   !cross       answers with the id of another request
///   !fail        answers 500
///   !stall       never answers
/// GET /standin/stats reports the runs, counted by request id and by text.
#include "net/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <map>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr std::uint64_t DefaultTokens = 16;
constexpr int HttpOk = 200;
constexpr int HttpServerError = 500;
constexpr int HttpNotFound = 404;
constexpr int CrashStatus = 70;

struct engine_options {
  std::string Listen = "127.0.0.1:0";
  std::uint64_t TokenDelayUs = 1000;
  std::uint64_t FirstTokenDelayUs = 2000;
};

/// What one request asks for.
struct engine_request {
  std::string Id;
  std::string Model;
  std::string Text;
  std::uint64_t Tokens = DefaultTokens;
  bool Streamed = false;
  bool IncludeUsage = false;

  [[nodiscard]] auto asksFor(std::string_view Word) const -> bool {
    return Text.find(Word) != std::string::npos;
  }
};

auto parseRequest(const http_exchange &Exchange) -> engine_request {
  engine_request Request;
  Request.Id = Exchange.header("X-Request-Id").value_or("");
  const auto Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object())
    return Request;
  Request.Model = Body.value("model", "");
  Request.Tokens = Body.value("max_tokens", DefaultTokens);
  Request.Streamed = Body.value("stream", false);
  const auto Options = Body.value("stream_options", json::object());
  Request.IncludeUsage = Options.value("include_usage", false);
  const auto Messages = Body.value("messages", json::array());
  if (!Messages.empty())
    Request.Text = Messages.back().value("content", "");
  return Request;
}

class engine {
public:
  engine(event_loop &TheLoop, engine_options TheOptions)
      : Loop(TheLoop), Options(std::move(TheOptions)) {}

  auto handle(const std::shared_ptr<http_exchange> &Exchange) -> void {
    if (Exchange->path() == "/standin/stats") {
      Exchange->reply(HttpOk, {{"Content-Type", "application/json"}},
                      stats().dump());
      return;
    }
    if (Exchange->path() != "/v1/chat/completions") {
      Exchange->reply(HttpNotFound, {}, "");
      return;
    }
    answer(Exchange, parseRequest(*Exchange));
  }

private:
  struct stream {
    std::shared_ptr<http_exchange> Exchange;
    engine_request Request;
    std::uint64_t Sent = 0;
    std::unique_ptr<loop_timer> Timer;
  };

  [[nodiscard]] auto stats() const -> json {
    return {{"runs", Runs},           {"by_id", RunsById},
            {"by_text", RunsByText},  {"by_model", RunsByModel},
            {"cancelled", Cancelled}, {"running", Streams.size()}};
  }

  auto answer(const std::shared_ptr<http_exchange> &Exchange,
              engine_request Request) -> void {
    ++Runs;
    ++RunsById[Request.Id];
    ++RunsByText[Request.Text];
    ++RunsByModel[Request.Model];
    if (Request.asksFor("!crash"))
      std::_Exit(CrashStatus);
    if (Request.asksFor("!stall")) {
      Stalled.push_back(Exchange);
      return;
    }
    if (Request.asksFor("!fail")) {
      Exchange->reply(HttpServerError, {}, R"({"error":{"message":"failed"}})");
      return;
    }
    if (Request.asksFor("!cross"))
      Request.Id += "-other";
    startAnswer(Exchange, std::move(Request));
  }

  auto startAnswer(const std::shared_ptr<http_exchange> &Exchange,
                   engine_request Request) -> void {
    auto Stream = std::make_shared<stream>();
    Stream->Exchange = Exchange;
    Stream->Request = std::move(Request);
    Streams[Stream.get()] = Stream;
    Exchange->onClosed([this, Key = Stream.get()] {
      ++Cancelled;
      Streams.erase(Key);
    });
    Stream->Timer = Loop.oneShot([this, Key = Stream.get()] { step(Key); });
    Stream->Timer->start(duration(Options.FirstTokenDelayUs));
  }

  auto step(stream *Key) -> void {
    const auto Stream = Streams.at(Key);
    if (Stream->Request.Streamed)
      sendToken(*Stream);
    ++Stream->Sent;
    const auto Half = Stream->Sent * 2 >= Stream->Request.Tokens;
    if (Half && Stream->Request.asksFor("!truncate")) {
      Stream->Exchange->abort();
      Streams.erase(Key);
      return;
    }
    if (Stream->Sent >= Stream->Request.Tokens) {
      finish(*Stream);
      Streams.erase(Key);
      return;
    }
    Stream->Timer->start(duration(Options.TokenDelayUs));
  }

  static auto headers(const stream &Stream, const char *Type) -> http_headers {
    return {{"Content-Type", Type}, {"X-Request-Id", Stream.Request.Id}};
  }

  static auto usage(const stream &Stream) -> json {
    return {{"prompt_tokens", Stream.Request.Text.size() / 4 + 1},
            {"completion_tokens", Stream.Sent},
            {"total_tokens", Stream.Request.Text.size() / 4 + 1 + Stream.Sent}};
  }

  static auto sendEvent(stream &Stream, const json &Event) -> void {
    Stream.Exchange->writeChunk("data: " + Event.dump() + "\n\n", [] {});
  }

  static auto chunk(const stream &Stream) -> json {
    return {{"id", Stream.Request.Id},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", Stream.Request.Model},
            {"choices", json::array()}};
  }

  static auto sendToken(stream &Stream) -> void {
    if (Stream.Sent == 0)
      Stream.Exchange->startStream(HttpOk,
                                   headers(Stream, "text/event-stream"));
    auto Event = chunk(Stream);
    Event["choices"].push_back(
        {{"index", 0},
         {"delta", {{"content", "t" + std::to_string(Stream.Sent) + " "}}},
         {"finish_reason", nullptr}});
    sendEvent(Stream, Event);
  }

  static auto finish(stream &Stream) -> void {
    if (!Stream.Request.Streamed) {
      sendWhole(Stream);
      return;
    }
    auto Last = chunk(Stream);
    Last["choices"].push_back(
        {{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}});
    sendEvent(Stream, Last);
    if (Stream.Request.IncludeUsage) {
      auto Usage = chunk(Stream);
      Usage["usage"] = usage(Stream);
      sendEvent(Stream, Usage);
    }
    Stream.Exchange->writeChunk("data: [DONE]\n\n", [] {});
    Stream.Exchange->endStream();
  }

  static auto sendWhole(stream &Stream) -> void {
    std::string Text;
    for (std::uint64_t Token = 0; Token < Stream.Request.Tokens; ++Token)
      Text += "t" + std::to_string(Token) + " ";
    const json Body = {
        {"id", Stream.Request.Id},
        {"object", "chat.completion"},
        {"created", 0},
        {"model", Stream.Request.Model},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", Text}}},
           {"finish_reason", "stop"}}}},
        {"usage", usage(Stream)}};
    Stream.Exchange->reply(HttpOk, headers(Stream, "application/json"),
                           Body.dump());
  }

  event_loop &Loop;
  engine_options Options;
  std::map<stream *, std::shared_ptr<stream>> Streams;
  std::vector<std::shared_ptr<http_exchange>> Stalled;
  std::map<std::string, std::uint64_t> RunsById;
  std::map<std::string, std::uint64_t> RunsByText;
  std::map<std::string, std::uint64_t> RunsByModel;
  std::uint64_t Runs = 0;
  std::uint64_t Cancelled = 0;
};

auto runEngine(const engine_options &Options) -> int {
  auto Loop = event_loop::create();
  const auto Address = parseAddress(Options.Listen);
  if (!Loop || !Address)
    return EXIT_FAILURE;
  engine Engine(**Loop, Options);
  const auto Server = http_server::create(
      **Loop, *Address, {},
      [&Engine](const std::shared_ptr<http_exchange> &Exchange) {
        Engine.handle(Exchange);
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
  engine_options Options;
  CLI::App App("Stand-in model engine for tests");
  App.add_option("--listen", Options.Listen, "Address to listen on");
  App.add_option("--token-delay-us", Options.TokenDelayUs,
                 "Time between tokens in microseconds");
  App.add_option("--first-token-delay-us", Options.FirstTokenDelayUs,
                 "Time to the first token in microseconds");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return runEngine(Options);
}
