/// \file What a process may use of its machine.
#include "node/resource_func.h"

#include <sys/resource.h>
#include <unistd.h>

namespace acacianotch {

namespace {

constexpr std::size_t Mebibyte = 1024ULL * 1024;
/// Used if the system states no limit.
constexpr std::size_t DefaultDescriptors = 1024;

} // namespace

auto processMemory(const node_settings &Settings) -> std::size_t {
  if (Settings.MemoryMb != 0)
    return Settings.MemoryMb * Mebibyte;
  const auto Pages = ::sysconf(_SC_PHYS_PAGES);
  const auto PageSize = ::sysconf(_SC_PAGESIZE);
  if (Pages <= 0 || PageSize <= 0)
    return 0;
  return static_cast<std::size_t>(Pages) * static_cast<std::size_t>(PageSize);
}

auto processDescriptors(const node_settings &Settings) -> std::size_t {
  if (Settings.MaxDescriptors != 0)
    return Settings.MaxDescriptors;
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return DefaultDescriptors;
  return Limit.rlim_cur;
}

} // namespace acacianotch
