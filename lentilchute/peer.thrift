// Messages between the processes of one deployment.
//
// Fields named deadline_s, expires_s and dispatched_s hold durations relative to the moment of
// sending, since processes share no clock. PeerMessage holds exactly one of its fields.

struct Ticket {
  1: string request_id
  2: i32 attempt
  3: string entry
  4: string zone
  5: string service_name
  6: i16 tier
  7: string client_account
  8: double deadline_s
  9: i32 prompt_tokens
  10: i32 max_output_tokens
  11: string model
  12: string fingerprint
  13: binary prefix_hashes
  14: bool idempotent
  15: list<string> excluded
}

struct InFlight {
  1: Ticket ticket
  2: string upstream
  3: double dispatched_s
  4: i32 output_tokens
}

struct Submit {
  1: Ticket ticket
}

struct Withdraw {
  1: string service_name
  2: string request_id
}

struct Grant {
  1: string request_id
  2: i32 attempt
  3: string entry
  4: string upstream
  5: double expires_s
  6: string reason
}

struct Refusal {
  1: string request_id
  2: i32 attempt
  3: string entry
  4: string reason
  5: double retry_after_s
}

struct Dispatched {
  1: string service_name
  2: string request_id
  3: i32 attempt
  4: string upstream
}

struct ProgressLine {
  1: string request_id
  2: i32 output_tokens
}

struct Progress {
  1: string service_name
  2: list<ProgressLine> lines
}

struct Ended {
  1: string service_name
  2: string request_id
  3: string end_state
  4: i32 cached_prompt_tokens
}

struct Declined {
  1: string service_name
  2: string request_id
  3: i32 attempt
}

struct Refresh {
  1: string service_name
  2: string entry
  3: list<Ticket> waiting
  4: list<InFlight> in_flight
}

struct RefreshRequest {
  1: string service_name
}

struct PeerState {
  1: string instance
  2: string incarnation
  3: string zone
  4: string peer_address
  5: string caller_address
  6: i64 sequence
  7: string state
}

struct Heartbeat {
  1: PeerState sender
  2: i64 config_digest
  3: list<PeerState> others
}

struct ConfigNotice {
  1: string service_name
  2: i64 version
  3: string text
}

struct ServiceVersion {
  1: string service_name
  2: i64 version
}

struct ConfigVersions {
  1: list<ServiceVersion> versions
  2: bool wants_reply
}

struct PoisonNotice {
  1: string service_name
  2: string fingerprint
  3: string state
  4: i32 crashes
}

struct ClaimQuery {
  1: i64 query_id
  2: string asker
  3: string claimant
  4: string account
  5: string key
  6: string body_digest
}

struct ClaimReply {
  1: i64 query_id
  2: string state
  3: i32 status
  4: list<list<string>> headers
  5: binary body
}

struct UpstreamNotice {
  1: string upstream
  2: string state
}

struct StatusRequest {
  1: i64 query_id
  2: string asker
}

struct StatusReply {
  1: i64 query_id
  2: string body
}

struct PeerMessage {
  1: optional Submit submit
  2: optional Withdraw withdraw
  3: optional Grant grant
  4: optional Refusal refusal
  5: optional Dispatched dispatched
  6: optional Progress progress
  7: optional Ended ended
  8: optional Declined declined
  9: optional Refresh refresh
  10: optional RefreshRequest refresh_request
  11: optional Heartbeat heartbeat
  12: optional ConfigNotice config_notice
  13: optional ConfigVersions config_versions
  14: optional PoisonNotice poison_notice
  15: optional ClaimQuery claim_query
  16: optional ClaimReply claim_reply
  17: optional UpstreamNotice upstream_notice
  18: optional StatusRequest status_request
  19: optional StatusReply status_reply
}

struct Hello {
  1: string instance
  2: string incarnation
  3: binary nonce
}
