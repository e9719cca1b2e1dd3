/**
 * What operators may ask of any instance. Every call carries the operators' key. The text of
 * each declaration is JSON of the types in rhubarbbend/core/configuration.py.
 */
namespace py rhubarbbend.schema.operators

/** The key does not fit. */
exception NotAllowed { 1: string reason }
/** The change cannot be accepted as it is; nothing was written. */
exception InvalidChange { 1: string problem }
/** Another operator's change took this version first; nothing was written. */
exception Conflict { 1: i64 version, 2: string author }
/** No answer came from the table: send the same change id again to learn the outcome. */
exception OutcomeUnknown { 1: string change_id }
/** The instance has no configuration yet, or not the version that the change is based on. */
exception NotReady { 1: string reason }

/** A declaration; an empty value removes it. */
struct Declaration {
  1: string kind,
  2: string name,
  3: binary value,
}

/** A change set that is accepted whole or not at all, as version base_version + 1. */
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
  /** The operators' word on the target alone; in_service also heeds its zone. */
  12: bool declared_in,
}

/** How far an instance has come, by its own word heard_age seconds ago (-1: never heard), and how
 * many versions it is behind the newest that is known. */
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
  /** Propose a change; gives the version that it was accepted as, also when sent again. */
  i64 apply_change(1: string key, 2: Change change)
    throws (1: NotAllowed not_allowed, 2: InvalidChange invalid, 3: Conflict conflict,
            4: OutcomeUnknown unknown, 5: NotReady not_ready),
  ConfigView show_config(1: string key)
    throws (1: NotAllowed not_allowed, 2: NotReady not_ready),
  list<ZoneView> show_zones(1: string key) throws (1: NotAllowed not_allowed),
  list<TargetView> show_targets(1: string key) throws (1: NotAllowed not_allowed),
  list<InstanceView> show_instances(1: string key) throws (1: NotAllowed not_allowed),
}
