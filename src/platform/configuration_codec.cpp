/// \file Parser of the platform's configuration document.
#include "platform/configuration_codec.h"

#include "catalogue/cbor.h"
#include "catalogue/json_outline.h"
#include "core/text_func.h"
#include "platform/object_reader.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acacianotch::platform {

namespace {

constexpr enum_table<route_kind, 3> WireKinds{{{
    {route_kind::idempotent, "safe"},
    {route_kind::non_idempotent, "unsafe"},
    {route_kind::streaming, "streaming"},
}}};

/// A route that is taken from the previous table counts as this fraction of its
/// text in a step.
constexpr std::size_t ReusedTextDivisor = 16;

auto hashOf(std::string_view Text) -> text_hash {
  const auto Hash = XXH3_128bits(Text.data(), Text.size());
  return {Hash.low64, Hash.high64};
}

/// Reads one configuration; the first error makes it invalid.
class configuration_reader {
public:
  /// Makes the routes of \p Previous available for reuse.
  auto indexPrevious(const routing_table &Previous) -> void {
    Previous.forEachRoute([&](const auto &Route) {
      PreviousRoutes.emplace(Route->Source.Low, Route);
    });
  }

  /// Reads the document without the elements of its lists, and queues these.
  auto readSkeleton(const json &Document) -> void {
    object_reader Reader(Document, "configuration");
    const auto *Number = Reader.member("version");
    if (Number == nullptr || !Number->is_number_unsigned())
      Reader.fail("version: a whole number is expected");
    else
      Table.Number = Number->get<std::uint64_t>();
    for (const auto *Key : {"routes", "services"})
      if (Reader.member(Key) == nullptr)
        Reader.fail(std::string(Key) + " is missing");
    // Routes refer to services.
    queueElements(Reader, "services", &configuration_reader::readService);
    queueElements(Reader, "routes", &configuration_reader::readRoute);
    queueElements(Reader, "tenants", &configuration_reader::readAccount);
    Table.HasAccounts = Reader.member("tenants") != nullptr;
    if (const auto *Limits = Reader.member("limits"))
      readLimits(*Limits);
    recordError(Reader);
  }

  /// Reads queued elements of \p Elements up to \p MaxBytes. \return whether
  /// none is left or the configuration is invalid.
  auto readElements(const std::vector<std::string_view> &Elements,
                    std::size_t MaxBytes) -> bool {
    std::size_t Bytes = 0;
    while (Next < Queue.size() && !FirstError) {
      const auto &[Read, Index] = Queue[Next];
      const auto Text = Elements[Index];
      if (Bytes >= MaxBytes)
        return false;
      ++Next;
      if (Read == &configuration_reader::readRoute && reuseRoute(Text)) {
        Bytes += Text.size() / ReusedTextDivisor;
        continue;
      }
      Bytes += Text.size();
      const auto Item = parseJson(Text);
      if (Item)
        (this->*Read)(*Item, Text);
      else
        FirstError = Item.error().Detail;
    }
    return true;
  }

  auto takeTable() -> result<routing_table> {
    if (FirstError)
      return failure::of(errc::bad_request, printable(*FirstError));
    return std::move(Table);
  }

private:
  /// Reads an element from its value and text.
  using element_reader = auto(configuration_reader::*)(const json &,
                                                       std::string_view)
                             -> void;

  auto queueElements(object_reader &Reader, const char *Key,
                     element_reader Read) -> void {
    Reader.forEach(Key, [&](const json &Index) {
      Queue.emplace_back(Read, Index.get<std::size_t>());
    });
  }

  auto recordError(const object_reader &Reader) -> void {
    if (!FirstError && Reader.firstError())
      FirstError = Reader.firstError();
  }

  auto readService(const json &Item, std::string_view /*Text*/) -> void {
    object_reader Reader(Item, "service");
    gateway_service Service;
    Service.Name = Reader.text("name");
    Service.MaxConnections =
        static_cast<std::uint32_t>(Reader.number("max-connections", 0, 1e9));
    constexpr double MaxColdSeconds = 3600;
    Service.ColdStart =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            std::min(Reader.number("cold-start-s", 0), MaxColdSeconds)));
    Service.ColdPerSecond = Reader.number("cold-per-s", 0, 1e6);
    if (const auto *Engine = Reader.member("engine"))
      readEngine(*Engine, Service);
    auto Name = Service.Name;
    if (!Table.Services.emplace(std::move(Name), std::move(Service)).second)
      Reader.fail("two services have one name");
    recordError(Reader);
  }

  auto readEngine(const json &Item, gateway_service &Service) -> void {
    object_reader Reader(Item, "engine");
    Service.Slots = static_cast<std::uint32_t>(Reader.number("slots", 0, 1e9));
    Service.KvCacheTokens =
        static_cast<std::uint64_t>(Reader.number("kv-capacity-tokens", 0));
    Reader.forEach("models", [&](const json &Model) {
      object_reader Row(Model, "model");
      Service.Models.push_back({Row.text("name"), Row.number("cost", 0)});
      recordError(Row);
    });
    recordError(Reader);
  }

  /// Adds the route of the previous table with the same text. \return whether
  /// there is one.
  auto reuseRoute(std::string_view Text) -> bool {
    const auto Hash = hashOf(Text);
    const auto Found = PreviousRoutes.find(Hash.Low);
    if (Found == PreviousRoutes.end() || Found->second->Source != Hash)
      return false;
    const json NoMembers = json::object();
    object_reader Reader(NoMembers, "route");
    addRoute(Reader, Found->second);
    return true;
  }

  auto readRoute(const json &Item, std::string_view Text) -> void {
    object_reader Reader(Item, "route");
    gateway_route Route;
    Route.Source = hashOf(Text);
    Route.Name = Reader.text("name", false);
    Route.Host = lowerCase(Reader.text("host"));
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
    Reader.forEach("sizes", [&](const json &Model) {
      if (Model.is_string())
        Route.Models.push_back(Model.get<std::string>());
      else
        Reader.fail("sizes: texts are expected");
    });
    readTrafficSplit(Reader, Route);
    addRoute(Reader, std::make_shared<const gateway_route>(std::move(Route)));
  }

  auto addRoute(object_reader &Reader,
                std::shared_ptr<const gateway_route> Route) -> void {
    validateRoute(Reader, *Route);
    if (!Table.addRoute(std::move(Route)))
      Reader.fail("two routes have one host and prefix");
    recordError(Reader);
  }

  auto readTrafficSplit(object_reader &Reader, gateway_route &Route) -> void {
    Reader.forEach("traffic-split", [&](const json &Item) {
      object_reader Row(Item, "traffic-split");
      Route.Services.push_back({Row.text("service"), Row.number("weight", 0)});
      recordError(Row);
    });
    auto OnlyService = Reader.text("service", false);
    if (Route.Services.empty() && !OnlyService.empty())
      Route.Services.push_back({std::move(OnlyService), 1});
  }

  auto validateRoute(object_reader &Reader, const gateway_route &Route)
      -> void {
    double TotalWeight = 0;
    for (const auto &Target : Route.Services) {
      TotalWeight += Target.Weight;
      if (!Table.Services.contains(Target.Service))
        Reader.fail("unknown service '" + Target.Service + "'");
    }
    if (TotalWeight <= 0)
      Reader.fail("the weights of its services add up to 0");
    if (Route.Timeout <= duration::zero())
      Reader.fail("timeout-ms is 0");
    if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/' ||
        Route.PathPrefix.back() != '/')
      Reader.fail("path-prefix: it must begin and end with a slash");
  }

  auto readAccount(const json &Item, std::string_view /*Text*/) -> void {
    object_reader Reader(Item, "client account");
    gateway_account Account;
    Account.Name = Reader.text("name");
    Account.Rank =
        static_cast<std::uint32_t>(Reader.number("priority", 0, 1e6));
    Reader.forEach("api-keys", [&](const json &Key) {
      if (!Key.is_string())
        return Reader.fail("api-keys: texts are expected");
      const auto Added =
          Table.AccountsByKey.emplace(Key.get<std::string>(), Account);
      if (!Added.second && Added.first->second.Name != Account.Name)
        Reader.fail("a key belongs to two client accounts");
    });
    recordError(Reader);
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
    Limits.HeaderReadTimeout =
        Reader.time("header-timeout-ms", Limits.HeaderReadTimeout);
    Limits.ConnectionIdleTimeout =
        Reader.time("idle-timeout-ms", Limits.ConnectionIdleTimeout);
    recordError(Reader);
  }

  routing_table Table;
  std::vector<std::pair<element_reader, std::size_t>> Queue;
  std::size_t Next = 0; ///< Position in Queue.
  /// By the lower half of the hash.
  std::unordered_map<std::uint64_t, std::shared_ptr<const gateway_route>>
      PreviousRoutes;
  std::optional<std::string> FirstError;
};

} // namespace

struct configuration_decoder::state {
  std::string Text;
  std::shared_ptr<const routing_table> Previous;
  std::vector<std::string_view> Elements;
  std::optional<failure> Error; ///< The document is no JSON.
  bool Outlined = false;
  configuration_reader Reader;
};

configuration_decoder::configuration_decoder(
    std::string Text, std::shared_ptr<const routing_table> Previous)
    : State(std::make_unique<state>()) {
  State->Text = std::move(Text);
  State->Previous = std::move(Previous);
}

configuration_decoder::~configuration_decoder() = default;

auto configuration_decoder::step(std::size_t MaxBytes) -> bool {
  if (std::exchange(State->Outlined, true))
    return State->Error ||
           State->Reader.readElements(State->Elements, MaxBytes);
  auto Outline = outlineJson(State->Text);
  if (!Outline) {
    State->Error = Outline.error();
    return true;
  }
  State->Elements = std::move(Outline->Elements);
  if (State->Previous)
    State->Reader.indexPrevious(*State->Previous);
  State->Reader.readSkeleton(Outline->Skeleton);
  return false;
}

auto configuration_decoder::takeTable() -> result<routing_table> {
  if (State->Error)
    return *State->Error;
  return State->Reader.takeTable();
}

auto configuration_decoder::text() const -> const std::string & {
  return State->Text;
}

auto decodeConfiguration(std::string_view Text) -> result<routing_table> {
  configuration_decoder Decoder(std::string(Text), nullptr);
  while (!Decoder.step(std::numeric_limits<std::size_t>::max()))
    continue;
  return Decoder.takeTable();
}

} // namespace acacianotch::platform
