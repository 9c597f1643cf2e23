// Structs of the inner protocol between entry daemons.
//
// Field names equal the attribute names of the message classes in
// _messages.py, because the encoder reads those classes directly. Field ids
// are never reused. Run ./generate after a change.

namespace py wire

enum VmRole {
  ENTRY = 1
  TARGET = 2
}

enum VmState {
  LIVE = 1
  LEAVING = 2
  GONE = 3
}

enum RequestKind {
  SUBMIT = 1
  STATUS = 2
  CANCEL = 3
}

struct Incarnation {
  1: required string zone
  2: required string address
  3: required string token
}

struct EncodedAnswer {
  1: required string kind
  2: required binary body
}

struct Hello {
  1: required string token
  2: required Incarnation sender
}

struct ForwardSubmission {
  1: required string submission_id
  2: required string caller
  3: required RequestKind kind
  4: required binary job
  5: required i64 deadline_ms
  6: required i32 hops
  7: required string traceparent
}

struct ForwardReply {
  1: required EncodedAnswer answer
}

struct VmInfo {
  1: required string vm_id
  2: required VmRole role
  3: required string zone
  4: required string address
  5: required string service_name  // "service" is a keyword of the IDL
  6: required VmState state
}

struct Mark {
  1: required string vm_id
  2: required bool drained
  3: required i64 counter
  4: required string author
}

struct Successor {
  1: required Incarnation owner
  2: required Incarnation holder
  3: required i64 counter
  4: required bool sealed
}

struct EntryInfo {
  1: required Incarnation incarnation
  2: required i64 heartbeat
  3: required double weight
  4: required bool draining
  5: required i64 configuration_version
}

struct Gossip {
  1: required string sender
  2: required list<EntryInfo> entries
  3: required binary fingerprint
  4: required list<VmInfo> vms
  5: required list<Mark> marks
  6: required list<Successor> successors
  7: required bool full
}

struct LoadReport {
  1: required string sender
  2: required i64 sequence
  3: required i64 backlog
  4: required map<string, i64> in_use
}

struct ConfigurationRequest {
}

struct ConfigurationReply {
  1: required i64 version
  2: required binary row
}

struct HandoverRecord {
  1: required i64 sequence
  2: required string caller
  3: required string digest
  4: required EncodedAnswer answer
}

struct HandoverChunk {
  1: required Incarnation owner
  2: required list<HandoverRecord> records
}

struct HandoverSeal {
  1: required Incarnation owner
  2: required i64 floor
  3: required i64 next_sequence
  4: required binary tag_key
  5: required i64 counter
  6: required bool complete
}

struct HandoverAck {
  1: required bool accepted
}

// Exactly one message field is set; its name is that of the class in lower
// case with underscores.
struct Envelope {
  1: required i64 request_id
  2: required bool is_reply
  10: optional Hello hello
  11: optional ForwardSubmission forward_submission
  12: optional ForwardReply forward_reply
  13: optional Gossip gossip
  14: optional LoadReport load_report
  15: optional ConfigurationRequest configuration_request
  16: optional ConfigurationReply configuration_reply
  17: optional HandoverChunk handover_chunk
  18: optional HandoverSeal handover_seal
  19: optional HandoverAck handover_ack
}
