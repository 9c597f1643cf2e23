// Structs of the protocol between entry daemons.
//
// Field names must equal the attribute names of the message classes in
// _messages.py, because the encoder reads those classes directly. The id of a
// removed field must not be reused. Run ./generate after a change.

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

struct Resources {
  1: required i64 cpu_millis
  2: required i64 memory_mb
  3: required i64 gpus
}

struct StepSpec {
  1: required i64 count
  2: required Resources need
  3: required i64 estimate_ms
  4: required list<i64> after
  5: required string label
  6: required string rack
  7: required i64 spread_limit
}

struct JobSpec {
  1: required string payload
  2: required list<StepSpec> steps
}

struct QueuePolicy {
  1: required string name
  2: required string service_name
  3: required i64 priority
  4: required i64 max_attempts
  5: required double stretch
  6: required i64 allowance_ms
}

struct Offer {
  1: required string job_id
  2: required string entry
  3: required QueuePolicy policy
  4: required JobSpec spec
  5: required double waited
  6: required double remaining
  7: required bool again
  8: required list<string> done
  9: required i64 fence
  10: required list<string> placed
  11: required bool placed_is_known
  12: required double answered_at
  13: required string process
  14: required i64 heartbeat_number
  15: optional i64 configuration_version
}

enum OutcomeKind {
  COMPLETED = 1
  FAILED = 2
  REFUSED = 3
  MOVED = 4
  LOST = 5
}

struct Outcome {
  1: required OutcomeKind kind
  2: required string reason
  3: required i64 retry_after_ms
  4: required list<string> done
  5: required list<string> placed
}

enum LossState {
  SILENT = 1
  CRASHED = 2
  RETURNED = 3
}

struct TargetLoss {
  1: required string target_id
  2: required i64 incarnation
  3: required list<string> tasks
  4: required LossState state
  5: optional list<string> started
}

struct TargetLossReport {
  1: required list<TargetLoss> losses
}

struct WithdrawJob {
  1: required string job_id
  2: required string entry
}

enum CancelResult {
  CANCELED = 1
  ENDED = 2
  UNKNOWN = 3
  UNDECIDED = 4
}

struct CancelJob {
  1: required string job_id
}

struct CancelJobReply {
  1: required CancelResult result
}

struct Member {
  1: required string name
  2: required string zone
  3: required string address
  4: required double cores
  5: required string token
}

struct Leader {
  1: required i64 term
  2: required Member member
  3: required bool is_partial
}

struct EvacuatedZone {
  1: required string zone
  2: required i64 row_version
}

struct EvacuationReport {
  1: required i64 as_of
  2: required list<EvacuatedZone> zones
}

struct Heartbeat {
  1: required Member member
  2: required i64 fence
  3: required i64 members_digest
  4: required double answered_at
  5: required list<string> unanswered_jobs
  6: required i64 number
  7: optional list<string> cancelled_jobs
  40: optional i64 evacuations_digest
  41: optional EvacuationReport evacuations
}

struct HeartbeatReply {
  1: required i64 term
  2: required bool leading
  3: required bool leaving
  4: required list<Member> members
  5: required map<string, i64> pending
  6: required i64 configuration_version
  7: required i64 members_digest
  8: required double sent_at
  9: required i64 targets_version
  10: required bool hears_site
  11: required list<string> unanswered_jobs
  12: optional list<string> cancelled_jobs
  13: optional bool accepts_cancellations
  40: optional i64 evacuations_digest
  41: optional EvacuationReport evacuations
}

struct LeaderQuery {
  1: required Member member
  2: required i64 term
}

struct Opinion {
  1: required Member member
  2: required i64 term
  3: required bool can_lead
  4: required bool reaches_leader
  5: required Leader leader
}

struct LeaderAnnounced {
  1: required Leader leader
}

// Exactly one of the message fields is set. The name of each is the name of
// its struct in snake case.
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
  20: optional Offer offer
  21: optional Outcome outcome
  22: optional WithdrawJob withdraw_job
  23: optional Heartbeat heartbeat
  24: optional HeartbeatReply heartbeat_reply
  25: optional LeaderQuery leader_query
  26: optional Opinion opinion
  27: optional LeaderAnnounced leader_announced
  28: optional TargetLossReport target_loss_report
  29: optional CancelJob cancel_job
  30: optional CancelJobReply cancel_job_reply
}
