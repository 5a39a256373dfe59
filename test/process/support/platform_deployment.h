/// \file Control, gateways and the stand-in of the users' platform as real
/// processes on loopback.
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
struct control_row {
  std::string Name;
  std::uint16_t Rpc = 0;
  std::uint16_t Operator = 0;
  std::uint16_t Admin = 0;
  std::unique_ptr<child_process> Process;
  bool Relay = false; ///< Holds no replica.
};

/// One gateway. Callers come through its relay, if it has one.
struct gateway_row {
  std::string Name;
  std::uint16_t Http = 0;
  std::uint16_t Ready = 0;
  std::uint16_t Admin = 0;
  std::uint16_t Callers = 0; ///< Port for callers.
  std::unique_ptr<tcp_relay> Relay;
  std::unique_ptr<child_process> Process;
};

struct platform_options {
  std::size_t Replicas = 3;
  std::size_t Gateways = 1;
  /// Backend servers behind relays; without any, the stand-in is the only one.
  std::size_t Servers = 0;
  bool CallerRelays = false;
  double GraceSeconds = 0; ///< See gateway.grace_s.
};

/// Three seeds of control that form a group, gateways and the stand-in. Throws
/// std::runtime_error if a process cannot be started.
class platform_deployment {
public:
  explicit platform_deployment(const platform_options &TheOptions = {});
  ~platform_deployment();
  platform_deployment(const platform_deployment &) = delete;
  auto operator=(const platform_deployment &) -> platform_deployment & = delete;

  [[nodiscard]] auto makeReplica() -> control_row;

  /// Starts a control process; the first start of a group says so.
  auto start(control_row &Each, bool Bootstrap) -> void;

  /// Starts a gateway again.
  auto start(gateway_row &Each) -> void;

  /// The same with other \p Addresses of control than the seeds, and with the
  /// platform's list at \p ListPort.
  auto start(gateway_row &Each, const std::string &Addresses,
             std::uint16_t ListPort) -> void;

  /// Sends an order to the replicas in turn until one answers clearly.
  /// \return status 0 if none did within \p Limit.
  auto order(const std::string &Method, const std::string &Path,
             const std::string &Body = "",
             std::chrono::milliseconds Limit = WaitLimit) -> http_answer;

  /// Sends a GET with the request id q1 through the first gateway.
  [[nodiscard]] auto call(const std::string &Path,
                          const std::string &Key = "key") const -> http_answer;

  /// \return whether \p Path was served within the limit of waits.
  [[nodiscard]] auto waitServed(const std::string &Path) const -> bool;

  /// \return whether \p Of are the voters that \p Each knows.
  [[nodiscard]] static auto
  votersAre(const control_row &Each, const std::vector<const control_row *> &Of)
      -> bool;

  /// \return the data folder of a control process.
  [[nodiscard]] auto data(const control_row &Each) const
      -> std::filesystem::path;

  [[nodiscard]] auto folder() const -> const std::filesystem::path & {
    return Folder;
  }

  /// Keeps logs and data when the object is destroyed.
  auto keepFolder() -> void { Kept = true; }

  std::vector<control_row> Replicas;
  std::vector<gateway_row> Gateways;
  std::vector<std::unique_ptr<tcp_relay>> ServerRelays; ///< By server.
  std::uint16_t Platform = 0; ///< Port of the stand-in's list and commands.

private:
  auto startStandin() -> void;
  auto makeGateway() -> gateway_row;
  auto startDaemon(const std::filesystem::path &File, const std::string &Name)
      -> std::unique_ptr<child_process>;
  [[nodiscard]] auto log(const std::string &Name) const -> std::string;

  platform_options Options;
  std::filesystem::path Folder;
  std::string Seeds;
  std::unique_ptr<child_process> Standin;
  std::size_t Names = 0;
  bool Kept = false;
};

/// \return \p Port on loopback, in quotes.
[[nodiscard]] auto quotedLoopback(std::uint16_t Port) -> std::string;

} // namespace acacianotch
