/// \file Delivery of sent bytes to the peer of a connection.
#include "net/delivery_func.h"

#include <event2/buffer.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace acacianotch {

namespace {

// A system that does not state the number leaves it at 0.
auto unacknowledgedBytes(int Fd) -> int {
  int Count = 0;
  return ioctl(Fd, SIOCOUTQ, &Count) == 0 ? Count : 0;
}

// After the peer has ended its direction, a reset is not reported to a reader.
auto hasSocketError(int Fd) -> bool {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  return getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 && Error != 0;
}

} // namespace

auto hasUndeliveredOutput(bufferevent *Socket) -> bool {
  const auto Fd = bufferevent_getfd(Socket);
  return evbuffer_get_length(bufferevent_get_output(Socket)) > 0 ||
         unacknowledgedBytes(Fd) > 0 || hasSocketError(Fd);
}

} // namespace acacianotch
