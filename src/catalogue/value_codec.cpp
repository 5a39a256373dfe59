/// \file Checks shared by the value codecs.
#include "catalogue/value_codec.h"

#include <cmath>
#include <sstream>

namespace acacianotch {

namespace {

constexpr std::size_t PrintableLength = 64;

/// \return the number of continuation bytes after \p Lead, or nothing if no
/// sequence starts with it.
auto continuationBytes(unsigned char Lead) -> std::optional<std::size_t> {
  if (Lead < 0x80)
    return 0;
  if (Lead >= 0xC2 && Lead <= 0xDF)
    return 1;
  if (Lead >= 0xE0 && Lead <= 0xEF)
    return 2;
  if (Lead >= 0xF0 && Lead <= 0xF4)
    return 3;
  return std::nullopt;
}

/// \return whether \p Second may follow \p Lead: excludes overlong forms,
/// surrogates and code points above U+10FFFF.
auto validSecond(unsigned char Lead, unsigned char Second) -> bool {
  if (Lead == 0xE0)
    return Second >= 0xA0;
  if (Lead == 0xED)
    return Second < 0xA0;
  if (Lead == 0xF0)
    return Second >= 0x90;
  if (Lead == 0xF4)
    return Second < 0x90;
  return true;
}

} // namespace

auto printable(std::string_view Text) -> std::string {
  auto Out = std::string(Text.substr(0, PrintableLength));
  for (auto &Char : Out)
    if (Char < 0x20 || Char > 0x7E)
      Char = '?';
  return Out;
}

auto validUtf8(std::string_view Text) -> bool {
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const auto Lead = static_cast<unsigned char>(Text[At]);
    const auto More = continuationBytes(Lead);
    if (!More || Text.size() - At <= *More)
      return false;
    for (std::size_t Step = 1; Step <= *More; ++Step) {
      const auto Next = static_cast<unsigned char>(Text[At + Step]);
      if ((Next & 0xC0U) != 0x80U)
        return false;
      if (Step == 1 && !validSecond(Lead, Next))
        return false;
    }
    At += *More;
  }
  return true;
}

auto parseVersionRef(std::string_view Text) -> result<version_ref> {
  const auto At = Text.find('@');
  const auto Model = Text.substr(0, At);
  const auto Version =
      At == std::string_view::npos ? std::string_view() : Text.substr(At + 1);
  const auto Bad = Model.empty() || Text.size() > 257 || !validUtf8(Text) ||
                   (At != std::string_view::npos && Version.empty()) ||
                   Version.find('@') != std::string_view::npos;
  if (Bad)
    return failure::of(errc::bad_request,
                       "'" + printable(Text) +
                           "' is not model or model@version");
  return version_ref{std::string(Model), std::string(Version)};
}

namespace detail {

auto expected(std::string_view What) -> failure {
  return failure::of(errc::bad_request, std::string(What) + " is expected");
}

auto outOfRange(const limits &Limits) -> failure {
  std::ostringstream Text;
  Text.precision(15);
  Text << "must be between " << Limits.Low << " and " << Limits.High;
  return failure::of(errc::bad_request, Text.str());
}

auto readUnsigned(const json &Value, const limits &Limits, std::uint64_t Most)
    -> result<std::uint64_t> {
  if (!Value.is_number_integer())
    return expected("an integer");
  if (!Value.is_number_unsigned() && Value.get<std::int64_t>() < 0)
    return outOfRange(Limits);
  const auto Number = Value.get<std::uint64_t>();
  if (Number > Most || !within(static_cast<double>(Number), Limits))
    return outOfRange(
        {Limits.Low, std::min(Limits.High, static_cast<double>(Most))});
  return Number;
}

auto readText(const json &Value, const limits &Limits) -> result<std::string> {
  if (!Value.is_string())
    return expected("a text");
  const auto &Text = Value.get_ref<const std::string &>();
  if (!within(static_cast<double>(Text.size()), Limits)) {
    auto Error = outOfRange(Limits);
    Error.Detail = "the length " + Error.Detail;
    return Error;
  }
  if (!validUtf8(Text))
    return expected("valid UTF-8");
  return Text;
}

auto readBlob(const json &Value, const limits &Limits) -> result<std::string> {
  if (!Value.is_binary())
    return expected("a byte string");
  const auto &Bytes = Value.get_binary();
  if (!within(static_cast<double>(Bytes.size()), Limits))
    return outOfRange(Limits);
  return std::string(Bytes.begin(), Bytes.end());
}

} // namespace detail

} // namespace acacianotch
