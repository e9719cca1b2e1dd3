/**
 * The calls that operators may make to any instance. Every call carries the operators' key. The
 * value of each declaration is JSON of one of the types in rhubarbbend/core/configuration.py.
 */
namespace py rhubarbbend.schema.operators

/** The key is not the operators' key. */
exception NotAllowed { 1: string reason }
/** The change is invalid; nothing was written. */
exception InvalidChange { 1: string problem }
/** Another operator's change was accepted as this version first; nothing was written. */
exception Conflict { 1: i64 version, 2: string author }
/** The platform's table did not answer, so the outcome is unknown. Send the change again with the
 * same change id to get the outcome. */
exception OutcomeUnknown { 1: string change_id }
/** The instance has no configuration yet, or does not have the version on which the change is
 * based. */
exception NotReady { 1: string reason }

/** A declaration; an empty value removes it. */
struct Declaration {
  1: string kind,
  2: string name,
  3: binary value,
}

/** A change set. It is accepted as version base_version + 1, either completely or not at all. */
struct Change {
  1: string change_id,
  2: string author,
  3: i64 base_version,
  4: list<Declaration> declarations,
}

struct ConfigView {
  1: i64 version,
  2: list<Declaration> declarations,
}

struct ZoneView {
  1: string name,
  2: bool in_service,
  3: i32 instances,
  4: i32 targets,
}

struct TargetView {
  1: string id,
  2: string service_name,
  3: string zone,
  4: string owner,
  5: bool ready,
  6: bool in_service,
  7: bool leaving,
  8: bool cold,
  9: i32 load,
  10: i32 limit,
  11: string boot_id,
  /** Whether operators declared the target itself in service; in_service also depends on its
   * availability zone. */
  12: bool declared_in,
}

/** The configuration version of an instance, and how many versions it is behind the newest known
 * one. The instance reported its version heard_age seconds ago (-1: it never reported). */
struct InstanceView {
  1: string id,
  2: string zone,
  3: bool live,
  4: bool leaving,
  5: i64 config_version,
  6: double heard_age,
  7: i64 behind,
}

service Operators {
  /** Proposes a change; returns the version under which it was accepted, also if sent again. */
  i64 apply_change(1: string key, 2: Change change)
    throws (1: NotAllowed not_allowed, 2: InvalidChange invalid, 3: Conflict conflict,
            4: OutcomeUnknown unknown, 5: NotReady not_ready),
  ConfigView show_config(1: string key)
    throws (1: NotAllowed not_allowed, 2: NotReady not_ready),
  list<ZoneView> show_zones(1: string key) throws (1: NotAllowed not_allowed),
  list<TargetView> show_targets(1: string key) throws (1: NotAllowed not_allowed),
  list<InstanceView> show_instances(1: string key) throws (1: NotAllowed not_allowed),
}
