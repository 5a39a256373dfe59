/// \file Clock of a process whose VM is suspended, preloaded in tests.
///
/// While a VM is suspended, its monotonic clock stands still and its boot-time
/// clock goes on. A stopped process sees both go on, so the time for which it
/// was stopped is taken off the monotonic clocks here.
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

/// Environment variable with the file that holds the nanoseconds for which the
/// process was suspended, as a 64-bit integer.
constexpr auto FileVariable = "ACACIANOTCH_TEST_SUSPENDED_NS_FILE";
constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;

auto suspendedNs() -> std::int64_t {
  static const int File = [] {
    const auto *Path = std::getenv(FileVariable);
    return Path == nullptr ? -1 : ::open(Path, O_RDONLY | O_CLOEXEC);
  }();
  std::int64_t Suspended = 0;
  if (File < 0 || ::pread(File, &Suspended, sizeof(Suspended), 0) !=
                      static_cast<ssize_t>(sizeof(Suspended)))
    return 0;
  return Suspended;
}

auto standsStill(clockid_t Clock) -> bool {
  return Clock == CLOCK_MONOTONIC || Clock == CLOCK_MONOTONIC_COARSE ||
         Clock == CLOCK_MONOTONIC_RAW;
}

} // namespace

extern "C" auto clock_gettime(clockid_t Clock, timespec *Time) noexcept -> int {
  const auto Status =
      static_cast<int>(::syscall(SYS_clock_gettime, Clock, Time));
  if (Status != 0 || !standsStill(Clock))
    return Status;
  const auto Total =
      Time->tv_sec * NanosecondsPerSecond + Time->tv_nsec - suspendedNs();
  Time->tv_sec = Total / NanosecondsPerSecond;
  Time->tv_nsec = Total % NanosecondsPerSecond;
  return 0;
}
