/// \file toml++ without exceptions: a parse error is a value.
#pragma once

#define TOML_EXCEPTIONS 0
// toml++ 3.3.0 asserts on a table header such as "[=]" although the next branch
// reports it as a parse error. An assertion must not end a debug build because
// of a malformed file.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>
