/// \file Implementation with POSIX system calls.
#include "storage/posix_file_system.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace acacianotch {

namespace {

constexpr int FileMode = 0640;
constexpr std::size_t ReadBytes = 64U << 10U;

} // namespace

auto errnoFailure(std::string_view Operation, const std::string &Path)
    -> failure {
  const auto Reason = std::generic_category().message(errno);
  return failure::of(errc::storage_failed,
                     std::string(Operation) + " " + Path + ": " + Reason);
}

posix_file::~posix_file() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

auto posix_file_system::create(const std::string &Path) -> result<file> {
  const int Descriptor =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
  if (Descriptor < 0)
    return errnoFailure("create", Path);
  return file(Descriptor, Path);
}

auto posix_file_system::read(const std::string &Path)
    -> result<std::optional<std::string>> {
  const int Descriptor = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (Descriptor < 0 && errno == ENOENT)
    return std::optional<std::string>();
  if (Descriptor < 0)
    return errnoFailure("open", Path);
  const file File(Descriptor, Path);
  std::string Content;
  std::array<char, ReadBytes> Buffer{};
  while (true) {
    const auto Count = ::read(Descriptor, Buffer.data(), Buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return errnoFailure("read", Path);
    if (Count == 0)
      return std::optional(std::move(Content));
    Content.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
}

auto posix_file_system::append(file &File, std::string_view Bytes)
    -> result<void> {
  while (!Bytes.empty()) {
    const auto Count = ::write(File.descriptor(), Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return errnoFailure("write", File.path());
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return {};
}

auto posix_file_system::sync(file &File) -> result<void> {
  if (::fdatasync(File.descriptor()) != 0)
    return errnoFailure("sync", File.path());
  return {};
}

auto posix_file_system::rename(const std::string &From, const std::string &To)
    -> result<void> {
  if (std::rename(From.c_str(), To.c_str()) != 0)
    return errnoFailure("rename", From);
  return {};
}

auto posix_file_system::syncFolder(const std::string &Path) -> result<void> {
  const int Descriptor =
      ::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Descriptor < 0)
    return errnoFailure("open", Path);
  const file Folder(Descriptor, Path);
  if (::fsync(Descriptor) != 0)
    return errnoFailure("sync", Path);
  return {};
}

} // namespace acacianotch
