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

/// Number of processes of each kind, and where relays are placed.
struct deployment_options {
  std::size_t Replicas = 1;
  std::size_t Entries = 2;
  std::size_t Engines = 2;
  std::size_t Services = 1;
  /// Puts a relay between each entry and agent and the only control replica.
  bool NodeRelays = false;
  /// Puts a relay in front of each control replica. In blackhole mode it drops
  /// the messages to the replica; those that the replica sends still arrive.
  bool ControlRelays = false;
  bool Suspendable = false; ///< VMs of daemons can be suspended.
};

/// One daemon and its ports.
struct daemon_instance {
  std::string Name;
  std::uint16_t Rpc = 0;
  std::uint16_t Http = 0;
  std::uint16_t Admin = 0;
  std::uint16_t AdminRpc = 0;
  std::uint16_t AdvertisedPort =
      0; ///< RPC port of control that other nodes use.
  std::unique_ptr<tcp_relay> Relay; ///< See deployment_options.
  std::unique_ptr<child_process> Process;
};

/// Process that stands in for a backend server.
struct standin_instance {
  std::string Program;
  std::uint16_t Port = 0;
  std::unique_ptr<child_process> Process;
};

/// Exit code and output of acacianotchctl.
struct ctl_result {
  int Exit = -1;
  std::string Output;
};

/// Control replicas, entries, agents and stand-ins with a small catalogue:
/// versions small@1 and small@2 behind the route `answers`, the service
/// `booking-desk`, and the accounts `club` and `guest`; the latter may use no
/// version. Agents of engines come first, then those of services.
class deployment {
public:
  /// Starts all processes and waits until all nodes are ready.
  explicit deployment(const deployment_options &TheOptions = {});
  ~deployment();
  deployment(const deployment &) = delete;
  auto operator=(const deployment &) -> deployment & = delete;

  std::vector<daemon_instance> Controls;
  std::vector<daemon_instance> Entries;
  std::vector<daemon_instance> Agents;
  std::vector<standin_instance> Backends; ///< In the order of Agents.

  /// Starts a daemon or stand-in; does not wait until it is ready.
  auto start(daemon_instance &Instance) -> void;
  auto start(standin_instance &Instance) -> void;

  /// Runs acacianotchd to its end, with the settings of \p Instance and further
  /// \p Arguments.
  auto runDaemon(const daemon_instance &Instance,
                 std::vector<std::string> Arguments) -> std::optional<int>;

  /// Adds a control replica without starting it.
  auto addControl(std::uint64_t ReplicaId) -> daemon_instance &;

  /// Runs acacianotchctl against all control replicas.
  auto runCtl(std::vector<std::string> Arguments) -> ctl_result;

  /// Runs acacianotchctl against one control replica, bypassing its relay.
  auto runCtlDirect(const daemon_instance &Instance,
                    std::vector<std::string> Arguments) -> ctl_result;

  /// Creates a file with the content \p Text. \return its path.
  auto temporaryFile(const std::string &Text) -> std::string;

  /// Applies \p Toml as a catalogue file.
  auto apply(const std::string &Toml, std::vector<std::string> Arguments = {})
      -> ctl_result;

  /// \return /dump of a daemon, or a discarded value if it does not respond.
  static auto dump(const daemon_instance &Instance) -> json;
  static auto ready(const daemon_instance &Instance) -> bool;
  auto waitReady(const daemon_instance &Instance) -> void;

  /// Waits for a leader. \return its index in Controls.
  auto leader() -> std::size_t;

  /// \return /standin/stats of the backend server with \p Index.
  auto stats(std::size_t Index) -> json;

  /// \return how often requests with \p Text ran at all engines.
  auto runsOf(const std::string &Text) -> int;

  /// \return how often requests ran at all engines.
  auto runs() -> int;

  /// \return the number of bookings of \p Place at all services.
  auto bookings(const std::string &Place) -> int;

  [[nodiscard]] auto folder() const -> const std::filesystem::path & {
    return Folder;
  }

private:
  auto writeSettings(const daemon_instance &Instance, const std::string &Role,
                     const std::string &Lines) -> void;
  auto runCtlProcess(const std::string &Control,
                     std::vector<std::string> Arguments) -> ctl_result;
  auto makeControl(std::uint64_t ReplicaId) -> daemon_instance;
  auto writeControlSettings(const daemon_instance &Instance,
                            std::uint64_t ReplicaId) -> void;
  auto startControls() -> void;
  auto makeNode(const std::string &Role, std::size_t Index) -> daemon_instance;
  auto startAgents() -> void;
  auto catalogue() -> std::string;
  auto controlAddresses(const std::string &Separator) -> std::string;

  deployment_options Options;
  std::filesystem::path Folder;
  std::string Peers;
  std::size_t FileCount = 0;
};

/// \return a chat request for \p Model whose last message is \p Text.
[[nodiscard]] auto chatBody(const std::string &Text,
                            const std::string &Model = "answers") -> json;

/// \return \p More with the API key of \p Account and the content type.
[[nodiscard]] auto callerHeaders(const http_fields &More = {},
                                 const std::string &Account = "club")
    -> http_fields;

/// Starts a chat request through \p Entry.
[[nodiscard]] auto startChat(const daemon_instance &Entry, const json &Body,
                             const http_fields &More = {})
    -> std::unique_ptr<http_call>;

/// Starts a booking of \p Place with \p Key as its idempotency key.
[[nodiscard]] auto startBooking(const daemon_instance &Entry,
                                const std::string &Key, const json &Body)
    -> std::unique_ptr<http_call>;

} // namespace acacianotch
