/// \file Exit codes of acacianotchd.
#pragma once

#include "core/error_type.h"

#include <cstdint>

namespace acacianotch {

/// Exit codes of acacianotchd, as documented in docs/OPERATING.md.
enum class daemon_exit : std::uint8_t {
  ok = 0,             ///< Ended after a graceful shutdown, or --check passed.
  failed = 1,         ///< Failed at run time.
  usage = 2,          ///< Wrong command line.
  bad_settings = 3,   ///< Settings or a file that they name are invalid.
  address_in_use = 4, ///< An address or the data folder is in use.
};

/// \return the exit code for an error that ended the process.
[[nodiscard]] constexpr auto exitFor(errc Code) -> daemon_exit {
  switch (Code) {
  case errc::ok:
    return daemon_exit::ok;
  case errc::bad_settings:
    return daemon_exit::bad_settings;
  case errc::address_in_use:
    return daemon_exit::address_in_use;
  default:
    return daemon_exit::failed;
  }
}

} // namespace acacianotch
