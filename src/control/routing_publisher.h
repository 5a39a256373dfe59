/// \file Validation and publication of routing documents.
#pragma once

#include "control/control_service.h"
#include "platform/configuration_codec.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

/// Validates routing documents without holding up the event loop, which renews
/// the leader lease, and replicates the valid ones. A document that arrives
/// again while it is in progress is not validated or proposed again.
class routing_publisher {
public:
  /// Gets the number of the document, 0 if it is unreadable, and the result.
  using result_callback =
      std::function<void(std::uint64_t Number, const command_result &)>;

  routing_publisher(event_loop &Loop, control_service &Service);
  ~routing_publisher();
  routing_publisher(const routing_publisher &) = delete;
  auto operator=(const routing_publisher &) -> routing_publisher & = delete;

  /// Publishes \p Text. The result is `bad_request` for an invalid document,
  /// `overloaded` if too many are in progress, or that of the command.
  auto publish(std::string Text, result_callback OnResult) -> void;

private:
  /// A document in progress.
  struct publication;
  using publication_list = std::list<std::unique_ptr<publication>>;

  auto validateNext() -> void;
  auto propose(publication &Publication) -> void;
  auto complete(publication &Publication, const command_result &Result) -> void;

  event_loop &Loop;
  control_service &Service;
  publication_list Publications;
  std::shared_ptr<const routing_table> LastValid; ///< Source of its routes.
  bool Validating = false;                        ///< One document at a time.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
