/// \file A caller's chat completion request.
#include "entry/chat_request.h"

#include <xxhash.h>

namespace acacianotch {

namespace {

using nlohmann::json;

// More than any valid request needs. Without a limit, deeply nested input would
// overflow the stack.
constexpr int MaxJsonDepth = 64;

auto parseBounded(std::string_view Body) -> json {
  const auto Limit = [](int Depth, json::parse_event_t, json &) {
    if (Depth > MaxJsonDepth)
      throw std::length_error("nesting");
    return true;
  };
  try {
    return json::parse(Body, Limit, false);
  } catch (const std::length_error &) {
    return json(json::value_t::discarded);
  }
}

auto badRequest(std::string Detail) -> failure {
  return failure::of(errc::bad_request, std::move(Detail));
}

auto readFlag(const json &Object, const char *Key, bool &Flag) -> bool {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || Found->is_null())
    return true;
  if (!Found->is_boolean())
    return false;
  Flag = Found->get<bool>();
  return true;
}

auto textBytes(const json &Content) -> std::size_t {
  if (Content.is_string())
    return Content.get_ref<const std::string &>().size();
  std::size_t Bytes = 0;
  if (Content.is_array())
    for (const auto &Part : Content)
      if (Part.is_object() && Part.contains("text"))
        Bytes += textBytes(Part["text"]);
  return Bytes;
}

auto readMessages(chat_request &Request) -> result<void> {
  const auto Found = Request.Body.find("messages");
  if (Found == Request.Body.end() || !Found->is_array() || Found->empty())
    return badRequest("'messages' must be a non-empty array");
  for (const auto &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role"))
      return badRequest("each message must be an object with a 'role'");
    if (Message.contains("content"))
      Request.PromptBytes += textBytes(Message["content"]);
  }
  const auto First = Found->front().dump();
  Request.PrefixHash = XXH3_64bits(First.data(), First.size());
  return {};
}

auto readMaxTokens(chat_request &Request) -> result<void> {
  for (const auto *Key : {"max_completion_tokens", "max_tokens"}) {
    const auto Found = Request.Body.find(Key);
    if (Found == Request.Body.end() || Found->is_null())
      continue;
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() == 0)
      return badRequest("'" + std::string(Key) +
                        "' must be a positive integer");
    Request.MaxTokens = Found->get<std::uint64_t>();
    return {};
  }
  return {};
}

auto readStreamOptions(chat_request &Request) -> result<void> {
  const auto &Body = Request.Body;
  if (!readFlag(Body, "stream", Request.Streamed))
    return badRequest("'stream' must be true or false");
  const auto Options = Body.find("stream_options");
  if (Options == Body.end() || Options->is_null())
    return {};
  if (!Options->is_object() ||
      !readFlag(*Options, "include_usage", Request.IncludeUsage))
    return badRequest("'stream_options' must be an object");
  return {};
}

} // namespace

auto chat_request::parse(std::string_view Body) -> result<chat_request> {
  chat_request Request;
  Request.Body = parseBounded(Body);
  if (!Request.Body.is_object())
    return badRequest("the body is not a JSON object");
  const auto Model = Request.Body.find("model");
  if (Model == Request.Body.end() || !Model->is_string())
    return badRequest("'model' must be a string");
  Request.Model = Model->get<std::string>();
  if (auto Read = readMessages(Request); !Read)
    return Read.error();
  if (auto Read = readMaxTokens(Request); !Read)
    return Read.error();
  if (auto Read = readStreamOptions(Request); !Read)
    return Read.error();
  return Request;
}

auto chat_request::bodyFor(const std::string &EngineModel) const
    -> std::string {
  auto Copy = Body;
  Copy["model"] = EngineModel;
  if (Streamed)
    Copy["stream_options"]["include_usage"] = true;
  return Copy.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace acacianotch
