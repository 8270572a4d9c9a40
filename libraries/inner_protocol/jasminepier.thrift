// Messages between jasminepier's processes. Times are milliseconds; durations carry their unit in
// the name. Regenerate with meta/generate_thrift.sh; the generated code is committed.
namespace cpp jasminepier.inner_protocol

enum member_state { alive = 0, suspect = 1, leaving = 2, dead = 3 }

// Gossiped record of one node. The record with the higher incarnation wins; at equal incarnation
// the record with the higher state wins.
struct member_record {
  1: string node_id,
  2: i64 incarnation,
  3: member_state state,
  4: string zone,
  5: string host,
  6: i32 gossip_port,
  7: i32 control_port,
  8: i32 entry_port,
  9: i32 entry_peer_port,
  10: i64 applied_revision,
  11: bool ready,
  12: string region,
}

// What a server last reported, condensed by the node that observes it.
struct load_digest {
  1: string server_id,
  2: string instance,
  3: i64 sequence,
  4: i32 state,          // 0 cold, 1 warm, 2 leaving, 3 unreachable
  5: i32 running,
  6: i32 waiting,
  7: i64 kv_used_tokens,
  8: i64 kv_capacity_tokens,
  9: i32 cold_capacity,
  10: i32 max_running,
  11: i64 preemptions,
  12: list<string> models,
  13: i32 age_milliseconds,
  14: string role,
  // Hash of instance, models and role; 0 if the server did not respond. A digest that has a hash
  // but lacks an instance leaves out these three; the receiver keeps those that it stored with this
  // hash.
  15: i32 description,
}

// The crash of one server, with the fingerprint of a request that was running there or of a part of
// its prompt.
struct crash_record {
  1: i64 fingerprint,
  2: string server_id,
  3: string instance,
  4: i32 age_seconds,
  5: optional i32 age_milliseconds,
}

// The sender has observed that a server began to answer a request with this prompt part.
struct answered_part {
  1: i64 part,
  2: i32 age_milliseconds,
}

// The sender has sent a request with this rejected prompt part to learn whether it still crashes
// servers.
struct tried_part {
  1: i64 part,
  2: i32 age_milliseconds,
}

enum datagram_kind { ping = 0, acknowledgement = 1, ping_request = 2, notice = 3 }

struct gossip_datagram {
  1: datagram_kind kind,
  2: string sender,
  3: i64 sequence,
  4: string target,               // ping_request: the node to ping; otherwise the recipient
  5: list<member_record> members,
  6: i64 configuration_revision,
  7: list<load_digest> loads,
  8: list<crash_record> crashes,
  9: i64 sender_incarnation,
  10: i64 members_hash,           // equal on nodes with the same members
}

struct configuration_object {
  1: string kind,
  2: string name,
  3: i64 version,
  4: string value_json,
  5: bool deleted,
  // zlib; replaces value_json
  6: optional binary compressed_value,
}

struct configuration_page {
  1: i64 revision,
  2: list<configuration_object> objects,
}

// What the entry process tells its control process periodically.
struct entry_report {
  1: i64 applied_revision,
  2: bool leaving,
  3: i64 known_revision,
  4: i64 known_load_sequence,
  5: list<crash_record> crashes,
  6: i32 running_streams,
  7: bool ready,
}

// Response of the control process.
struct control_update {
  1: i64 revision,
  2: list<configuration_object> objects,     // changed since known_revision
  3: list<member_record> members,
  4: list<load_digest> loads,                // changed since known_load_sequence
  5: i64 load_sequence,
  6: list<crash_record> crashes,
  7: bool isolated,
  8: bool ready,
}

struct node_status_reply {
  1: string node_id,
  2: i64 configuration_revision,
  3: i64 applied_revision,
  4: bool ready,
  5: bool isolated,
  6: list<member_record> members,
  7: list<load_digest> loads,
  8: bool placement_holder,
  9: i64 fencing_number,
  10: bool watching_platform,
}

service control_node {
  control_update exchange(1: entry_report report),
  configuration_page pull_configuration(1: i64 since_revision),
  node_status_reply node_status(),
  // Both sides merge each other's records.
  list<member_record> exchange_members(1: list<member_record> members),
}

enum claim_progress { unknown_claim = 0, dispatched = 1, abandoned = 2, finished = 3, preparing = 4 }

// Between nodes on the platform: shares what the store returned to one of them.
service node_peer {
  // Leaves out a configuration that is not newer than held_configuration. 0 asks for every object.
  configuration_page pull_objects(1: i64 since_revision, 2: i64 held_configuration,
                                  3: bool accepts_compressed),
}

service entry_node {
  // Asks the claiming node whether it may still dispatch. By returning abandoned, this node
  // promises that it never dispatches the claim with this nonce.
  claim_progress claim_status(1: string claim_name, 2: string nonce),
}

// One node's use of one server. Counts of outcomes decay and are in hundredths.
struct server_use {
  1: i32 server,                  // short hash of the server's id
  2: i32 running,
  3: i32 reserved_tokens,
  4: i32 unread_prompt_tokens,
  5: i32 recent_attempts,
  6: i32 recent_failures,
  7: bool unreachable,
  8: bool leaving,                // drains, or was recently removed from the list
  // Which start of the server leaves, since it may start again under its id: the store's revision
  // that shows it, counted back from the report's server_revision, and only if the server said so
  // itself, the start of its process (Unix milliseconds). A report of an earlier version lacks
  // them, and its `leaving` is ignored.
  15: optional i64 leaving_revision,
  16: optional i64 leaving_started,
  17: optional bool leaving_announced,
  9: i32 movable_runs,            // generations that are handed over when the server leaves
  // The server's limit on the requests of all nodes, as it last stated it to this node, in
  // thousandths of a request per second; negative if it no longer states one. Left out if another
  // node has heard of it later.
  10: optional i32 rate_limit,
  11: optional i32 rate_limit_age_milliseconds,
  // How long work takes on the server's VM, in percent of the usual time, as the server last stated
  // it to this node. Left out if it states none.
  12: optional i32 pace_percent,
  13: optional i32 pace_age_milliseconds,
  // Running streams whose callers accept only a bounded gap between events.
  14: optional i32 gap_bounded_streams,
}

// What one node, or one zone, has seen of the servers of one version since a roll-out began, on one
// route. The counts only grow, so the latest report of each source is enough.
struct version_outcomes {
  1: i32 service_hash,            // short hash of the service's name
  2: i64 order_revision,          // identifies the roll-out's order, as long as it exists
  3: bool new_version,            // the version that the order names; otherwise all others
  4: i32 route_hash,              // short hash of the route's name
  5: i32 requests,
  6: i32 failures,
  7: i32 slow_responses,
  8: optional i32 server_group,       // servers of the new version are counted in a few groups
  9: optional i32 sent,               // requests, whatever became of them
  // Only in the first entry of an order.
  10: optional i32 age_milliseconds,  // time since the order
  11: optional bool stopped,          // the sender no longer selects the new version
}

// Requests of one service that wait at a node for room.
struct waiting_work {
  1: i32 service_hash,            // short hash of the service's name
  2: i32 rank,                    // position in the order of admission; 0 is admitted first
  3: i32 requests,
  4: i64 tokens,                  // engine memory that they need
}

// A stream whose later events may only come from servers of the version that began it.
struct stream_origin {
  1: i64 stream,                  // hash of the id of the request that brought its first event
  2: i32 version,                 // short hash of the service's name and the version
}

// Published by each node on the platform for its peers several times a second.
struct node_report {
  1: string node,
  2: i64 started,                 // start of the process, Unix milliseconds
  3: i64 sequence,
  4: string zone,
  5: string caller_address,
  6: i32 peer_port,
  7: bool ready,
  8: bool stopping,
  9: i64 store_revision,          // newest of the node's copies of the store's objects
  15: i64 configuration_revision, // the larger of the next two, for nodes of earlier versions
  22: optional i64 newest_configuration, // revision of its copy of the configuration
  23: optional i64 newest_evacuation,      // newest of its copies of evacuations
  24: optional i64 evacuation_digest,      // equal on nodes with the same evacuations
  26: optional i64 server_revision, // newest of its copies of servers
  10: bool store_reached,         // the node's own copies of the store's objects are current
  13: i64 server_digest,          // equal on nodes with the same entries of servers
  14: list<configuration_object> news,  // objects that the node has just read from the store
  11: list<server_use> uses,
  12: list<crash_record> crashes,
  25: optional list<answered_part> answered_parts,
  27: optional list<tried_part> tried_parts,
  // Only in reports to other zones: one part of the loads of all nodes of the zone.
  16: i32 summary_part,
  17: i32 summary_parts,          // 0 if the report is not a summary
  18: i32 zone_nodes,             // live nodes of the zone
  19: list<string> zone_addresses, // a few ready nodes of the zone, for callers
  21: bool follows_store,         // watches the store; store_reached then tells whether it responds
  28: optional list<version_outcomes> versions,
  29: optional list<waiting_work> waiting,
  30: optional list<stream_origin> stream_origins,
  20: bool relay,                 // the receiver forwards the report to the nodes of its zone
}
