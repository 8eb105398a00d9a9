// Messages between the processes of one deployment.
//
// The fields deadline_s, expires_s and dispatched_s hold durations relative to the time of sending,
// since processes do not share a clock. Exactly one field of PeerMessage is set.

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

struct GrantNotice {
  1: string service_name
  2: Grant grant
}

struct RefusalNotice {
  1: string service_name
  2: Refusal refusal
}

struct SchedulerAck {
  1: string service_name
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

struct PeerInfo {
  1: string instance
  2: string incarnation
  3: i64 generation
  4: string address
  5: string callers_address
  6: string zone
  7: string region
  8: list<string> roles
  9: string operators_address
  10: double strength
}

struct PeerState {
  1: PeerInfo info
  2: i16 status
  3: i64 sequence
}

struct Heartbeat {
  1: PeerState sender
  2: i64 heard
  3: i64 digest
  4: bool ready
  5: bool wants_view
  6: bool is_view
  7: list<PeerState> states
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
}

struct PoisonVerdict {
  1: string fingerprint
  2: string state
  3: i32 crashes
}

struct PoisonNotice {
  1: string service_name
  2: list<PoisonVerdict> verdicts
}

struct ClaimQuery {
  1: string claimant
  2: string key
  3: string token
}

struct ClaimQuestion {
  1: i64 query_id
  2: ClaimQuery query
}

struct ClaimReply {
  1: i64 query_id
  2: string state
}

struct UpstreamNotice {
  1: string upstream
  2: string news
}

struct PromptPart {
  1: string part
  2: i32 tokens
}

struct PlacementRequest {
  1: string node
  2: string zone
  3: i64 number
  4: string service_name
  5: i16 tier
  6: i32 prompt_tokens
  7: double expected_events
  8: double max_events
  9: double waited_s
  10: double objective_s
  11: double time_left_s
  12: bool may_repeat
  13: bool is_repeat
  14: list<string> excluded
  15: string account
  16: double cost
  17: optional string version
  40: optional string route
  71: optional string subject
  72: optional double size
  73: optional string caller
  60: optional double max_pause_s
  61: optional list<PromptPart> prompt_parts
}

struct PlacementReply {
  1: i64 number
  2: string state
  3: string upstream
  4: i64 started_ms
  5: double expected_s
  6: double gap_s
  7: double miss_probability
  8: i64 work_tokens
  9: i32 running
  10: double pace_ms
  11: double failure_rate
  12: string reason
  13: double retry_after_s
  60: optional i32 held_tokens
}

struct Report {
  1: i64 number
  2: string service_name
  3: string upstream
  4: double first_event_s
  5: double gap_ms
  6: double failure
  7: bool ended
  8: bool unreachable
  9: double pause_s
  10: optional double limit_per_s
  11: optional bool is_brittle
  40: optional bool is_excused
  60: optional i32 stated_running
  61: optional i32 stated_waiting
  62: optional double slowdown
  63: optional double pause_ms
  50: optional bool is_rejected
  51: optional bool is_handed_over
}

struct TicketWithdrawal {
  1: string node
  2: i64 number
  3: string service_name
}

struct RunningTicket {
  1: i64 number
  2: string service_name
  3: string upstream
  4: i32 prompt_tokens
  5: i64 work_tokens
  6: double age_s
  7: bool has_first_event
  50: optional bool is_own_choice
}

struct LoadReports {
  1: string node
  2: list<Report> items
  50: list<RunningTicket> placed
}

struct AccountHistory {
  1: string account
  2: list<double> parts
}

struct LimitedUpstream {
  1: string service_name
  2: string upstream
  3: i64 started_ms
  4: double limit_per_s
}

struct BlockedPart {
  1: string part
  2: double age_s
}

struct ReturnPromise {
  1: string service_name
  2: string caller
  3: double due_in_s
  4: double first_age_s
}

struct LoadRefresh {
  1: string node
  2: list<RunningTicket> running
  3: list<AccountHistory> accounts
  4: list<AccountHistory> told
  5: double told_age_s
  6: list<BlockedPart> blocked_parts
  7: list<LimitedUpstream> limited
  70: list<ReturnPromise> promised
  50: optional bool is_partial
}

struct UpstreamLoad {
  1: string upstream
  2: i32 running
  3: i64 backlog_tokens
  4: double pace_ms
  5: double pace_weight
  6: double gap_ms
  7: double gap_weight
  8: double failures
  9: double results
  10: optional double limit_per_s
  60: optional double slowdown
  61: optional double slowdown_age_s
  62: optional double pause_ms
  63: optional double pause_weight
  50: optional i32 granted
}

struct FleetDigest {
  1: list<UpstreamLoad> upstreams
  2: list<AccountHistory> accounts
  3: list<BlockedPart> blocked_parts
}

struct ChangedRow {
  1: string key
  2: i64 version
  3: binary value
  4: bool removed
}

struct TableChanges {
  1: string table_name
  2: i64 base
  3: i64 version
  4: double age_s
  5: list<ChangedRow> rows
  6: bool is_partial
  7: bool after_outage
  8: i64 era
}

struct ConfigRelay {
  1: binary value
}

struct LeavingUpstream {
  1: string upstream
  2: i64 started_ms
}

struct LeavingNotice {
  1: list<LeavingUpstream> leaving
  2: list<LeavingUpstream> departed
}

struct CrashedPrompt {
  1: string request
  2: list<string> parts
}

struct CrashNotice {
  1: string upstream
  2: list<string> contents
  3: i64 started_ms
  4: list<CrashedPrompt> prompts
  5: optional list<string> begun
  6: optional double age_s
}

struct ClearedNotice {
  1: string content
  2: list<string> parts
}

struct StreamGroup {
  1: string service_name
  2: string version
  3: list<string> streams
}

struct VersionSighting {
  1: string service_name
  2: string version
  3: double age_s
}

struct StreamQuestion {
  1: string stream
}

struct MissedNoticesQuestion {
}

struct StreamNotice {
  1: list<StreamGroup> groups
  2: list<VersionSighting> gone
  3: double complete_for_s
}

struct PathQuestion {
  1: i64 number
  2: string upstream
  3: i64 started_ms
}

struct PathReply {
  1: i64 number
  2: string state
}

struct RelayHeader {
  1: string name
  2: string value
}

struct RelayRequest {
  1: i64 number
  2: string upstream
  3: i64 started_ms
  4: string method
  5: string path
  6: list<RelayHeader> headers
  7: binary body
  8: double head_timeout_s
  9: double read_timeout_s
  10: bool needs_new_connection
}

struct RelayHead {
  1: i64 number
  2: i32 status
  3: list<RelayHeader> headers
  4: bool is_reused
}

struct RelayPart {
  1: i64 number
  2: i64 index
  3: binary data
}

struct RelayEnd {
  1: i64 number
  2: i64 parts
  3: string fault
  4: string state
  5: bool is_reused
  6: bool ended_with_connection
}

struct RelayCancel {
  1: i64 number
}

struct RolloutView {
  1: string service_name
  2: string to
  3: double duration_s
  4: i64 order_version
  5: i64 order_era
  6: double age_s
  7: list<string> replaced
  8: string state
  9: string verdict
  10: i64 requests
  11: i64 exposed
  12: double ordered_at_s
  13: double confirmed_age_s
}

struct RolloutNotice {
  1: list<RolloutView> rollouts
}

struct PeerMessage {
  1: optional Submit submit
  2: optional Withdraw withdraw
  3: optional GrantNotice grant
  4: optional RefusalNotice refusal
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
  15: optional SchedulerAck scheduler_ack
  16: optional UpstreamNotice upstream_notice
  17: optional ClaimQuestion claim_question
  18: optional ClaimReply claim_reply
  19: optional PlacementRequest place_request
  20: optional PlacementReply place_reply
  21: optional LoadReports load_reports
  22: optional LoadRefresh load_refresh
  23: optional FleetDigest fleet_digest
  24: optional TableChanges table_news
  25: optional CrashNotice crash_notice
  26: optional ClearedNotice cleared_notice
  27: optional TicketWithdrawal ticket_withdrawal
  28: optional LeavingNotice leaving_notice
  29: optional ConfigRelay config_relay
  30: optional StreamNotice stream_notice
  31: optional StreamQuestion stream_question
  32: optional PathQuestion path_question
  33: optional PathReply path_reply
  34: optional RelayRequest relay_request
  35: optional RelayHead relay_head
  36: optional RelayPart relay_part
  37: optional RelayEnd relay_end
  38: optional RelayCancel relay_cancel
  50: optional RolloutNotice rollout_notice
  51: optional MissedNoticesQuestion missed_notices_question
}

struct Hello {
  1: string instance
  2: string incarnation
  3: binary nonce
  4: optional list<i16> understands
  5: optional bool confirms
}
