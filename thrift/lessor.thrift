namespace py goldcresthall.generated.lessor

struct RangeRow {
  1: required string service_name
  2: required i32 first_key
  3: required i32 last_key
  4: required string server
  5: required i64 started_ms
  6: required bool ready
}

struct RangeStart {
  1: required string service_name
  2: required i32 first_key
}

/* Against the view of base_revision; the whole view if that is -1. */
struct OwnershipChanges {
  1: required i64 term
  2: required i64 revision
  3: required i64 base_revision
  4: required list<RangeStart> removed
  5: required list<RangeRow> added
}

struct KeyCounts {
  1: required string service_name
  2: required list<i32> keys
}

struct ServerTimes {
  1: required string server
  2: required i64 started_ms
  3: required i32 count
  4: required i64 total_us
}

struct ServerIncarnation {
  1: required string name
  2: required i64 started_ms
}

/* Requested keys, each once, and the expected work of all requests for each. */
struct KeyWork {
  1: required string service_name
  2: required list<i32> keys
  3: required list<i32> work_ms
}

/* Responses to requests of a route and the sum of their work on a server of usual speed. */
struct RouteTimes {
  1: required string route
  2: required i32 count
  3: required i64 total_us
}

/* A server that lost a request, or to which a connect failed, and how long ago. */
struct FullServer {
  1: required string server
  2: required i64 started_ms
  3: required i32 age_ms
  /* Set if a connect failed. Not set by earlier releases. */
  4: optional bool has_failed_connect
  /* Failure domain of the instance that observed it. Not set by earlier releases. */
  5: optional string failure_domain
}

/* Failure domains whose servers must get nothing, as known up to a position in the store. */
struct EvacuatedDomains {
  1: required i64 position
  2: required list<string> failure_domains
}

struct Report {
  1: required string name
  2: required string incarnation
  3: required string host
  4: required i32 port
  5: required i64 known_term
  6: required i64 known_revision
  7: required list<KeyCounts> counts
  8: required list<ServerTimes> times
  9: required i64 configuration
  10: required i64 known_servers
  11: required i64 known_peers
  /* Version of the configuration that the reporter holds; not set by earlier releases. */
  12: optional i64 held_configuration
  /* Servers that said themselves that they are draining; not set by earlier releases. */
  13: optional list<ServerIncarnation> draining_servers
  /* Not set by earlier releases. */
  14: optional list<KeyWork> key_work
  15: optional list<RouteTimes> route_times
  16: optional list<FullServer> full_servers
  /* Revision of the work table that the reporter has from this lessor. */
  17: optional i64 known_work
  /* The latest state that the reporter knows; not set by earlier releases. */
  18: optional EvacuatedDomains evacuated
}

struct ServerRow {
  1: required string name
  2: required i64 started_ms
  3: required string service_name
  4: required string host
  5: required i32 port
  6: required string failure_domain
  7: required i32 slots
  8: required bool draining
  9: required i32 slow_for_ms
}

/* Against the list of base_revision; the whole list if that is -1. */
struct ServerChanges {
  1: required i64 revision
  2: required i64 base_revision
  3: required list<string> removed
  4: required list<ServerRow> added
}

struct PeerRow {
  1: required string name
  2: required string host
  3: required i32 port
}

struct PeerList {
  1: required i64 revision
  2: required list<PeerRow> rows
}

/* The operator's configuration as it is stored, compressed by zlib. */
struct ConfigurationDocument {
  1: required i64 version
  2: required binary content
}

struct LessorAddress {
  1: required string name
  2: required string incarnation
  3: required string host
  4: required i32 port
}

/* Time that work takes at a server, in thousandths of the average over its service. */
struct ServerSlowness {
  1: required string server
  2: required i64 started_ms
  3: required i32 permille
}

/* Mean work of a route's requests on a server of usual speed. */
struct RouteWork {
  1: required string route
  2: required i64 mean_us
}

struct WorkTable {
  1: required i64 revision
  2: required list<ServerSlowness> servers
  3: required list<RouteWork> routes
}

/* Share of the requests for a range of keys that its owner can serve in time. */
struct RangeAdmission {
  1: required string service_name
  2: required i32 first_key
  3: required i32 last_key
  4: required i32 admitted_permille
}

struct ReportReply {
  1: required bool is_lessor
  2: required bool has_store
  3: optional PeerList peers
  4: optional OwnershipChanges owners
  5: required i64 configuration
  6: required bool has_fresh_servers
  7: optional ServerChanges servers
  8: optional ConfigurationDocument document
  /* The lessor that took over from the responding instance; not set by earlier releases. */
  9: optional LessorAddress successor
  /* Position in the store up to which the servers are known; not set by earlier releases. */
  10: optional i64 servers_position
  /* Age of the read behind the servers when the report arrived; negative if it began later. */
  11: optional i64 servers_age_ms
  /* Not set by earlier releases. */
  12: optional WorkTable work
  13: optional EvacuatedDomains evacuated
  14: optional list<FullServer> full_servers
  15: optional list<RangeAdmission> admissions
}

struct Presence {
  1: required string name
  2: required string incarnation
  3: required i64 heard_lessor_ms
}

service Lessor {
  ReportReply report(1: Report report)
  Presence ask_presence()
  bool stand_down(1: i64 term, 2: LessorAddress successor)
}
