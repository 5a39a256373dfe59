/// \file Parser of the platform's list of backend servers.
#include "platform/instance_codec.h"

#include "catalogue/cbor.h"
#include "catalogue/json_outline.h"

#include <event2/http.h>

#include <cstdlib>
#include <limits>
#include <memory>

namespace acacianotch::platform {

namespace {

auto textOf(const json &Entry, const char *Key) -> std::string {
  const auto Found = Entry.find(Key);
  return Found != Entry.end() && Found->is_string() ? Found->get<std::string>()
                                                    : std::string();
}

/// Longest warm-up that is plausible; a server with a longer one is skipped.
constexpr std::uint64_t MaxWarmupMs = 86'400'000;

auto decodeEntry(const json &Entry) -> std::optional<backend_record> {
  if (!Entry.is_object())
    return std::nullopt;
  backend_record Record;
  Record.Id = textOf(Entry, "id");
  Record.Service = textOf(Entry, "service");
  Record.Zone = textOf(Entry, "zone");
  Record.Version = textOf(Entry, "version");
  const auto Address = parseAddress(textOf(Entry, "address"));
  const auto State = textOf(Entry, "state");
  const auto Slots = countAt(Entry, "slots");
  const auto WarmupMs = countAt(Entry, "cold-remaining-ms");
  const auto StateValid = State == "ready" || State == "draining";
  if (!Address || !StateValid || Record.Id.empty() || Record.Service.empty() ||
      Slots == 0 || Slots > std::numeric_limits<std::uint32_t>::max() ||
      WarmupMs > MaxWarmupMs || Address->Port == 0)
    return std::nullopt;
  Record.Address = *Address;
  Record.Leaving = State == "draining";
  Record.Slots = static_cast<std::uint32_t>(Slots);
  Record.Cold = WarmupMs > 0;
  Record.StartedMs = countAt(Entry, "born");
  return Record;
}

} // namespace

auto decodeInstancePage(std::string_view Text) -> result<instance_page> {
  // An entry from another writer may hold bytes that are not UTF-8. The parser
  // would reject the whole page for them, so they are replaced first.
  auto Clean = std::string(Text);
  if (!validUtf8(Clean))
    for (auto &Byte : Clean)
      if (static_cast<unsigned char>(Byte) >= 0x80)
        Byte = '?';
  const auto Page = outlineJson(Clean);
  if (!Page || !Page->Skeleton.is_object() ||
      !Page->Skeleton.contains("instances") ||
      !Page->Skeleton["instances"].is_array())
    return failure::of(errc::bad_request, "not a page of backend servers");
  instance_page Result;
  for (const auto &Index : Page->Skeleton["instances"]) {
    const auto Entry = parseJson(Page->Elements[Index.get<std::size_t>()]);
    auto Record = Entry ? decodeEntry(*Entry) : std::nullopt;
    if (Record)
      Result.Backends.push_back(std::move(*Record));
    else
      ++Result.Skipped;
  }
  if (auto Next = textOf(Page->Skeleton, "next"); !Next.empty())
    Result.Next = std::move(Next);
  return Result;
}

auto instancePageTarget(const std::string &Token) -> std::string {
  if (Token.empty())
    return "/instances";
  const std::unique_ptr<char, decltype(&std::free)> Escaped(
      evhttp_uriencode(Token.data(), static_cast<ev_ssize_t>(Token.size()), 0),
      &std::free);
  return "/instances?page-token=" + std::string(Escaped.get());
}

} // namespace acacianotch::platform
