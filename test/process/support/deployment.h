/// \file Deployment of real processes on loopback for one test.
#pragma once

#include "process/support/child_process.h"
#include "process/support/http_call.h"
#include "process/support/tcp_relay.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

using nlohmann::json;

/// Sizes of a deployment.
struct deployment_options {
  std::size_t Replicas = 1;
  std::size_t Entries = 2;
  std::size_t Engines = 2;
  std::size_t Desks = 1;
  /// Puts a relay between each entry and agent and the only control replica.
  bool NodeRelays = false;
  /// Puts a relay before each control replica. A cut one drops what the replica
  /// should receive; what it sends still arrives.
  bool ControlRelays = false;
};

/// One daemon and where it answers.
struct daemon_row {
  std::string Name;
  std::uint16_t Rpc = 0;
  std::uint16_t Http = 0;
  std::uint16_t Admin = 0;
  std::uint16_t AdminRpc = 0;
  std::uint16_t Public = 0;         ///< Port under which others know control.
  std::unique_ptr<tcp_relay> Relay; ///< See deployment_options.
  std::unique_ptr<child_process> Process;
};

/// A stand-in for a backend server.
struct standin_row {
  std::string Program;
  std::uint16_t Port = 0;
  std::unique_ptr<child_process> Process;
};

/// What acacianotchctl returned.
struct ctl_result {
  int Exit = -1;
  std::string Output;
};

/// Control replicas, entries, agents and stand-ins with a small catalogue:
/// versions small@1 and small@2 behind the route `answers`, the service
/// `booking-desk`, and the accounts `club` and `guest`; the latter may use no
/// version. Agents of the engines come first, those of the desks follow.
class deployment {
public:
  /// Starts everything and waits until all nodes are ready.
  explicit deployment(const deployment_options &TheOptions = {});
  ~deployment();
  deployment(const deployment &) = delete;
  auto operator=(const deployment &) -> deployment & = delete;

  std::vector<daemon_row> Controls;
  std::vector<daemon_row> Entries;
  std::vector<daemon_row> Agents;
  std::vector<standin_row> Backends; ///< In the order of Agents.

  /// Starts a daemon again with its settings; does not wait.
  auto start(daemon_row &Row) -> void;
  auto start(standin_row &Row) -> void;

  /// Runs acacianotchd with the settings of \p Row and further \p Words.
  auto runDaemon(const daemon_row &Row, std::vector<std::string> Words)
      -> std::optional<int>;

  /// Adds a control replica without starting it.
  auto addControl(std::uint64_t ReplicaId) -> daemon_row &;

  /// Runs acacianotchctl against all control replicas.
  auto client(std::vector<std::string> Words) -> ctl_result;

  /// Runs acacianotchctl against one control replica, past its relay.
  auto clientOf(const daemon_row &Row, std::vector<std::string> Words)
      -> ctl_result;

  /// \return the name of a file in the folder with the content \p Text.
  auto scratchFile(const std::string &Text) -> std::string;

  /// Applies \p Toml as a catalogue file.
  auto apply(const std::string &Toml, std::vector<std::string> Words = {})
      -> ctl_result;

  /// \return /dump of a daemon, or a discarded value.
  static auto dump(const daemon_row &Row) -> json;
  static auto ready(const daemon_row &Row) -> bool;
  auto waitReady(const daemon_row &Row) -> void;

  /// Waits for a leader. \return its index in Controls.
  auto leader() -> std::size_t;

  /// \return /standin/stats of the backend server with \p Index.
  auto stats(std::size_t Index) -> json;

  /// \return the runs of requests with \p Text at all engines.
  auto runsOf(const std::string &Text) -> int;

  /// \return the runs at all engines.
  auto runs() -> int;

  /// \return the bookings of \p Place at all desks.
  auto bookings(const std::string &Place) -> int;

  [[nodiscard]] auto folder() const -> const std::filesystem::path & {
    return Folder;
  }

private:
  auto writeSettings(const daemon_row &Row, const std::string &Role,
                     const std::string &Lines) -> void;
  auto runClient(const std::string &Control, std::vector<std::string> Words)
      -> ctl_result;
  auto makeControl(std::uint64_t ReplicaId) -> daemon_row;
  auto writeControl(const daemon_row &Row, std::uint64_t ReplicaId) -> void;
  auto makeControls() -> void;
  auto makeNode(const std::string &Role, std::size_t Index) -> daemon_row;
  auto makeAgents() -> void;
  auto catalogue() -> std::string;
  auto controlAddresses(const std::string &Separator) -> std::string;

  deployment_options Options;
  std::filesystem::path Folder;
  std::string Peers;
  std::size_t Files = 0;
};

/// \return a chat request for \p Model whose last message is \p Text.
[[nodiscard]] auto chatBody(const std::string &Text,
                            const std::string &Model = "answers") -> json;

/// \return headers with the key of the account \p Account and \p More.
[[nodiscard]] auto callerHeaders(const http_fields &More = {},
                                 const std::string &Account = "club")
    -> http_fields;

/// Starts a chat request through \p Entry.
[[nodiscard]] auto startChat(const daemon_row &Entry, const json &Body,
                             const http_fields &More = {})
    -> std::unique_ptr<http_call>;

/// Starts a booking of \p Place with \p Key as its idempotency key.
[[nodiscard]] auto startBooking(const daemon_row &Entry, const std::string &Key,
                                const json &Body) -> std::unique_ptr<http_call>;

} // namespace acacianotch
