/// \file Field order of encoded messages, log records and snapshots.
#include "replication/codec.h"

#include "replication/field_codec.h"

#include <utility>

namespace acacianotch {

namespace {

/// First field of every encoding. Must be incremented when the order of fields
/// changes.
constexpr std::uint64_t FormatVersion = 1;

/// Number of fields per list element, used to validate element counts.
constexpr std::size_t MemberFields = 3;
constexpr std::size_t RecordFields = 4;

/// Second field of a log file frame; selects the type of its content.
enum class frame_tag : std::uint64_t { term_state = 1, log_record = 2 };

auto put(field_writer &Out, const log_position &Position) -> void {
  Out.number(Position.Index);
  Out.number(Position.Term);
}

auto put(field_writer &Out, const log_record &Record) -> void {
  Out.number(Record.Index);
  Out.number(Record.Term);
  Out.number(static_cast<std::uint64_t>(Record.Kind));
  Out.bytes(Record.Payload);
}

auto put(field_writer &Out, const membership &Members) -> void {
  Out.number(Members.NextId);
  Out.number(Members.Members.size());
  for (const auto &Member : Members.Members) {
    Out.number(static_cast<std::uint64_t>(Member.Id));
    Out.number(Member.Voter ? 1 : 0);
    Out.bytes(Member.Address);
  }
}

auto put(field_writer &Out, const vote_request &Body) -> void {
  Out.number(Body.Term);
  Out.number(Body.PreVote ? 1 : 0);
  put(Out, Body.Last);
}

auto put(field_writer &Out, const vote_reply &Body) -> void {
  Out.number(Body.Term);
  Out.number(Body.PreVote ? 1 : 0);
  Out.number(Body.Granted ? 1 : 0);
}

auto put(field_writer &Out, const append_request &Body) -> void {
  Out.number(Body.Term);
  put(Out, Body.Previous);
  Out.number(Body.CommitIndex);
  Out.number(Body.SentAt);
  Out.number(Body.Records.size());
  for (const auto &Record : Body.Records)
    put(Out, Record);
}

auto put(field_writer &Out, const append_reply &Body) -> void {
  Out.number(Body.Term);
  Out.number(Body.Accepted ? 1 : 0);
  Out.number(Body.Match);
  Out.number(Body.Rejected);
  Out.number(Body.SentAt);
}

auto put(field_writer &Out, const snapshot_chunk &Body) -> void {
  Out.number(Body.Term);
  put(Out, Body.Last);
  put(Out, Body.Members);
  Out.number(Body.Size);
  Out.number(Body.Offset);
  Out.bytes(Body.Data);
  Out.number(Body.SentAt);
}

auto put(field_writer &Out, const snapshot_reply &Body) -> void {
  Out.number(Body.Term);
  Out.number(Body.Index);
  Out.number(Body.Offset);
  Out.number(Body.SentAt);
}

auto get(field_reader &In, log_position &Position) -> void {
  Position.Index = In.number();
  Position.Term = In.number();
}

auto get(field_reader &In, log_record &Record) -> void {
  Record.Index = In.number();
  Record.Term = In.number();
  const auto Kind = In.number();
  Record.Payload = In.bytes();
  if (Record.Index == 0 || Kind == 0 ||
      Kind > static_cast<std::uint64_t>(record_kind::membership))
    return In.fail();
  Record.Kind = static_cast<record_kind>(Kind);
}

auto get(field_reader &In, membership &Members) -> void {
  Members.NextId = In.number();
  Members.Members.resize(In.count(MemberFields));
  std::uint64_t Previous = 0;
  for (auto &Member : Members.Members) {
    const auto Id = In.number();
    Member.Id = replica_id{Id};
    Member.Voter = In.flag();
    Member.Address = In.bytes();
    if (Id <= Previous || Id >= Members.NextId)
      return In.fail();
    Previous = Id;
  }
}

auto get(field_reader &In, vote_request &Body) -> void {
  Body.Term = In.number();
  Body.PreVote = In.flag();
  get(In, Body.Last);
}

auto get(field_reader &In, vote_reply &Body) -> void {
  Body.Term = In.number();
  Body.PreVote = In.flag();
  Body.Granted = In.flag();
}

auto get(field_reader &In, append_request &Body) -> void {
  Body.Term = In.number();
  get(In, Body.Previous);
  Body.CommitIndex = In.number();
  Body.SentAt = In.number();
  Body.Records.resize(In.count(RecordFields));
  auto Last = Body.Previous;
  for (auto &Record : Body.Records) {
    get(In, Record);
    if (Record.Index != Last.Index + 1 || Record.Term < Last.Term ||
        Record.Term > Body.Term)
      return In.fail();
    Last = {Record.Index, Record.Term};
  }
}

auto get(field_reader &In, append_reply &Body) -> void {
  Body.Term = In.number();
  Body.Accepted = In.flag();
  Body.Match = In.number();
  Body.Rejected = In.number();
  Body.SentAt = In.number();
}

auto get(field_reader &In, snapshot_chunk &Body) -> void {
  Body.Term = In.number();
  get(In, Body.Last);
  get(In, Body.Members);
  Body.Size = In.number();
  Body.Offset = In.number();
  Body.Data = In.bytes();
  Body.SentAt = In.number();
  if (Body.Offset > Body.Size || Body.Data.size() > Body.Size - Body.Offset)
    In.fail();
}

auto get(field_reader &In, snapshot_reply &Body) -> void {
  Body.Term = In.number();
  Body.Index = In.number();
  Body.Offset = In.number();
  Body.SentAt = In.number();
}

/// Reads the message type with the variant index \p Wanted into \p Body.
template <std::size_t Index = 0>
auto getBody(field_reader &In, std::uint64_t Wanted, message &Body) -> void {
  if constexpr (Index < std::variant_size_v<message>) {
    if (Wanted != Index)
      return getBody<Index + 1>(In, Wanted, Body);
    get(In, Body.emplace<Index>());
  } else {
    In.fail();
  }
}

auto versionedWriter() -> field_writer {
  field_writer Out;
  Out.number(FormatVersion);
  return Out;
}

auto versionedReader(std::string_view Encoded) -> field_reader {
  field_reader In(Encoded);
  if (In.number() != FormatVersion)
    In.fail();
  return In;
}

/// \return \p Value if all fields of \p In were read and valid.
template <typename type>
auto finishDecoding(const field_reader &In, type Value) -> result<type> {
  auto Outcome = In.finish();
  if (!Outcome)
    return Outcome.error();
  return Value;
}

} // namespace

auto encodeEnvelope(const envelope &Envelope) -> std::string {
  auto Out = versionedWriter();
  Out.number(static_cast<std::uint64_t>(Envelope.From));
  Out.number(static_cast<std::uint64_t>(Envelope.To));
  Out.number(Envelope.Body.index());
  std::visit([&](const auto &Body) { put(Out, Body); }, Envelope.Body);
  return Out.finish();
}

auto decodeEnvelope(std::string_view Encoded) -> result<envelope> {
  auto In = versionedReader(Encoded);
  envelope Envelope;
  Envelope.From = replica_id{In.number()};
  Envelope.To = replica_id{In.number()};
  getBody(In, In.number(), Envelope.Body);
  if (Envelope.From == replica_id::none || Envelope.To == replica_id::none)
    In.fail();
  return finishDecoding(In, std::move(Envelope));
}

auto encodeMembership(const membership &Members) -> std::string {
  auto Out = versionedWriter();
  put(Out, Members);
  return Out.finish();
}

auto decodeMembership(std::string_view Encoded) -> result<membership> {
  auto In = versionedReader(Encoded);
  membership Members;
  get(In, Members);
  return finishDecoding(In, std::move(Members));
}

auto encodeSnapshot(const snapshot &Snapshot) -> std::string {
  auto Out = versionedWriter();
  put(Out, log_position{Snapshot.Index, Snapshot.Term});
  put(Out, Snapshot.Members);
  Out.bytes(*Snapshot.Data);
  return Out.finish();
}

auto decodeSnapshot(std::string_view Encoded) -> result<snapshot> {
  auto In = versionedReader(Encoded);
  snapshot Snapshot;
  log_position Last;
  get(In, Last);
  Snapshot.Index = Last.Index;
  Snapshot.Term = Last.Term;
  get(In, Snapshot.Members);
  Snapshot.Data = std::make_shared<const std::string>(In.bytes());
  return finishDecoding(In, std::move(Snapshot));
}

auto encodeFrame(const term_state &State) -> std::string {
  auto Out = versionedWriter();
  Out.number(static_cast<std::uint64_t>(frame_tag::term_state));
  Out.number(State.Term);
  Out.number(static_cast<std::uint64_t>(State.Vote));
  return Out.finish();
}

auto encodeFrame(const log_record &Record) -> std::string {
  auto Out = versionedWriter();
  Out.number(static_cast<std::uint64_t>(frame_tag::log_record));
  put(Out, Record);
  return Out.finish();
}

auto decodeFrame(std::string_view Encoded) -> result<log_frame> {
  auto In = versionedReader(Encoded);
  const auto Tag = frame_tag{In.number()};
  if (Tag == frame_tag::term_state) {
    term_state State;
    State.Term = In.number();
    State.Vote = replica_id{In.number()};
    return finishDecoding<log_frame>(In, State);
  }
  log_record Record;
  get(In, Record);
  if (Tag != frame_tag::log_record)
    In.fail();
  return finishDecoding<log_frame>(In, std::move(Record));
}

} // namespace acacianotch
