/// \file Reading of small files such as settings and secrets.
#include "core/file_func.h"

#include <fstream>
#include <utility>

namespace acacianotch {

namespace {

constexpr std::size_t MinSecretSize = 16;

auto cannot(const std::filesystem::path &File, const std::string &Why)
    -> failure {
  return failure::of(errc::bad_settings, File.string() + ": " + Why);
}

} // namespace

auto readSmallFile(const std::filesystem::path &File) -> result<std::string> {
  std::error_code Error;
  // A folder or a device opens as a stream but cannot be read to its end.
  if (!std::filesystem::is_regular_file(File, Error))
    return cannot(File, Error ? Error.message() : "is not a regular file");
  const auto Size = std::filesystem::file_size(File, Error);
  if (Error || Size > SmallFileLimit)
    return cannot(File, Error ? Error.message() : "is too large");
  std::ifstream In(File, std::ios::binary);
  std::string Text(Size, '\0');
  if (!In || !In.read(Text.data(), static_cast<std::streamsize>(Size)))
    return cannot(File, "cannot be read");
  return Text;
}

auto readSecretFile(const std::filesystem::path &File) -> result<secret> {
  auto Text = readSmallFile(File);
  if (!Text)
    return Text.error();
  auto Line = Text->substr(0, Text->find_first_of("\r\n"));
  if (Line.size() < MinSecretSize)
    return cannot(File, "the first line is shorter than 16 characters");
  return secret(std::move(Line));
}

auto othersMayRead(const std::filesystem::path &File) -> bool {
  using std::filesystem::perms;
  std::error_code Error;
  const auto Mode = std::filesystem::status(File, Error).permissions();
  return (Mode & perms::others_read) != perms::none;
}

} // namespace acacianotch
