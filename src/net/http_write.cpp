/// \file Writing of HTTP/1.1 heads and bodies into buffers.
#include "net/http_write.h"

#include <http_parser.h>

namespace acacianotch {

auto appendText(evbuffer *Output, std::string_view Text) -> void {
  evbuffer_add(Output, Text.data(), Text.size());
}

auto appendHeaders(evbuffer *Output, const http_headers &Headers) -> void {
  for (const auto &[Name, Value] : Headers) {
    appendText(Output, Name);
    appendText(Output, ": ");
    appendText(Output, Value);
    appendText(Output, "\r\n");
  }
  appendText(Output, "\r\n");
}

auto appendStatusLine(evbuffer *Output, int Status) -> void {
  evbuffer_add_printf(Output, "HTTP/1.1 %d %s\r\n", Status,
                      http_status_str(static_cast<http_status>(Status)));
}

auto appendChunk(evbuffer *Output, std::string_view Data) -> void {
  if (Data.empty())
    return;
  evbuffer_add_printf(Output, "%zx\r\n", Data.size());
  appendText(Output, Data);
  appendText(Output, "\r\n");
}

auto appendLastChunk(evbuffer *Output) -> void {
  appendText(Output, "0\r\n\r\n");
}

} // namespace acacianotch
