/// \file Limits of HTTP servers, derived from what the process may use.
#include "node/resource_limits.h"

#include "node/resource_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;
/// Used where the system reports nothing.
constexpr std::size_t DefaultMemory = 1024 * Mebibyte;

/// Neither readiness nor admin requests have bodies.
constexpr std::size_t MaxQueryBodyBytes = 64 * Kibibyte;
constexpr std::size_t MaxReadinessHeaderBytes = 16 * Kibibyte;

/// Shares of the memory, as divisors. The answer to /dump can be several
/// mebibytes; an operator's document is received while another is sent.
constexpr std::size_t ReadinessShare = 32;
constexpr std::size_t AdminShare = 8;
constexpr std::size_t MinAdminBytes = 8 * Mebibyte;
constexpr std::size_t OperatorShare = 4;
constexpr std::size_t OperatorDocuments = 2;
constexpr std::size_t OperatorExtraBytes = 4 * Mebibyte;
constexpr std::size_t EntryShare = 2;

/// Ports for balancers, monitoring and operators have a few clients each.
constexpr std::size_t ConnectionShare = 8;
constexpr std::size_t MinConnections = 16;
constexpr std::size_t MaxConnections = 1024;
/// The rest of an entry's descriptors is for its connections to agents.
constexpr double EntryConnectionShare = 0.75;

auto memoryLimit(const node_settings &Settings) -> std::size_t {
  const auto Stated = processMemory(Settings);
  return Stated == 0 ? DefaultMemory : Stated;
}

auto withConnections(const node_settings &Settings) -> http_server_options {
  http_server_options Options;
  Options.MaxConnections =
      std::clamp(processDescriptors(Settings) / ConnectionShare, MinConnections,
                 MaxConnections);
  return Options;
}

} // namespace

auto readinessServerOptions(const node_settings &Settings)
    -> http_server_options {
  auto Options = withConnections(Settings);
  Options.MaxBodyBytes = MaxQueryBodyBytes;
  Options.MaxHeaderBytes = MaxReadinessHeaderBytes;
  Options.MaxHeldBytes = memoryLimit(Settings) / ReadinessShare;
  return Options;
}

auto adminServerOptions(const node_settings &Settings) -> http_server_options {
  auto Options = withConnections(Settings);
  Options.MaxBodyBytes = MaxQueryBodyBytes;
  Options.MaxHeldBytes =
      std::max(memoryLimit(Settings) / AdminShare, MinAdminBytes);
  return Options;
}

auto operatorServerOptions(const node_settings &Settings,
                           std::size_t MaxBodyBytes) -> http_server_options {
  auto Options = withConnections(Settings);
  Options.MaxBodyBytes = MaxBodyBytes;
  Options.MaxHeldBytes =
      std::max(memoryLimit(Settings) / OperatorShare,
               OperatorDocuments * MaxBodyBytes + OperatorExtraBytes);
  return Options;
}

auto entryServerOptions(const node_settings &Settings,
                        const http_settings &Http) -> http_server_options {
  http_server_options Options;
  // evhttp rejects larger bodies itself, without the error format of this API,
  // so it gets twice the limit that the service enforces.
  Options.MaxBodyBytes = 2 * Http.MaxBodyBytes;
  Options.IdleSeconds = static_cast<int>(Http.IdleTimeout.count());
  Options.MaxHeldBytes = memoryLimit(Settings) / EntryShare;
  const auto Descriptors =
      static_cast<double>(processDescriptors(Settings)) * EntryConnectionShare;
  Options.MaxConnections = std::min(static_cast<std::size_t>(Descriptors),
                                    std::size_t{Http.MaxConnections});
  return Options;
}

} // namespace acacianotch
