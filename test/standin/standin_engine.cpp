/// \file Stand-in for a model engine with an OpenAI-style HTTP interface.
///
/// A marker in the last message of a request selects a failure mode:
///   !crash       ends the process without a response
///   !truncate    closes the connection after half of the tokens
///   !cross       responds with the id of another request
///   !fail        responds with status 500
///   !stall       never responds
/// GET /standin/stats reports how often requests ran, by request id, by text
/// and by model.
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
constexpr int CrashExitCode = 70;

struct engine_options {
  std::string Listen = "127.0.0.1:0";
  std::uint64_t TokenDelayUs = 1000;
  std::uint64_t FirstTokenDelayUs = 2000;
};

/// Fields of a chat completion request.
struct engine_request {
  std::string Id;
  std::string Model;
  std::string Text;
  std::uint64_t Tokens = DefaultTokens;
  bool Streamed = false;
  bool IncludeUsage = false;

  [[nodiscard]] auto textContains(std::string_view Marker) const -> bool {
    return Text.find(Marker) != std::string::npos;
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
    handleCompletion(Exchange, parseRequest(*Exchange));
  }

private:
  struct generation {
    std::shared_ptr<http_exchange> Exchange;
    engine_request Request;
    std::uint64_t Sent = 0;
    std::unique_ptr<loop_timer> Timer;
  };

  [[nodiscard]] auto stats() const -> json {
    return {{"runs", Runs},           {"by_id", RunsById},
            {"by_text", RunsByText},  {"by_model", RunsByModel},
            {"cancelled", Cancelled}, {"running", Generations.size()}};
  }

  auto handleCompletion(const std::shared_ptr<http_exchange> &Exchange,
                        engine_request Request) -> void {
    ++Runs;
    ++RunsById[Request.Id];
    ++RunsByText[Request.Text];
    ++RunsByModel[Request.Model];
    if (Request.textContains("!crash"))
      std::_Exit(CrashExitCode);
    if (Request.textContains("!stall")) {
      Stalled.push_back(Exchange);
      return;
    }
    if (Request.textContains("!fail")) {
      Exchange->reply(HttpServerError, {}, R"({"error":{"message":"failed"}})");
      return;
    }
    if (Request.textContains("!cross"))
      Request.Id += "-other";
    startGeneration(Exchange, std::move(Request));
  }

  auto startGeneration(const std::shared_ptr<http_exchange> &Exchange,
                       engine_request Request) -> void {
    auto Generation = std::make_shared<generation>();
    Generation->Exchange = Exchange;
    Generation->Request = std::move(Request);
    Generations[Generation.get()] = Generation;
    Exchange->onClosed([this, GenerationKey = Generation.get()] {
      ++Cancelled;
      Generations.erase(GenerationKey);
    });
    Generation->Timer = Loop.oneShot([this, GenerationKey = Generation.get()] {
      produceToken(GenerationKey);
    });
    Generation->Timer->start(duration(Options.FirstTokenDelayUs));
  }

  auto produceToken(generation *GenerationKey) -> void {
    const auto Generation = Generations.at(GenerationKey);
    if (Generation->Request.Streamed)
      sendToken(*Generation);
    ++Generation->Sent;
    const auto HalfSent = Generation->Sent * 2 >= Generation->Request.Tokens;
    if (HalfSent && Generation->Request.textContains("!truncate")) {
      Generation->Exchange->abort();
      Generations.erase(GenerationKey);
      return;
    }
    if (Generation->Sent >= Generation->Request.Tokens) {
      finish(*Generation);
      Generations.erase(GenerationKey);
      return;
    }
    Generation->Timer->start(duration(Options.TokenDelayUs));
  }

  static auto headers(const generation &Generation, const char *Type)
      -> http_headers {
    return {{"Content-Type", Type}, {"X-Request-Id", Generation.Request.Id}};
  }

  static auto usage(const generation &Generation) -> json {
    return {{"prompt_tokens", Generation.Request.Text.size() / 4 + 1},
            {"completion_tokens", Generation.Sent},
            {"total_tokens",
             Generation.Request.Text.size() / 4 + 1 + Generation.Sent}};
  }

  static auto sendEvent(generation &Generation, const json &Event) -> void {
    Generation.Exchange->writeChunk("data: " + Event.dump() + "\n\n", [] {});
  }

  static auto emptyChunk(const generation &Generation) -> json {
    return {{"id", Generation.Request.Id},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", Generation.Request.Model},
            {"choices", json::array()}};
  }

  static auto sendToken(generation &Generation) -> void {
    if (Generation.Sent == 0)
      Generation.Exchange->startStream(
          HttpOk, headers(Generation, "text/event-stream"));
    auto Event = emptyChunk(Generation);
    Event["choices"].push_back(
        {{"index", 0},
         {"delta", {{"content", "t" + std::to_string(Generation.Sent) + " "}}},
         {"finish_reason", nullptr}});
    sendEvent(Generation, Event);
  }

  static auto finish(generation &Generation) -> void {
    if (!Generation.Request.Streamed) {
      sendCompletion(Generation);
      return;
    }
    auto FinalChunk = emptyChunk(Generation);
    FinalChunk["choices"].push_back(
        {{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}});
    sendEvent(Generation, FinalChunk);
    if (Generation.Request.IncludeUsage) {
      auto Usage = emptyChunk(Generation);
      Usage["usage"] = usage(Generation);
      sendEvent(Generation, Usage);
    }
    Generation.Exchange->writeChunk("data: [DONE]\n\n", [] {});
    Generation.Exchange->endStream();
  }

  static auto sendCompletion(generation &Generation) -> void {
    std::string Text;
    for (std::uint64_t Token = 0; Token < Generation.Request.Tokens; ++Token)
      Text += "t" + std::to_string(Token) + " ";
    const json Body = {
        {"id", Generation.Request.Id},
        {"object", "chat.completion"},
        {"created", 0},
        {"model", Generation.Request.Model},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", Text}}},
           {"finish_reason", "stop"}}}},
        {"usage", usage(Generation)}};
    Generation.Exchange->reply(HttpOk, headers(Generation, "application/json"),
                               Body.dump());
  }

  event_loop &Loop;
  engine_options Options;
  std::map<generation *, std::shared_ptr<generation>> Generations;
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
