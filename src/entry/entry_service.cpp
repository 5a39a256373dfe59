/// \file HTTP API of an entry.
#include "entry/entry_service.h"

#include "entry/api_reply.h"
#include "entry/caller_auth.h"
#include "entry/request_task.h"
#include "entry/version_choice.h"

namespace acacianotch {

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr int HttpOk = 200;

auto isServicePath(const std::string &Path) -> bool {
  return Path.compare(0, ServicePrefix.size(), ServicePrefix) == 0;
}

auto modelRow(const std::string &Name, const std::string &Owner) -> json {
  return {
      {"id", Name}, {"object", "model"}, {"created", 0}, {"owned_by", Owner}};
}

} // namespace

entry_service::~entry_service() = default;

auto entry_service::handle(const std::shared_ptr<http_exchange> &Exchange)
    -> void {
  const auto Reject = [&](const failure &Failure) {
    ++Context.Counters.NotRun;
    replyError(*Exchange, Failure);
  };
  if (Stopping)
    return Reject(failure::of(errc::shutting_down));
  if (!Context.View.ready())
    return Reject(failure::of(errc::not_ready));
  const auto Account = authenticate(Context.View, *Exchange);
  if (!Account)
    return Reject(Account.error());
  const auto Path = Exchange->path();
  if (Path == ModelsPath && Exchange->method() == "GET")
    return listModels(*Exchange, **Account);
  const auto IsChat = Path == ChatPath && Exchange->method() == "POST";
  if (!IsChat && !isServicePath(Path))
    return Reject(failure::of(errc::unknown_service, Path));
  startTask(Exchange, **Account);
}

auto entry_service::startTask(const std::shared_ptr<http_exchange> &Exchange,
                              const model_entry &Account) -> void {
  const auto Number = NextTask++;
  auto Task = std::make_unique<request_task>(
      Context, Exchange, Account, [this, Number] {
        Context.Loop.defer([this, Number] { Tasks.erase(Number); });
      });
  auto &Started = *Task;
  Tasks.emplace(Number, std::move(Task));
  Started.start();
}

auto entry_service::listModels(http_exchange &Exchange,
                               const model_entry &Account) -> void {
  const auto &Body = std::get<account_body>(Account.Body);
  const auto &View = Context.View;
  json Rows = json::array();
  for (const auto &[Name, Route] : View.entries(entry_kind::route))
    if (resolveModel(View, Body, Name, 0).ok())
      Rows.push_back(modelRow(Name, Route.Owner));
  for (const auto &[Name, Version] : View.entries(entry_kind::version)) {
    const auto Ref = std::get<version_body>(Version.Body).ref();
    if (checkVersion(View, Body, Ref).ok())
      Rows.push_back(modelRow(Name, Version.Owner));
  }
  const json Answer = {{"object", "list"}, {"data", Rows}};
  replyJson(Exchange, HttpOk, Answer.dump());
}

} // namespace acacianotch
