namespace py goldcresthall.generated.peer

const i32 PROTOCOL_VERSION = 2

struct Greeting {
  1: required i32 protocol_version
  2: required string name
  3: required string incarnation
  4: required string failure_domain
}

struct UptakeRow {
  1: required string name
  2: required string incarnation
  3: required i64 preset_offset
  4: required i32 age_ms
}

struct StatusReport {
  1: required string name
  2: required string incarnation
  3: required i64 next_offset
  4: required i64 preset_offset
  5: required string chain
  6: required bool usable
  7: required list<UptakeRow> uptake
}

struct RecordPage {
  1: required i64 first_offset
  2: required list<binary> entries
  3: required bool fresh
  4: required i64 next_offset
  5: required bool usable
}

struct StatePiece {
  1: required i64 next_offset
  2: required i32 index
  3: required i32 count
  4: required string content
  5: required string content_digest
  6: required string state_digest
}

struct ListedInstance {
  1: required string name
  2: required string failure_domain
  3: required string host
  4: required i32 port
  5: required bool live
}

struct PartitionHeat {
  1: required i32 number
  2: required i64 requests_per_1000_s
}

struct KeyHeat {
  1: required string key
  2: required i32 partition
  3: required i64 requests_per_1000_s
  4: required i64 error_per_1000_s
}

struct ServiceHeat {
  1: required string name
  2: required i64 requests_per_1000_s
  3: required list<PartitionHeat> partitions
  4: required list<KeyHeat> keys
}

struct HeatReport {
  1: required list<ServiceHeat> services
}

exception VersionMismatch {
  1: required i32 expected
  2: required i32 received
}

exception RangeUnavailable {
  1: required i64 begin_offset
}

exception StateUnavailable {
  1: required string condition
}

service Peer {
  Greeting greet(1: Greeting caller) throws (1: VersionMismatch mismatch)
  StatusReport report_status()
  HeatReport report_heat()
  RecordPage relay_records(1: i64 from_offset, 2: i32 limit, 3: i32 wait_ms)
    throws (1: RangeUnavailable unavailable)
  StatePiece fetch_state(1: i64 next_offset, 2: i32 index)
    throws (1: StateUnavailable unavailable)
  list<ListedInstance> list_instances()
}
