/// \file Reading of the platform's configuration document.
#include "platform/configuration_codec.h"

#include "catalogue/cbor.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace acacianotch::platform {

namespace {

constexpr enum_table<route_kind, 3> WireKinds{{{
    {route_kind::idempotent, "safe"},
    {route_kind::non_idempotent, "unsafe"},
    {route_kind::streaming, "streaming"},
}}};

/// Longest time that a configuration may name, milliseconds: one day.
constexpr double MaxMilliseconds = 86'400'000;
/// Greatest count, size or weight that a configuration may name.
constexpr double MaxNumber = 1e12;

/// Reads members of one JSON object and keeps the first fault.
class object_reader {
public:
  object_reader(const json &TheValue, std::string ThePlace)
      : Value(TheValue), Place(std::move(ThePlace)) {
    if (!Value.is_object())
      fail("an object is expected");
  }

  [[nodiscard]] auto fault() const -> const std::optional<std::string> & {
    return Fault;
  }

  auto fail(const std::string &Detail) -> void {
    if (!Fault)
      Fault = Place + ": " + Detail;
  }

  auto member(const char *Key) -> const json * {
    if (!Value.is_object())
      return nullptr;
    const auto Found = Value.find(Key);
    return Found == Value.end() || Found->is_null() ? nullptr : &*Found;
  }

  auto text(const char *Key, bool Needed = true) -> std::string {
    const auto *Found = member(Key);
    if (Found != nullptr && Found->is_string())
      return Found->get<std::string>();
    if (Needed || Found != nullptr)
      fail(std::string(Key) + ": a text is expected");
    return {};
  }

  auto number(const char *Key, double Default, double Most = MaxNumber)
      -> double {
    const auto *Found = member(Key);
    if (Found == nullptr)
      return Default;
    const auto Number = Found->is_number() ? Found->get<double>() : -1;
    if (Number >= 0 && Number <= Most)
      return Number;
    fail(std::string(Key) + ": a number in range is expected");
    return Default;
  }

  auto time(const char *Key, duration Default) -> duration {
    constexpr double Microseconds = 1000;
    const auto Count =
        number(Key, static_cast<double>(Default.count()) / Microseconds,
               MaxMilliseconds);
    return duration(std::llround(Count * Microseconds));
  }

  auto flag(const char *Key) -> bool {
    const auto *Found = member(Key);
    if (Found != nullptr && !Found->is_boolean())
      fail(std::string(Key) + ": true or false is expected");
    return Found != nullptr && Found->is_boolean() && Found->get<bool>();
  }

  /// Calls \p Visit with each element of a list that may be absent.
  template <typename visitor>
  auto each(const char *Key, const visitor &Visit) -> void {
    const auto *Found = member(Key);
    if (Found == nullptr)
      return;
    if (!Found->is_array())
      return fail(std::string(Key) + ": a list is expected");
    for (const auto &Element : *Found)
      Visit(Element);
  }

private:
  const json &Value;
  std::string Place;
  std::optional<std::string> Fault;
};

/// Reads one configuration; the first fault ends it.
class configuration_reader {
public:
  auto read(const json &Document) -> result<routing_table> {
    object_reader Reader(Document, "configuration");
    const auto *Number = Reader.member("version");
    if (Number == nullptr || !Number->is_number_unsigned())
      Reader.fail("version: a whole number is expected");
    else
      Table.Number = Number->get<std::uint64_t>();
    for (const auto *Key : {"routes", "services"})
      if (Reader.member(Key) == nullptr)
        Reader.fail(std::string(Key) + " is missing");
    Reader.each("services", [&](const json &Item) { readService(Item); });
    Reader.each("routes", [&](const json &Item) { readRoute(Item); });
    Reader.each("tenants", [&](const json &Item) { readAccount(Item); });
    Table.HasAccounts = Reader.member("tenants") != nullptr;
    if (const auto *Limits = Reader.member("limits"))
      readLimits(*Limits);
    note(Reader);
    if (Fault)
      return failure::of(errc::bad_request, printable(*Fault));
    return std::move(Table);
  }

private:
  auto note(const object_reader &Reader) -> void {
    if (!Fault && Reader.fault())
      Fault = Reader.fault();
  }

  auto readService(const json &Item) -> void {
    object_reader Reader(Item, "service");
    gateway_service Service;
    Service.Name = Reader.text("name");
    Service.MaxConnections =
        static_cast<std::uint32_t>(Reader.number("max-connections", 0, 1e9));
    if (const auto *Engine = Reader.member("engine"))
      readEngine(*Engine, Service);
    auto Name = Service.Name;
    if (!Table.Services.emplace(std::move(Name), std::move(Service)).second)
      Reader.fail("two services have one name");
    note(Reader);
  }

  auto readEngine(const json &Item, gateway_service &Service) -> void {
    object_reader Reader(Item, "engine");
    Service.Slots = static_cast<std::uint32_t>(Reader.number("slots", 0, 1e9));
    Service.MemoryTokens =
        static_cast<std::uint64_t>(Reader.number("kv-capacity-tokens", 0));
    Reader.each("models", [&](const json &Model) {
      object_reader Row(Model, "model");
      Service.Models.push_back({Row.text("name"), Row.number("cost", 0)});
      note(Row);
    });
    note(Reader);
  }

  auto readRoute(const json &Item) -> void {
    object_reader Reader(Item, "route");
    gateway_route Route;
    Route.Name = Reader.text("name", false);
    Route.Host = Reader.text("host");
    std::transform(Route.Host.begin(), Route.Host.end(), Route.Host.begin(),
                   [](unsigned char Byte) {
                     return static_cast<char>(std::tolower(Byte));
                   });
    Route.PathPrefix = Reader.text("path-prefix");
    const auto Kind = WireKinds.find(Reader.text("kind"));
    Route.Kind = Kind.value_or(route_kind::invalid);
    if (!Kind)
      Reader.fail("unknown kind");
    Route.Timeout = Reader.time("timeout-ms", duration::zero());
    Route.TargetLatency = Reader.time("target-latency-ms", Route.Timeout);
    Route.TargetGap = Reader.time("target-gap-ms", duration::zero());
    Route.Rank = static_cast<std::uint32_t>(Reader.number("priority", 0, 1e6));
    Route.MaxAttempts = static_cast<std::uint32_t>(
        std::max(Reader.number("max-attempts", 1, 1e6), 1.0));
    Route.Anonymous = Reader.flag("allow-anonymous");
    Route.Resumable = Reader.flag("stream-resume");
    Reader.each("sizes", [&](const json &Model) {
      if (Model.is_string())
        Route.Models.push_back(Model.get<std::string>());
      else
        Reader.fail("sizes: texts are expected");
    });
    readTargets(Reader, Route);
    checkRoute(Reader, Route);
    note(Reader);
    Table.Routes.push_back(std::move(Route));
  }

  auto readTargets(object_reader &Reader, gateway_route &Route) -> void {
    Reader.each("traffic-split", [&](const json &Item) {
      object_reader Row(Item, "traffic-split");
      Route.Services.push_back({Row.text("service"), Row.number("weight", 0)});
      note(Row);
    });
    auto Single = Reader.text("service", false);
    if (Route.Services.empty() && !Single.empty())
      Route.Services.push_back({std::move(Single), 1});
  }

  auto checkRoute(object_reader &Reader, const gateway_route &Route) -> void {
    double Weights = 0;
    for (const auto &Target : Route.Services) {
      Weights += Target.Weight;
      if (!Table.Services.contains(Target.Service))
        Reader.fail("unknown service '" + Target.Service + "'");
    }
    if (Weights <= 0)
      Reader.fail("the weights of its services add up to 0");
    if (Route.Timeout <= duration::zero())
      Reader.fail("timeout-ms is 0");
    if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/' ||
        Route.PathPrefix.back() != '/')
      Reader.fail("path-prefix: it must begin and end with a slash");
    if (!Places.insert({Route.Host, Route.PathPrefix}).second)
      Reader.fail("two routes have one host and prefix");
  }

  auto readAccount(const json &Item) -> void {
    object_reader Reader(Item, "client account");
    gateway_account Account;
    Account.Name = Reader.text("name");
    Account.Rank =
        static_cast<std::uint32_t>(Reader.number("priority", 0, 1e6));
    Reader.each("api-keys", [&](const json &Key) {
      if (!Key.is_string())
        return Reader.fail("api-keys: texts are expected");
      const auto Added =
          Table.AccountOfKey.emplace(Key.get<std::string>(), Account);
      if (!Added.second && Added.first->second.Name != Account.Name)
        Reader.fail("a key belongs to two client accounts");
    });
    note(Reader);
  }

  auto readLimits(const json &Item) -> void {
    object_reader Reader(Item, "limits");
    auto &Limits = Table.Limits;
    const auto Size = [&](const char *Key, std::size_t Default) {
      return static_cast<std::size_t>(
          Reader.number(Key, static_cast<double>(Default)));
    };
    Limits.HeaderBytes = Size("max-header-bytes", Limits.HeaderBytes);
    Limits.BodyBytes = Size("max-body-bytes", Limits.BodyBytes);
    Limits.HeaderTime = Reader.time("header-timeout-ms", Limits.HeaderTime);
    Limits.IdleTime = Reader.time("idle-timeout-ms", Limits.IdleTime);
    note(Reader);
  }

  routing_table Table;
  std::set<std::pair<std::string, std::string>> Places;
  std::optional<std::string> Fault;
};

} // namespace

auto decodeConfiguration(std::string_view Text) -> result<routing_table> {
  const auto Document = parseJson(Text);
  if (!Document)
    return Document.error();
  return configuration_reader().read(*Document);
}

} // namespace acacianotch::platform
