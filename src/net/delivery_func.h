/// \file Delivery of sent bytes to the peer of a connection.
#pragma once

#include <event2/bufferevent.h>

namespace acacianotch {

/// \return whether the peer may lack a part of what was sent: bytes are unsent
/// or not acknowledged, or the connection was reset.
[[nodiscard]] auto hasUndeliveredOutput(bufferevent *Socket) -> bool;

} // namespace acacianotch
