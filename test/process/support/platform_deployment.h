/// \file Deployment of control, gateways and a stand-in for the users' platform
/// as real processes on loopback.
#pragma once

#include "process/support/child_process.h"
#include "process/support/http_call.h"
#include "process/support/tcp_relay.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

/// One control process.
struct control_instance {
  std::string Name;
  std::uint16_t Rpc = 0;
  std::uint16_t Operator = 0;
  std::uint16_t Admin = 0;
  std::unique_ptr<child_process> Process;
  bool RelayOnly = false; ///< Runs without a data folder, hence no replica.
};

/// One gateway. Callers connect to its relay, if it has one.
struct gateway_instance {
  std::string Name;
  std::uint16_t Http = 0;
  std::uint16_t Ready = 0;
  std::uint16_t Admin = 0;
  std::uint16_t Callers = 0; ///< Port that callers use.
  std::unique_ptr<tcp_relay> Relay;
  std::unique_ptr<child_process> Process;
};

struct platform_options {
  std::size_t Replicas = 3;
  std::size_t Gateways = 1;
  /// Number of backend servers behind relays; if 0, the stand-in itself is the
  /// only backend server.
  std::size_t Servers = 0;
  bool CallerRelays = false;
  double GraceSeconds = 0;        ///< See gateway.grace_s.
  int SnapshotEvery = 10'000;     ///< See control.snapshot_every.
  bool Suspendable = false;       ///< VMs of daemons can be suspended.
  std::vector<std::string> Zones; ///< See control.zones.
  int StartupHoldMs = 0;          ///< See gateway.startup_hold_ms.
  int MemoryMb = 0;               ///< See node.memory_mb.
  int MaxDescriptors = 0;         ///< See node.max_descriptors.
  /// Program that stands in for the platform. Only the default one has servers
  /// behind relays.
  std::string Standin = "standin_platform";
};

/// Control replicas that form a group, gateways and the stand-in for the users'
/// platform. Throws std::runtime_error if no folder or port is available.
class platform_deployment {
public:
  explicit platform_deployment(const platform_options &TheOptions = {});
  ~platform_deployment();
  platform_deployment(const platform_deployment &) = delete;
  auto operator=(const platform_deployment &) -> platform_deployment & = delete;

  [[nodiscard]] auto makeReplica() -> control_instance;

  /// Starts a control process. \p Bootstrap is set at the first start of a
  /// group.
  auto start(control_instance &Replica, bool Bootstrap) -> void;

  /// Starts a gateway with the default addresses.
  auto start(gateway_instance &Gateway) -> void;

  /// Starts a gateway with \p Addresses of control in place of the seeds, and
  /// with the platform's list of backend servers at \p ListPort.
  auto start(gateway_instance &Gateway, const std::string &Addresses,
             std::uint16_t ListPort) -> void;

  /// Sends an operator request to the replicas in turn until one responds with
  /// neither a redirect nor a server error. \return the response, with status 0
  /// if there was none within \p Limit.
  auto sendOperatorRequest(const std::string &Method, const std::string &Path,
                           const std::string &Body = "",
                           std::chrono::milliseconds Limit = WaitLimit)
      -> http_answer;

  /// Sends a GET with the request id q1 through the first gateway.
  [[nodiscard]] auto call(const std::string &Path,
                          const std::string &Key = "key") const -> http_answer;

  /// \return whether \p Path was served within WaitLimit.
  [[nodiscard]] auto waitServed(const std::string &Path) const -> bool;

  /// \return whether the voters known to \p Replica are \p Expected.
  [[nodiscard]] static auto
  votersAre(const control_instance &Replica,
            const std::vector<const control_instance *> &Expected) -> bool;

  /// \return whether all replicas are the voters of the group and none is kept
  /// out of it by its disk.
  [[nodiscard]] auto allReplicasVote() const -> bool;

  /// \return the data folder of a control process.
  [[nodiscard]] auto data(const control_instance &Replica) const
      -> std::filesystem::path;

  [[nodiscard]] auto folder() const -> const std::filesystem::path & {
    return Folder;
  }

  /// Keeps logs and data when the object is destroyed.
  auto keepFolder() -> void { KeepData = true; }

  std::vector<control_instance> Replicas;
  std::vector<gateway_instance> Gateways;
  std::vector<std::unique_ptr<tcp_relay>>
      ServerRelays; ///< By index of the server.
  std::uint16_t Platform =
      0; ///< Port of the stand-in's server list and commands.

private:
  auto startStandin() -> void;
  auto makeGateway() -> gateway_instance;
  auto startDaemon(const std::filesystem::path &File, const std::string &Name)
      -> std::unique_ptr<child_process>;
  [[nodiscard]] auto log(const std::string &Name) const -> std::string;

  platform_options Options;
  std::filesystem::path Folder;
  std::string Seeds;
  std::unique_ptr<child_process> Standin;
  std::size_t InstanceCount = 0;
  bool KeepData = false;
};

/// \return a configuration without routes and services.
[[nodiscard]] auto emptyConfiguration(int Version) -> std::string;

/// \return the address of a loopback port as a quoted string.
[[nodiscard]] auto quotedLoopback(std::uint16_t Port) -> std::string;

} // namespace acacianotch
