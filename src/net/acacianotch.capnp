# Messages between the processes of acacianotch. Run scripts/generate after a
# change; the generated code in wire/ is committed.
@0xb6d1f7a3c5e20948;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("acacianotch::wire");

struct LoadReport {
  # Load of one backend server, piggybacked on every outcome.
  running @0 :UInt32;     # Requests running on the backend server.
  queued @1 :UInt32;      # Requests waiting at the agent.
  slots @2 :UInt32;       # Requests that may run at once.
  firstTokenUs @3 :UInt32; # Smoothed time to first token, microseconds.
  leaving @4 :Bool;       # No new work.
  long @5 :UInt32;        # Long work among running and queued.
}

struct WorkRequest {
  # One attempt of a caller's request.
  requestId @0 :Text;
  attempt @1 :UInt32;         # Counts from 0 within one request.
  account @2 :Text;
  model @3 :Text;             # Empty for a plain service.
  version @4 :Text;
  service @5 :Text;           # Empty for a model.
  requestClass @6 :Text;
  priority @7 :UInt8;         # 0 is the most urgent.
  longWork @8 :Bool;          # Counts against the cap for long work.
  idempotent @9 :Bool;
  streamed @10 :Bool;
  deadlineMs @11 :UInt32;     # Remaining time, milliseconds.
  catalogueRevision @12 :UInt64;
  epoch @13 :UInt64;
  fingerprint @14 :UInt64;    # Digest of account and body, for crash tracking.
  isolated @15 :Bool;         # Must run alone on its backend server.
  method @16 :Text;
  path @17 :Text;
  contentType @18 :Text;
  body @19 :Data;
  hideUsage @20 :Bool;        # Drop the usage event of a streamed answer.
  accountWeight @21 :Float32; # Share of the account in fair sharing.
}

struct WorkOutcome {
  # Final result of one attempt.
  requestId @0 :Text;
  verdict @1 :UInt8;          # acacianotch::verdict.
  error @2 :UInt16;           # acacianotch::errc; 0 is success.
  detail @3 :Text;
  httpStatus @4 :UInt16;      # Status of the backend server's answer.
  contentType @5 :Text;
  bytes @6 :UInt64;           # Bytes sent to the sink.
  promptTokens @7 :UInt64;
  completionTokens @8 :UInt64;
  load @9 :LoadReport;
  retryAfterMs @10 :UInt32;   # 0 if unknown.
  firstTokenUs @11 :UInt64;   # From dispatch to the first byte; 0 if none.
  body @12 :Data;             # Answer to a streamed request that is no stream.
}

interface ResponseSink {
  # Receives the answer of one attempt. The return of each call is the
  # acknowledgement that opens the sender's window.
  write @0 (requestId :Text, offset :UInt64, data :Data) -> ();
}

interface Agent {
  run @0 (request :WorkRequest, sink :ResponseSink) -> (outcome :WorkOutcome);
  # Cancelling the call cancels the attempt.
  probe @1 () -> (load :LoadReport, revision :UInt64, epoch :UInt64, ready :Bool);
}

struct NodeFacts {
  # What a node tells control about itself when it subscribes.
  nodeId @0 :Text;
  role @1 :Text;
  zone @2 :Text;
  backend @3 :Text;      # Name of the backend server, agents only.
  startedAt @4 :UInt64;  # Wall clock, milliseconds since 1970.
}

struct BackendRow {
  # One backend server of the platform's list. Texts that many rows share are
  # positions in the list's texts.
  id @0 :Text;
  address @1 :Text;
  startedMs @2 :UInt64;      # Wall clock, milliseconds since 1970.
  slots @3 :UInt32;
  service @4 :UInt16;
  zone @5 :UInt16;
  version @6 :UInt16;
  leaving @7 :Bool;
  cold @8 :Bool;             # Takes few requests since its start.
}

struct BackendList {
  # Part of the platform's list as the leader read it last.
  ageMs @0 :UInt32;          # Time since that read.
  whole @1 :Bool;            # Replaces all that was sent before.
  complete @2 :Bool;         # No change is missing after this part.
  rows @3 :List(BackendRow);
  texts @4 :List(Text);
  removed @5 :List(Text);    # Ids that are no longer listed.
}

struct NodeUpdate {
  # Catalogue delta, snapshot chunk, or only a confirmation.
  epoch @0 :UInt64;
  baseRevision @1 :UInt64;   # Revision the delta starts from; 0 in a snapshot.
  revision @2 :UInt64;       # Revision after this update.
  chunk @3 :UInt32;          # Position within a snapshot.
  chunks @4 :UInt32;         # Number of chunks; 0 in a delta.
  confirmed @5 :Bool;        # The leader held its lease at this revision.
  payload @6 :Data;          # CBOR: changed and removed entries.
  control @7 :List(Text);    # RPC addresses of the members of control.
  backends @8 :BackendList;  # Absent while the leader has no list.
}

struct NodeAck {
  revision @0 :UInt64;
  epoch @1 :UInt64;
  load @2 :LoadReport;
  reports @3 :Data;          # CBOR: usage, evidence and crash reports, if any.
}

interface NodeSink {
  update @0 (update :NodeUpdate) -> (ack :NodeAck);
}

struct CommandOutcome {
  error @0 :UInt16;          # acacianotch::errc; 0 is success.
  detail @1 :Text;
  revision @2 :UInt64;
  leader @3 :Text;           # Address of the leader, if known.
  payload @4 :Data;          # CBOR: command-specific result.
}

interface Admin {
  # Served by every process on its admin address.
  query @0 (what :Text, arguments :Text) -> (error :UInt16, json :Text);
}

struct JoinGrant {
  error @0 :UInt16;           # acacianotch::errc; 0 is success.
  detail @1 :Text;
  leader @2 :Text;            # Address of the leader, if known.
  group @3 :UInt64;
  replica @4 :UInt64;         # Id of the replica that joins.
  members @5 :List(Text);     # ID=IP:PORT of each member.
  removed @6 :Bool;           # The stated replica is no member any more.
}

struct BrokenAttempt {
  # An attempt whose backend server closed the connection as the answer began.
  server @0 :Text;
  parts @1 :List(UInt64);  # Of the prompt, in its order.
  begun @2 :Bool;
  request @3 :UInt64;  # Fingerprint of the whole request; 0 if unknown.
  ageMs @4 :UInt32;  # Time since then.
}

struct CrashReport {
  # See src/controller/crash_type.h.
  broken @0 :List(BrokenAttempt);
  answered @1 :List(UInt64);
  blocked @2 :List(UInt64);
  epoch @3 :UInt64;
}

struct CrashVerdicts {
  watched @0 :List(UInt64);
  blocked @1 :List(UInt64);
  probes @2 :List(UInt64);
  epoch @3 :UInt64;
}

struct ColdServer {
  server @0 :UInt32;    # Hash of its id.
  requests @1 :UInt32;  # In each second.
}

interface Control extends(Admin) {
  subscribe @0 (facts :NodeFacts, revision :UInt64, epoch :UInt64, sink :NodeSink) -> (leader :Text, control :List(Text));
  # Returns when the subscription ends; at once from a process that does not
  # lead. Leader and members are stated as far as that process knows them.
  execute @1 (command :Data) -> (outcome :CommandOutcome);
  # CBOR command; answered after it is committed and applied.
  replicate @2 (sender :Text, message :Data) -> ();
  # One consensus message; delivery is not confirmed.
  join @3 (address :Text, token :UInt64, replica :UInt64, leaving :Bool) -> (grant :JoinGrant);
  # Asks for membership. A replica without identity sends replica 0; a token,
  # new with each start, makes a repeated call harmless. With leaving, asks to
  # remove the stated replica, because its process ends.
  exchangeWork @4 (node :Text, servers :List(UInt32), work :List(UInt32), crashes :CrashReport, rate :UInt32, cold :List(ColdServer), token :UInt64) -> (accepted :Bool, servers :List(UInt32), work :List(UInt32), verdicts :CrashVerdicts, cold :List(ColdServer));
  # What a gateway has waiting at the backend servers that it uses, for what all
  # others have there. Servers are named by a hash, work is in thousandths of a
  # unit. Crashes are those that the gateway observed, for what all gateways do
  # about them. Not accepted by a process that does not lead. The gateway states
  # its requests per second at servers that may be cold, and the cold servers
  # that it knows with what each takes from all gateways; it gets its own share.
  # The token differs between processes with one name.
}
