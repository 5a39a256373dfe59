/// \file Reading of HTTP messages: framing, pipelining and smuggled requests.
#include "net/http_reader.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace acacianotch;

namespace {

struct buffer_deleter {
  auto operator()(evbuffer *Buffer) const -> void { evbuffer_free(Buffer); }
};

/// Collects what a reader tells.
class recorder {
public:
  explicit recorder(http_message Kind, std::size_t Limit = 4096)
      : Reader(Kind, Limit,
               {[this](http_head &&Head) { Heads.push_back(std::move(Head)); },
                [this](std::string_view Data) { Body.append(Data); },
                [this] { ++Ends; }}) {}

  auto feed(std::string_view Text) -> result<void> {
    evbuffer_add(Input.get(), Text.data(), Text.size());
    return Reader.read(Input.get());
  }
  [[nodiscard]] auto left() const -> std::size_t {
    return evbuffer_get_length(Input.get());
  }

  std::vector<http_head> Heads;
  std::string Body;
  int Ends = 0;
  std::unique_ptr<evbuffer, buffer_deleter> Input{evbuffer_new()};
  http_reader Reader;
};

auto accepted(std::string_view Text) -> bool {
  recorder Recorder(http_message::request);
  return Recorder.feed(Text).ok();
}

} // namespace

// Guards against requests that another reader would see as two.
TEST_CASE("malformed framing of a request is an error") {
  const std::string Line = "POST /a HTTP/1.1\r\nHost: h\r\n";
  CHECK(accepted(Line + "Content-Length: 2\r\n\r\nab"));
  CHECK(accepted(Line + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  const std::vector<std::string> Bad{
      Line + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
      Line + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
      Line + "Content-Length : 2\r\n\r\nab",
      Line + "Content-Length: -2\r\n\r\nab",
      Line + "Content-Length: 2,2\r\n\r\nab",
      Line + "Transfer-Encoding: xchunked\r\n\r\n",
      Line + "A: b\n\r\n\r\n",
      Line + "A: b\r\n c\r\n\r\n",
      Line + std::string("A: b\0c\r\n\r\n", 10),
      Line + "A: b\rc\r\n\r\n",
      "GARBAGE\r\n\r\n",
      Line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      Line + "Transfer-Encoding: chunked\r\n\r\n2\nab\r\n",
  };
  for (const auto &Text : Bad) {
    CAPTURE(Text);
    CHECK_FALSE(accepted(Text));
  }
}

// Guards against bare line feeds that are found only when the head is whole.
TEST_CASE("a malformed line is an error before the head ends") {
  recorder Recorder(http_message::request);
  CHECK_FALSE(Recorder.feed("GET / HTTP/1.1\nHost: h\n\n").ok());
}

// Guards against a second request that is taken for a part of the first.
TEST_CASE("a reader stops behind each message") {
  recorder Recorder(http_message::request);
  const std::string Second = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(Recorder
              .feed("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2"
                    "\r\n\r\nab" +
                    Second)
              .ok());
  CHECK(Recorder.Ends == 1);
  CHECK(Recorder.Body == "ab");
  CHECK(Recorder.left() == Second.size());
  REQUIRE(Recorder.feed("").ok());
  CHECK(Recorder.Ends == 2);
  REQUIRE(Recorder.Heads.size() == 2);
  CHECK(Recorder.Heads[1].Target == "/b");
}

// Guards against heads that grow without bound.
TEST_CASE("a head above the limit is an error") {
  recorder Recorder(http_message::request, 64);
  const auto Done =
      Recorder.feed("GET / HTTP/1.1\r\nA: " + std::string(64, 'x'));
  REQUIRE_FALSE(Done.ok());
  CHECK(Done.error().Code == errc::body_too_large);
}

// Guards against a cut answer that looks complete.
TEST_CASE("the end of a connection ends only a body without length") {
  recorder Unframed(http_message::answer);
  REQUIRE(Unframed.feed("HTTP/1.1 200 OK\r\n\r\nabc").ok());
  CHECK(Unframed.Heads.at(0).EndsWithConnection);
  CHECK(Unframed.Ends == 0);
  CHECK(Unframed.Reader.finish());
  CHECK(Unframed.Ends == 1);
  recorder Cut(http_message::answer);
  REQUIRE(Cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").ok());
  CHECK_FALSE(Cut.Reader.finish());
  CHECK(Cut.Ends == 0);
  recorder CutChunk(http_message::answer);
  REQUIRE(CutChunk
              .feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n")
              .ok());
  CHECK_FALSE(CutChunk.Reader.finish());
}
