/// \file Writing of HTTP/1.1 heads and bodies into buffers.
#pragma once

#include "net/http_server.h"

#include <event2/buffer.h>

#include <string_view>

namespace acacianotch {

/// Appends the bytes of \p Text.
auto appendText(evbuffer *Output, std::string_view Text) -> void;

/// Appends header lines and the empty line behind them.
auto appendHeaders(evbuffer *Output, const http_headers &Headers) -> void;

/// Appends a status line.
auto appendStatusLine(evbuffer *Output, int Status) -> void;

/// Appends one chunk of a chunked body; empty data is left out, because it
/// would end the body.
auto appendChunk(evbuffer *Output, std::string_view Data) -> void;

/// Appends the end of a chunked body.
auto appendLastChunk(evbuffer *Output) -> void;

} // namespace acacianotch
