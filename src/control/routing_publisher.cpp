/// \file Validation and publication of routing documents.
#include "control/routing_publisher.h"

#include "core/compression_func.h"
#include "core/log_func.h"
#include "net/stepped_work.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// Operators send up to eight orders at once, and some of them again.
constexpr std::size_t MaxPublications = 16;

} // namespace

struct routing_publisher::publication {
  publication(std::string Text, std::shared_ptr<const routing_table> Previous)
      : Decoder(std::move(Text), std::move(Previous)) {}

  platform::configuration_decoder Decoder;
  std::vector<result_callback> Waiting;
  time_point StartedAt{}; ///< Of the validation.
  std::uint64_t Steps = 0;
  std::uint64_t Number = 0;
};

routing_publisher::routing_publisher(event_loop &TheLoop,
                                     control_service &TheService)
    : Loop(TheLoop), Service(TheService) {}

routing_publisher::~routing_publisher() = default;

auto routing_publisher::publish(std::string Text, result_callback OnResult)
    -> void {
  const auto Same = std::find_if(
      Publications.begin(), Publications.end(),
      [&](const auto &Row) { return Row->Decoder.text() == Text; });
  if (Same != Publications.end())
    return (*Same)->Waiting.push_back(std::move(OnResult));
  if (Publications.size() >= MaxPublications)
    return OnResult(0, command_result::of(errc::overloaded,
                                          "too many documents in progress"));
  Publications.push_back(
      std::make_unique<publication>(std::move(Text), LastValid));
  Publications.back()->Waiting.push_back(std::move(OnResult));
  validateNext();
}

auto routing_publisher::validateNext() -> void {
  if (Validating)
    return;
  const auto Next = std::find_if(
      Publications.begin(), Publications.end(),
      [](const auto &Row) { return Row->StartedAt == time_point{}; });
  if (Next == Publications.end())
    return;
  Validating = true;
  auto &Publication = **Next;
  Publication.StartedAt = steady_clock::now();
  runStepped(
      Loop, Alive,
      [&Publication] {
        ++Publication.Steps;
        return Publication.Decoder.step(platform::DecodingStepBytes);
      },
      [this, &Publication] {
        Validating = false;
        propose(Publication);
        validateNext();
      });
}

auto routing_publisher::propose(publication &Publication) -> void {
  auto Table = Publication.Decoder.takeTable();
  const auto &Text = Publication.Decoder.text();
  if (!Table)
    return complete(Publication, command_result::of(Table.error().Code,
                                                    Table.error().Detail));
  Publication.Number = Table->Number;
  const auto RouteCount = Table->routeCount();
  LastValid = std::make_shared<const routing_table>(std::move(*Table));
  // A document that is stored already, or overtaken, is not replicated again:
  // operators repeat what was stored without an acknowledgement.
  const auto &Stored = Service.state().data().Routing;
  if (Stored && Stored->Number >= Publication.Number &&
      Service.confirmedEpoch())
    return complete(Publication, command_result::of(errc::ok, "unchanged"));
  auto Compressed = compress(Text);
  if (!Compressed)
    return complete(Publication, command_result::of(Compressed.error().Code,
                                                    Compressed.error().Detail));
  logInfo(log_category::control, "validated a routing document",
          {{"number", Publication.Number},
           {"routes", RouteCount},
           {"bytes", Text.size()},
           {"compressed_bytes", Compressed->size()},
           {"steps", Publication.Steps},
           {"ms", (steady_clock::now() - Publication.StartedAt) /
                      std::chrono::milliseconds(1)}});
  command Command;
  Command.Issuer = "operator";
  Command.Body = publish_routing{Publication.Number, {std::move(*Compressed)}};
  Service.execute(std::move(Command))
      .then([this, &Publication,
             Guard = std::weak_ptr<bool>(Alive)](const command_result &Result) {
        if (!Guard.expired())
          complete(Publication, Result);
      })
      // The command may have been dropped because its service is destroyed.
      .detach([this, &Publication,
               Guard = std::weak_ptr<bool>(Alive)](kj::Exception &&Exception) {
        if (!Guard.expired())
          complete(Publication,
                   command_result::of(errc::no_quorum,
                                      Exception.getDescription().cStr()));
      });
}

auto routing_publisher::complete(publication &Publication,
                                 const command_result &Result) -> void {
  const auto Found =
      std::find_if(Publications.begin(), Publications.end(),
                   [&](const auto &Row) { return Row.get() == &Publication; });
  const auto Ended = std::move(*Found);
  Publications.erase(Found);
  for (const auto &OnResult : Ended->Waiting)
    OnResult(Ended->Number, Result);
}

} // namespace acacianotch
