/**
 * The messages between the instances of a fleet. Each frame holds one Envelope: a four-byte
 * big-endian length, followed by the struct in Thrift's binary protocol. Exactly one message field
 * of the Envelope is set. Every field has a default, so that an older or newer instance can read
 * the fields it knows. Field ids are never reused.
 */
namespace py rhubarbbend.schema.peers

/** The load of one target, as its owner counts it. */
struct TargetLoad {
  1: string target = "",
  2: string boot_id = "",
  3: i32 load = 0,
  4: i32 limit = 0,
  5: bool ready = false,
  6: bool cold = false,
  7: string service_name = "",
  8: list<string> models = [],
}

/** The total load over the targets of one service in one availability zone. */
struct ServiceSum {
  1: string service_name = "",
  2: i32 load = 0,
  3: i32 targets = 0,
}

/** Sent once a second to each instance of the same availability zone. */
struct Heartbeat {
  1: string instance = "",
  2: string zone = "",
  3: i64 incarnation = 0,
  4: bool leaving = false,
  5: i64 config_version = 0,
  6: list<TargetLoad> loads = [],
  7: string host = "",
  8: i32 peer_port = 0,
  /** Targets that are marked as leaving in the sender's copy of the platform's list. */
  9: list<string> leaving_targets = [],
}

/** Requests the load totals of its availability zone from an instance in another one. Answered with
 * ZoneReply. */
struct ZoneQuery {
  1: string instance = "",
  2: i64 config_version = 0,
  3: bool leaving = false,
}

struct ZoneReply {
  1: string instance = "",
  2: string zone = "",
  3: i64 config_version = 0,
  4: list<ServiceSum> sums = [],
  5: list<CrashCount> crashes = [],
  6: bool leaving = false,
  7: list<string> leaving_targets = [],
}

/** The load of one target that the sender owns. */
struct LoadFigure {
  1: string target = "",
  2: i32 load = 0,
}

/** The fields that all slot messages carry; not sent by itself. */
struct SlotMessage {
  1: string target = "",
  2: list<LoadFigure> figures = [],
  3: list<ServiceSum> sums = [],
}

/** Requests a slot from the owner of a target. The request waits at most max_wait seconds in the
 * owner's queue. */
struct SlotRequest {
  1: string attempt = "",
  2: string instance = "",
  3: i64 incarnation = 0,
  4: string target = "",
  5: string account = "",
  6: double max_wait = 0,
  7: bool suspect = false,
  8: string service_name = "",
  9: i32 weight = 1,
  10: string model = "",
  20: list<LoadFigure> figures = [],
  21: list<ServiceSum> sums = [],
}

/** The reply to a SlotRequest. `refusal` is empty if the slot is granted. */
struct SlotReply {
  1: string attempt = "",
  2: string target = "",
  3: string refusal = "",
  4: string boot_id = "",
  5: double retry_after = 0,
  6: string owner = "",
  7: i32 load = 0,
  8: i32 limit = 0,
  20: list<LoadFigure> figures = [],
  21: list<ServiceSum> sums = [],
}

/** Releases a slot, or withdraws a request for one. */
struct SlotRelease {
  1: string attempt = "",
  2: string target = "",
  3: bool completed = false,
  4: double first_byte = 0,
  5: double total = 0,
  6: bool sent = false,
  7: bool failed = false,
  8: i32 tokens = 0,
  20: list<LoadFigure> figures = [],
  21: list<ServiceSum> sums = [],
}

/** One running attempt that holds a slot. */
struct HeldSlot {
  1: string attempt = "",
  2: string account = "",
  3: bool suspect = false,
}

/** Lists every slot that an instance holds at a target. Sent to the target's owner, which may have
 * changed. */
struct SlotRenewal {
  1: string instance = "",
  2: i64 incarnation = 0,
  3: string target = "",
  4: list<HeldSlot> slots = [],
}

/** Sent by the former owner of a target, which no longer grants slots, to transfer the list of held
 * slots to its successor. */
struct Handover {
  1: string target = "",
  2: list<SlotRenewal> holders = [],
  3: string boot_id = "",
  4: i32 work_done = 0,
}

/** Requests the state of an attempt from the instance that holds the claim. Answered with
 * ClaimReply. */
struct ClaimQuery {
  1: string attempt = "",
  2: string key = "",
  3: string instance = "",
}

/** `state` is never, running, done or unknown. The outcome is set with done, and age with never. */
struct ClaimReply {
  1: string attempt = "",
  2: string key = "",
  3: string state = "",
  4: i32 status = 0,
  5: string content_type = "",
  6: binary body = "",
  7: bool kept = true,
  8: double age = 0,
}

/** Requests that the instance that issued a reserved key runs a command under it. Answered with
 * ReservedReply. */
struct ReservedRun {
  1: string request = "",
  2: string instance = "",
  3: string key = "",
  4: string account = "",
  5: string service_name = "",
  6: string method = "",
  7: string path = "",
  8: string content_type = "",
  9: binary body = "",
  10: string digest = "",
  11: double time_left = 0,
  12: double arrived = 0,
}

struct ReservedReply {
  1: string request = "",
  2: string error = "",
  3: string verdict = "",
  4: i32 status = 0,
  5: string content_type = "",
  6: binary body = "",
  7: bool replayed = false,
  8: double at = 0,
}

/** How many times a request with this digest was running when its target crashed. */
struct CrashCount {
  1: string digest = "",
  2: i32 count = 0,
  3: double age = 0,
  4: string last_target = "",
  5: double ran = 0,
  6: list<string> follows = [],
  7: list<string> parts = [],
  8: list<string> accounts = [],
}

/** A request that holds this cause of crashes, a digest or a part, began this long ago and went on. */
struct CrashCleared {
  1: string cause = "",
  2: double age = 0,
}

struct CrashNotice {
  1: list<CrashCount> crashes = [],
  2: list<CrashCleared> cleared = [],
}

/** Asks the coordinator of a cause of crashes for its trial. Answered with TrialReply. */
struct TrialRequest {
  1: string cause = "",
}

/** `wait` is 0 if the receiver has the trial, else after how many seconds to ask again. */
struct TrialReply {
  1: string cause = "",
  2: double wait = 0,
}

/** The sender's trial of a cause has ended, with or without its target. */
struct TrialEnd {
  1: string cause = "",
  2: bool was_lost = false,
}

/** One declaration of the configuration, as of a version. An empty value means it was removed. */
struct ConfigItem {
  1: string kind = "",
  2: string name = "",
  3: i64 version = 0,
  4: binary value = "",
}

/** Requests the items changed after a version. Answered with ConfigReply, page by page. The cursor
 * (from_version, from_kind, from_name) is that of the last item received, or (after + 1, "", "")
 * for the first page. */
struct ConfigQuery {
  1: string instance = "",
  2: i64 after = 0,
  3: i64 from_version = 0,
  4: string from_kind = "",
  5: string from_name = "",
}

/** A page of the items changed after a version. `version` is the sender's version; the receiver has
 * reached it once it has received the page whose `more` is false. */
struct ConfigReply {
  1: i64 after = 0,
  2: i64 version = 0,
  3: list<ConfigItem> items = [],
  4: bool more = false,
  5: bool ready = true,
  6: i64 from_version = 0,
  7: string from_kind = "",
  8: string from_name = "",
}

/** Requests the members that a peer knows; used when the platform's list cannot be read. */
struct MembersQuery {
  1: string instance = "",
}

struct Member {
  1: string id = "",
  2: string kind = "",
  3: string zone = "",
  4: string host = "",
  5: i32 port = 0,
  6: i32 peer_port = 0,
  7: string service_name = "",
  8: string state = "",
}

struct MembersReply {
  1: list<Member> members = [],
}

/** Asks the receiver to connect to a target that the sender cannot reach. It is the first message of a
 * connection, which carries nothing else before it. Answered by one byte: 1 if the connection is
 * open, and from then on both ends pass on the bytes as they are; 0 if not. */
struct TunnelRequest {
  1: string target = "",
}

struct Envelope {
  1: string sender = "",
  2: optional Heartbeat heartbeat,
  3: optional ZoneQuery zone_query,
  4: optional ZoneReply zone_reply,
  5: optional SlotRequest slot_request,
  6: optional SlotReply slot_reply,
  7: optional SlotRelease slot_release,
  8: optional SlotRenewal slot_renewal,
  9: optional Handover handover,
  10: optional ClaimQuery claim_query,
  11: optional ClaimReply claim_reply,
  12: optional ReservedRun reserved_run,
  13: optional ReservedReply reserved_reply,
  14: optional CrashNotice crash_notice,
  15: optional ConfigQuery config_query,
  16: optional ConfigReply config_reply,
  17: optional MembersQuery members_query,
  18: optional MembersReply members_reply,
  19: optional TunnelRequest tunnel_request,
  20: optional TrialRequest trial_request,
  21: optional TrialReply trial_reply,
  22: optional TrialEnd trial_end,
}
