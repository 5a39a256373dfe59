/// \file Parsing and printing of socket addresses.
#include "core/address_type.h"

#include <arpa/inet.h>

#include <charconv>
#include <optional>

namespace acacianotch {

namespace {

template <typename type>
auto parseNumber(std::string_view Text) -> std::optional<type> {
  type Value{};
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

/// Removes the brackets of an IPv6 address; an IPv4 address has none.
auto stripBrackets(std::string_view Host) -> std::string_view {
  if (Host.size() >= 2 && Host.front() == '[' && Host.back() == ']')
    return Host.substr(1, Host.size() - 2);
  return Host;
}

auto isNumericIp(const std::string &Ip, bool IsIpv6) -> bool {
  // inet_pton reads up to the first NUL and would accept what follows it.
  if (Ip.find('\0') != std::string::npos)
    return false;
  in6_addr Binary{};
  return inet_pton(IsIpv6 ? AF_INET6 : AF_INET, Ip.c_str(), &Binary) == 1;
}

auto badAddress(std::string_view Text) -> failure {
  return failure::of(errc::bad_request, "'" + std::string(Text) +
                                            "' is not IP:PORT or [IPv6]:PORT");
}

} // namespace

auto address::text() const -> std::string {
  const auto Host = isIpv6() ? "[" + Ip + "]" : Ip;
  return Host + ":" + std::to_string(Port);
}

auto parseAddress(std::string_view Text) -> result<address> {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return badAddress(Text);
  const auto Host = Text.substr(0, Colon);
  const auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  const std::string Ip(stripBrackets(Host));
  const auto IsIpv6 = Ip.size() != Host.size();
  if (!Port || !isNumericIp(Ip, IsIpv6))
    return badAddress(Text);
  return address{Ip, *Port};
}

auto replica_address::text() const -> std::string {
  return std::to_string(Id) + "=" + Address.text();
}

auto parseReplicaAddress(std::string_view Text) -> result<replica_address> {
  const auto Equals = Text.find('=');
  const auto Id = parseNumber<std::uint64_t>(Text.substr(0, Equals));
  if (Equals == std::string_view::npos || !Id || *Id == 0)
    return failure::of(errc::bad_request,
                       "'" + std::string(Text) + "' is not ID=IP:PORT");
  auto Address = parseAddress(Text.substr(Equals + 1));
  if (!Address)
    return Address.error();
  return replica_address{*Id, *Address};
}

} // namespace acacianotch
