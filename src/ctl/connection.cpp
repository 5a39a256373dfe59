/// \file Connection of acacianotchctl to control or to one process.
#include "ctl/connection.h"

namespace acacianotch {

namespace {

auto notBuilt() -> failure {
  return failure::of(errc::not_ready, "the RPC transport is not implemented");
}

} // namespace

ctl_connection::ctl_connection(const ctl_options & /*Options*/) {}

auto ctl_connection::execute(const json & /*Command*/) -> result<json> {
  return notBuilt();
}

auto ctl_connection::query(std::string_view /*What*/,
                           const json & /*Arguments*/) -> result<json> {
  return notBuilt();
}

} // namespace acacianotch
