namespace py goldcresthall.generated.peer

const i32 PROTOCOL_VERSION = 1

struct Greeting {
  1: required i32 protocol_version
  2: required string name
  3: required string incarnation
  4: required string failure_domain
}

struct StatusReport {
  1: required string name
  2: required string incarnation
  3: required i64 next_offset
  4: required i64 preset_offset
  5: required string state_digest
  6: required i64 digest_offset
}

struct RecordPage {
  1: required i64 first_offset
  2: required list<binary> entries
  3: required bool fresh
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

service Peer {
  Greeting greet(1: Greeting caller) throws (1: VersionMismatch mismatch)
  StatusReport report_status()
  HeatReport report_heat()
  RecordPage relay_records(1: i64 from_offset, 2: i32 limit, 3: i32 wait_ms)
    throws (1: RangeUnavailable unavailable)
}
