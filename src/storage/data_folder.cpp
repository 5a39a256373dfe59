/// \file Creating and locking the data folder.
#include "storage/data_folder.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>

namespace acacianotch {

namespace {

constexpr int LockMode = 0640;

} // namespace

auto data_folder::open(const std::string &Path) -> result<data_folder> {
  std::error_code Error;
  std::filesystem::create_directories(Path, Error);
  if (Error)
    return failure::of(errc::storage_failed,
                       "create " + Path + ": " + Error.message());
  const auto LockPath = Path + "/lock";
  const int Descriptor =
      ::open(LockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, LockMode);
  if (Descriptor < 0)
    return errnoFailure("open", LockPath);
  posix_file Lock(Descriptor, LockPath);
  if (::flock(Descriptor, LOCK_EX | LOCK_NB) == 0)
    return data_folder(std::move(Lock), Path);
  if (errno == EWOULDBLOCK)
    return failure::of(errc::address_in_use,
                       "data folder " + Path + " is in use by another process");
  return errnoFailure("lock", LockPath);
}

} // namespace acacianotch
