/// \file Reading, writing and checking of catalogue entries.
#include "catalogue/entry_type.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

constexpr limits NameLimits{1, 257};
constexpr limits OwnerLimits{0, 128};

auto bad(std::string Detail) -> failure {
  return failure::of(errc::bad_request, std::move(Detail));
}

auto validChar(char Char) -> bool {
  return (Char >= 'a' && Char <= 'z') || (Char >= 'A' && Char <= 'Z') ||
         (Char >= '0' && Char <= '9') ||
         std::string_view("._:/-").find(Char) != std::string_view::npos;
}

auto validDigest(std::string_view Text) -> bool {
  return std::all_of(Text.begin(), Text.end(), [](char Char) {
    return (Char >= '0' && Char <= '9') || (Char >= 'a' && Char <= 'f');
  });
}

auto checkBody(const model_entry &Entry, const version_body &Body)
    -> result<void> {
  if (!validName(Body.Model) || !validName(Body.Version))
    return bad("the model or version name has invalid characters");
  if (Entry.Name != Body.ref().text())
    return bad("the name of a version entry must be model@version");
  return {};
}

auto checkBody(const model_entry &, const route_body &Body) -> result<void> {
  const auto &List = Body.Candidates;
  if (!std::all_of(List.begin(), List.end(), validName))
    return bad("a candidate is not a model name");
  for (auto Item = List.begin(); Item != List.end(); ++Item)
    if (std::find(std::next(Item), List.end(), *Item) != List.end())
      return bad("candidate '" + *Item + "' occurs twice");
  return {};
}

auto checkBody(const model_entry &, const account_body &Body) -> result<void> {
  if (!validDigest(Body.KeySha256))
    return bad("key 'key_sha256': 64 lower-case hex digits are expected");
  return {};
}

auto checkBody(const model_entry &, const class_body &) -> result<void> {
  return {};
}

auto checkBody(const model_entry &, const service_body &Body) -> result<void> {
  for (const auto &Path : Body.Paths)
    if (Path.empty() || Path.front() != '/')
      return bad("path '" + printable(Path) + "' must start with /");
  return {};
}

auto checkBody(const model_entry &, const backend_body &Body) -> result<void> {
  if (Body.Versions.empty() == Body.Service.empty())
    return bad("a backend serves either versions or one service");
  const auto &List = Body.Versions;
  for (auto Item = List.begin(); Item != List.end(); ++Item) {
    if (Item->Version.empty())
      return bad("'" + Item->Model + "' needs a version");
    if (std::find(std::next(Item), List.end(), *Item) != List.end())
      return bad("version '" + Item->text() + "' occurs twice");
  }
  return {};
}

auto readBody(entry_kind Kind, const json &Value, entry_body &Out)
    -> result<void> {
  auto Done = result<void>(bad("unknown kind"));
  const auto Try = [&]<std::size_t Index>() {
    if (Index == static_cast<std::size_t>(Kind))
      Done = readFields(Value, Out.emplace<Index>());
  };
  [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    (Try.template operator()<Index>(), ...);
  }
  (std::make_index_sequence<EntryKinds>());
  return Done;
}

} // namespace

/// An entry as it is written, before its body has a type.
struct raw_entry {
  entry_kind Kind = entry_kind::invalid;
  std::string Name;
  std::string Owner;
  revision Revision = revision::none;
  revision Created = revision::none;
  json Body;
};

template <> struct field_table<raw_entry> {
  static constexpr auto Fields = std::tuple{
      required("kind", &raw_entry::Kind, {}, "kind"),
      required("name", &raw_entry::Name, NameLimits, "name within the kind"),
      field("owner", &raw_entry::Owner, OwnerLimits, "who answers for it"),
      field("revision", &raw_entry::Revision, {}, "log index of the change"),
      field("created", &raw_entry::Created, {}, "log index of the first put"),
      required("body", &raw_entry::Body, {}, "fields of the kind"),
  };
};

auto validName(std::string_view Name) -> bool {
  return !Name.empty() && Name.size() <= 128 &&
         std::all_of(Name.begin(), Name.end(), validChar);
}

auto validateEntry(const model_entry &Entry) -> result<void> {
  if (Entry.kind() != entry_kind::version && !validName(Entry.Name))
    return bad("the name has invalid characters or is too long");
  return std::visit([&](const auto &Body) { return checkBody(Entry, Body); },
                    Entry.Body);
}

auto value_codec<model_entry>::write(const model_entry &Entry) -> json {
  return writeFields(raw_entry{
      Entry.kind(), Entry.Name, Entry.Owner, Entry.Revision, Entry.Created,
      std::visit([](const auto &Body) { return writeFields(Body); },
                 Entry.Body)});
}

auto value_codec<model_entry>::read(const json &Value, model_entry &Out,
                                    const limits &) -> result<void> {
  raw_entry Raw;
  if (auto Done = readFields(Value, Raw); !Done)
    return Done;
  if (auto Done = readBody(Raw.Kind, Raw.Body, Out.Body); !Done)
    return Done;
  Out.Name = std::move(Raw.Name);
  Out.Owner = std::move(Raw.Owner);
  Out.Revision = Raw.Revision;
  Out.Created = Raw.Created;
  return validateEntry(Out);
}

} // namespace acacianotch
