/// \file Clients outside the limits, at each port that clients reach. A test
/// checks that the process lives, that its memory and descriptors stay under a
/// bound while the crowd is connected, and that one ordinary request is
/// answered afterwards.
#include "process/support/client_crowd.h"
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <cstdlib>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
/// Memory that the settings state for each process.
constexpr int MemoryMb = 48;
constexpr int MaxDescriptors = 256;
/// A process may grow by this much under any crowd.
constexpr std::size_t MaxGrowthKb = MemoryMb * std::size_t{1024};
constexpr std::size_t CrowdSize = 24;
constexpr std::size_t Megabyte = 1024ULL * 1024;
constexpr std::size_t MaxBody = 4 * Megabyte;
constexpr std::size_t AnswerBytes = 3 * Megabyte;

auto configuration() -> json {
  return {{"version", 1},
          {"routes",
           {{{"name", "r"},
             {"host", "localhost"},
             {"path-prefix", "/a/"},
             {"kind", "safe"},
             {"timeout-ms", 5000},
             {"target-latency-ms", 5000},
             {"service", "chat"},
             {"max-attempts", 2}}}},
          {"services", {{{"name", "chat"}, {"max-connections", 64}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", MaxBody},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

auto requestHead(const std::string &Method, const std::string &Path,
                 const std::string &Fields) -> std::string {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: localhost\r\nX-Acacianotch-Request-Id: c\r\n" +
         Fields + "\r\n";
}

auto chunkOf(std::size_t Size) -> std::string {
  std::array<char, 16> Digits{};
  const auto Length =
      std::snprintf(Digits.data(), Digits.size(), "%zx\r\n", Size);
  return std::string(Digits.data(), static_cast<std::size_t>(Length)) +
         std::string(Size, 'x') + "\r\n";
}

/// Pipelined requests that fill \p Bytes.
auto pipelined(const std::string &Request, std::size_t Bytes) -> crowd_bytes {
  return {"", Request, Bytes / Request.size()};
}

/// A body in chunks of \p Chunk bytes that stops before \p Bytes.
auto chunkedBody(const std::string &Head, std::size_t Chunk, std::size_t Bytes)
    -> crowd_bytes {
  return {Head, chunkOf(Chunk), Bytes / Chunk};
}

const auto ChunkedHead =
    requestHead("POST", "/a/x", "Transfer-Encoding: chunked\r\n");

/// A body with a length that stops one byte before its end.
auto bodyWithLength(const std::string &Method, const std::string &Path,
                    std::size_t Length) -> crowd_bytes {
  return {requestHead(Method, Path,
                      "Content-Length: " + std::to_string(Length) + "\r\n"),
          "x", Length - 1};
}

/// A deployment whose processes are told that they have little memory.
struct small_deployment : platform_deployment {
  small_deployment() : platform_deployment(options()) {
    REQUIRE(sendOperatorRequest("PUT", "/api/config", configuration().dump())
                .Status == HttpOk);
    REQUIRE(waitServed("/a/x"));
  }

  static auto options() -> platform_options {
    // Memory that the address sanitizer keeps after its release is not the
    // product's.
    const auto *Sanitizer = std::getenv("ASAN_OPTIONS");
    ::setenv("ASAN_OPTIONS",
             (std::string(Sanitizer == nullptr ? "" : Sanitizer) +
              ":quarantine_size_mb=1")
                 .c_str(),
             1);
    platform_options Options;
    Options.MemoryMb = MemoryMb;
    Options.MaxDescriptors = MaxDescriptors;
    return Options;
  }

  /// Lets a crowd send \p Bytes to \p Port of \p Process.
  auto check(child_process &Process, std::uint16_t Port,
             const crowd_bytes &Bytes) -> void {
    const auto Before = useOf(Process.pid());
    REQUIRE(Before.ResidentKb > 0);
    {
      client_crowd Crowd(Port, CrowdSize);
      Crowd.send(Bytes);
      CHECK(waitIdle(Process.pid()));
      const auto During = useOf(Process.pid());
      CHECK(During.Descriptors <= MaxDescriptors);
      CHECK(During.PeakResidentKb - Before.ResidentKb <= MaxGrowthKb);
      CHECK(Process.running());
    }
    CHECK(waitServed("/a/x"));
    CHECK(sendOperatorRequest("GET", "/api/config").Status == HttpOk);
  }

  auto checkGateway(const crowd_bytes &Bytes) -> void {
    check(*Gateways[0].Process, Gateways[0].Callers, Bytes);
  }

  /// \return the replica that answers operators without a redirect.
  auto leader() -> control_instance & {
    for (auto &Replica : Replicas)
      if (http_call(Replica.Operator, httpRequest("GET", "/api/config", {}, ""))
              .finish()
              .Status == HttpOk)
        return Replica;
    return Replicas[0];
  }
};

} // namespace

// Guards against memory for bodies whose stated length is over the limit.
TEST_CASE("bodies with a length over the limit take no memory") {
  small_deployment System;
  System.checkGateway(
      {requestHead("POST", "/a/x", "Content-Length: 67108864\r\n"), "x",
       64 * Megabyte});
}

// Guards against chunked bodies that grow until the process has no memory.
TEST_CASE("chunked bodies far over the limit are cut off") {
  small_deployment System;
  System.checkGateway(chunkedBody(ChunkedHead, 16384, 64 * Megabyte));
}

// Guards against many bodies inside the limit that stay open short of their
// end, in each framing.
TEST_CASE("bodies with a length that stop short are bounded together") {
  small_deployment System;
  System.checkGateway(bodyWithLength("POST", "/a/x", MaxBody));
}

TEST_CASE("bodies in large chunks that stop short are bounded together") {
  small_deployment System;
  System.checkGateway(chunkedBody(ChunkedHead, 16384, MaxBody - 16384));
}

TEST_CASE("bodies in chunks of one byte that stop short are bounded together") {
  small_deployment System;
  System.checkGateway(chunkedBody(ChunkedHead, 1, MaxBody - 1));
}

// Guards against answers that collect in memory because the client sends
// requests ahead and reads nothing.
TEST_CASE("pipelined requests with unread answers are bounded") {
  small_deployment System;
  System.checkGateway(pipelined(requestHead("GET", "/a/x", ""), 8 * Megabyte));
}

TEST_CASE("pipelined requests that are rejected are bounded") {
  small_deployment System;
  System.checkGateway(
      pipelined(requestHead("GET", "/none/x", ""), 8 * Megabyte));
}

TEST_CASE("pipelined questions for readiness are bounded") {
  small_deployment System;
  System.check(*System.Gateways[0].Process, System.Gateways[0].Ready,
               pipelined(requestHead("GET", "/api/ready", ""), 16 * Megabyte));
}

// Guards against heads that collect in memory without an end.
TEST_CASE("heads that never end are cut off") {
  small_deployment System;
  System.checkGateway({"GET /a/x HTTP/1.1\r\nHost: localhost\r\n",
                       "X-Field: " + std::string(50, 'x') + "\r\n", 100'000});
}

// Guards against large answers that wait for clients which do not read.
TEST_CASE("large answers that are not read are bounded") {
  small_deployment System;
  System.checkGateway(pipelined(
      requestHead("GET", "/a/bytes/" + std::to_string(AnswerBytes), ""), 2000));
}

// Guards against the same at the ports for operators and for metrics.
TEST_CASE("bodies to the operators' port that stop short are bounded") {
  small_deployment System;
  auto &Leader = System.leader();
  System.check(*Leader.Process, Leader.Operator,
               bodyWithLength("PUT", "/api/config", 8 * Megabyte));
}

TEST_CASE("pipelined requests to the operators' port are bounded") {
  small_deployment System;
  auto &Leader = System.leader();
  System.check(*Leader.Process, Leader.Operator,
               pipelined(requestHead("GET", "/api/config", ""), 8 * Megabyte));
}

TEST_CASE("pipelined requests to the admin port are bounded") {
  small_deployment System;
  System.check(*System.Gateways[0].Process, System.Gateways[0].Admin,
               pipelined(requestHead("GET", "/metrics", ""), 8 * Megabyte));
}

TEST_CASE("bodies to the admin port that stop short are bounded") {
  small_deployment System;
  System.check(*System.Gateways[0].Process, System.Gateways[0].Admin,
               bodyWithLength("POST", "/metrics", 4 * Megabyte));
}

// Guards against limits that proper clients meet: a body at the limit and a
// large answer are served when nobody else asks.
TEST_CASE("a request at the limits is served in calm") {
  small_deployment System;
  const auto Answer =
      http_call(System.Gateways[0].Callers,
                httpRequest("POST", "/a/bytes/" + std::to_string(AnswerBytes),
                            {{"X-Acacianotch-Request-Id", "q"}},
                            std::string(MaxBody, 'x')))
          .finish();
  CHECK(Answer.Status == HttpOk);
  CHECK(Answer.Body.size() == AnswerBytes);
}
