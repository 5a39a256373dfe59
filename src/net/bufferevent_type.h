/// \file Ownership of libevent's buffered sockets.
#pragma once

#include <event2/bufferevent.h>

#include <memory>

namespace acacianotch {

/// Deletes a bufferevent with its socket.
struct bufferevent_deleter {
  auto operator()(bufferevent *Event) const -> void { bufferevent_free(Event); }
};
using bufferevent_handle = std::unique_ptr<bufferevent, bufferevent_deleter>;

} // namespace acacianotch
