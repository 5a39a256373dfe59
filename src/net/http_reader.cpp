/// \file Incremental reading of HTTP/1.1 messages on http_parser.
#include "net/http_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace acacianotch {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

constexpr std::array<std::string_view, 8> ConnectionHeaders{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "expect",
};

/// \return whether a header line has a name that ends in its colon.
auto wellFormedName(std::string_view Line) -> bool {
  const auto Name = Line.substr(0, Line.find(':'));
  return Name.size() < Line.size() && !Name.empty() &&
         Name.find_first_of(" \t") == std::string_view::npos;
}

/// \return whether each line of a head, complete or not, ends in CR LF, none
/// continues the line before, and none has a space before its colon. Readers
/// that differ on such lines could see different messages; http_parser takes a
/// space for a part of the name, and refuses control characters in it.
auto wellFormedLines(std::string_view Head) -> bool {
  if (Head.find('\0') != std::string_view::npos)
    return false;
  for (auto First = true; !Head.empty(); First = false) {
    const auto End = Head.find_first_of("\r\n");
    if (End == std::string_view::npos || End + 1 == Head.size())
      return End == std::string_view::npos || Head[End] == '\r';
    if (Head.substr(End, 2) != "\r\n")
      return false;
    if (!First && End > 0 && !wellFormedName(Head.substr(0, End)))
      return false;
    Head.remove_prefix(End + 2);
  }
  return true;
}

/// \return whether the status line of an answer's head, complete or not, has a
/// status that HTTP defines: three digits from 100 to 599. http_parser reads
/// any number of digits as one, and callers could take 0200 for a success.
auto hasValidStatus(std::string_view Head) -> bool {
  constexpr std::size_t Digits = 3;
  const auto End = Head.find("\r\n");
  if (End == std::string_view::npos)
    return true;
  const auto Line = Head.substr(0, End);
  const auto Blank = Line.find(' ');
  if (Blank == std::string_view::npos)
    return false;
  const auto Rest = Line.substr(Blank + 1);
  const auto Status = Rest.substr(0, Rest.find(' '));
  return Status.size() == Digits && Status[0] >= '1' && Status[0] <= '5' &&
         std::all_of(Status.begin(), Status.end(),
                     [](unsigned char Digit) { return std::isdigit(Digit); });
}

auto viewOf(evbuffer *Input, std::size_t Size) -> std::string_view {
  const auto *Bytes = evbuffer_pullup(Input, static_cast<ev_ssize_t>(Size));
  return {reinterpret_cast<const char *>(Bytes), Size};
}

} // namespace

auto sameHeaderName(std::string_view Left, std::string_view Right) -> bool {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char One, unsigned char Two) {
                      return std::tolower(One) == std::tolower(Two);
                    });
}

auto isConnectionHeader(std::string_view Name) -> bool {
  return std::any_of(
      ConnectionHeaders.begin(), ConnectionHeaders.end(),
      [&](std::string_view Each) { return sameHeaderName(Each, Name); });
}

auto http_head::find(std::string_view Name) const -> const std::string * {
  for (const auto &[Key, Value] : Headers)
    if (sameHeaderName(Key, Name))
      return &Value;
  return nullptr;
}

auto http_head::path() const -> std::string_view {
  return std::string_view(Target).substr(0, Target.find('?'));
}

struct http_reader::state {
  state(http_message TheKind, std::size_t TheLimit,
        http_reader_events TheEvents)
      : Kind(TheKind), MaxHeadBytes(TheLimit), Events(std::move(TheEvents)) {
    Parser.data = this;
    restart();
  }

  auto restart() -> void {
    http_parser_init(&Parser, Kind == http_message::request ? HTTP_REQUEST
                                                            : HTTP_RESPONSE);
    Head = {};
    Begun = HeadDone = Ended = false;
    LastWasValue = true;
  }

  static auto self(http_parser *Parser) -> state & {
    return *static_cast<state *>(Parser->data);
  }

  static auto onUrl(http_parser *Parser, const char *At, std::size_t Size)
      -> int {
    self(Parser).Head.Target.append(At, Size);
    return 0;
  }

  static auto onField(http_parser *Parser, const char *At, std::size_t Size)
      -> int {
    auto &Self = self(Parser);
    if (Self.HeadDone)
      return 0; // Trailers are not forwarded.
    if (std::exchange(Self.LastWasValue, false))
      Self.Head.Headers.emplace_back();
    Self.Head.Headers.back().first.append(At, Size);
    return 0;
  }

  static auto onValue(http_parser *Parser, const char *At, std::size_t Size)
      -> int {
    auto &Self = self(Parser);
    if (Self.HeadDone)
      return 0;
    Self.LastWasValue = true;
    Self.Head.Headers.back().second.append(At, Size);
    return 0;
  }

  static auto onHeadersComplete(http_parser *Parser) -> int {
    auto &Self = self(Parser);
    Self.HeadDone = true;
    auto &Head = Self.Head;
    Head.Status = static_cast<int>(Parser->status_code);
    Head.KeepAlive = http_should_keep_alive(Parser) != 0;
    Head.Chunked = (Parser->flags & F_CHUNKED) != 0;
    if ((Parser->flags & F_CONTENTLENGTH) != 0)
      Head.Length = static_cast<std::int64_t>(Parser->content_length);
    if (Self.Kind == http_message::request)
      Head.Method = http_method_str(static_cast<http_method>(Parser->method));
    else
      Head.EndsWithConnection = needsEndOfFile(*Parser);
    Self.Events.OnHead(std::move(Head));
    return Self.NoBody ? 1 : 0;
  }

  static auto needsEndOfFile(const http_parser &Parser) -> bool {
    const auto Status = Parser.status_code;
    const auto NeverHasBody =
        Status / 100 == 1 || Status == 204 || Status == 304;
    const auto Framed = (Parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
    return !NeverHasBody && !Framed;
  }

  static auto onBody(http_parser *Parser, const char *At, std::size_t Size)
      -> int {
    self(Parser).Events.OnBody({At, Size});
    return 0;
  }

  // Pausing leaves the bytes behind the message in the buffer.
  static auto onEnd(http_parser *Parser) -> int {
    self(Parser).Ended = true;
    http_parser_pause(Parser, 1);
    return 0;
  }

  static auto callbacks() -> const http_parser_settings & {
    static const auto Settings = [] {
      http_parser_settings Table;
      http_parser_settings_init(&Table);
      Table.on_url = onUrl;
      Table.on_header_field = onField;
      Table.on_header_value = onValue;
      Table.on_headers_complete = onHeadersComplete;
      Table.on_body = onBody;
      Table.on_message_complete = onEnd;
      return Table;
    }();
    return Settings;
  }

  /// \return whether the parser may see the bytes; a head is checked as a whole
  /// before any of it is parsed.
  auto headReady(evbuffer *Input) -> result<bool> {
    if (HeadDone)
      return true;
    const auto Size = evbuffer_get_length(Input);
    const auto End =
        evbuffer_search(Input, HeadEnd.data(), HeadEnd.size(), nullptr).pos;
    const auto Whole = End >= 0;
    const auto HeadSize =
        Whole ? static_cast<std::size_t>(End) + HeadEnd.size() : Size;
    if (HeadSize > MaxHeadBytes)
      return failure::of(errc::body_too_large, "the head is too large");
    const auto HeadText = viewOf(Input, HeadSize);
    if (Kind == http_message::answer && !hasValidStatus(HeadText))
      return failure::of(errc::bad_request, "the status is not valid");
    if (!wellFormedLines(HeadText))
      return failure::of(errc::bad_request, "malformed line in the head");
    Begun = Begun || Size > 0;
    return Whole;
  }

  auto parse(evbuffer *Input) -> result<void> {
    while (!Ended) {
      const auto Size = evbuffer_get_contiguous_space(Input);
      if (Size == 0)
        return {};
      const auto Bytes = viewOf(Input, Size);
      const auto Used = http_parser_execute(&Parser, &callbacks(), Bytes.data(),
                                            Bytes.size());
      const auto Error = HTTP_PARSER_ERRNO(&Parser);
      if (Error != HPE_OK && Error != HPE_PAUSED)
        return failure::of(errc::bad_request, http_errno_description(Error));
      if (Parser.upgrade != 0 && Ended)
        return failure::of(errc::bad_request, "upgrades are not supported");
      evbuffer_drain(Input, Used);
    }
    return {};
  }

  http_message Kind;
  std::size_t MaxHeadBytes;
  http_reader_events Events;
  http_parser Parser{};
  http_head Head;
  bool Begun = false;
  bool HeadDone = false;
  bool Ended = false;
  bool LastWasValue = true;
  bool NoBody = false;
};

http_reader::http_reader(http_message Kind, std::size_t MaxHeadBytes,
                         http_reader_events Events)
    : State(std::make_unique<state>(Kind, MaxHeadBytes, std::move(Events))) {}

http_reader::~http_reader() = default;

auto http_reader::read(evbuffer *Input) -> result<void> {
  const auto Ready = State->headReady(Input);
  if (!Ready)
    return Ready.error();
  if (!*Ready)
    return {};
  if (auto Parsed = State->parse(Input); !Parsed)
    return Parsed;
  if (!State->Ended)
    return {};
  State->restart();
  State->Events.OnEnd();
  return {};
}

auto http_reader::finish() -> bool {
  if (!State->HeadDone)
    return false;
  http_parser_execute(&State->Parser, &state::callbacks(), nullptr, 0);
  if (!State->Ended)
    return false;
  State->restart();
  State->Events.OnEnd();
  return true;
}

auto http_reader::expectNoBody(bool NoBody) -> void { State->NoBody = NoBody; }

auto http_reader::setMaxHeadBytes(std::size_t Limit) -> void {
  State->MaxHeadBytes = Limit;
}

auto http_reader::inMessage() const -> bool { return State->Begun; }

auto http_reader::inBody() const -> bool { return State->HeadDone; }

} // namespace acacianotch
