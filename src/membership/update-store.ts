/** The store of the updates known to one process. */
import Emittery from "emittery";
import type { Clock } from "../common/clock.js";
import { asRecord, readString, readNumber, type UnknownRecord } from "../common/decode.js";

/**
 * A piece of state for the data plane, such as a committed configuration item, a worker or the
 * ejections.
 *
 * Invariant: for each key the highest (version, tie) wins, so updates may arrive more than once,
 * out of order and over any path.
 */
export interface Update {
  readonly key: string;
  readonly version: number;
  readonly tie: string;
  readonly body: UnknownRecord;
  /** When it was first posted, on this process's monotonic clock. */
  readonly sinceUs: number;
}

/** An update that has not been stored yet; its age is passed separately. */
export type NewUpdate = Omit<Update, "sinceUs">;

const supersedes = (one: NewUpdate, other: Update | undefined): boolean =>
  other === undefined ||
  one.version > other.version ||
  (one.version === other.version && one.tie > other.tie);

/** All updates known to one process. Merging never replaces an update by an older one. */
export class UpdateStore {
  readonly events = new Emittery<{ changed: readonly Update[]; forgotten: readonly string[] }>();
  private readonly updates = new Map<string, Update>();

  constructor(private readonly clock: Clock) {}

  /** Number of updates. */
  get size(): number {
    return this.updates.size;
  }

  readonly get = (key: string): Update | undefined => this.updates.get(key);

  readonly all = (): readonly Update[] => [...this.updates.values()];

  /**
   * Stores the updates that are newer than the known ones and emits `changed` for them.
   *
   * @param ageUs - time since an update was first posted elsewhere
   */
  readonly post = (
    updates: readonly NewUpdate[],
    ageUs: (update: NewUpdate) => number = () => 0,
  ): void => {
    const nowUs = this.clock.nowUs();
    const changed = updates
      .filter((update) => supersedes(update, this.updates.get(update.key)))
      .map((update) => ({ ...update, sinceUs: nowUs - ageUs(update) }));
    changed.forEach((update) => this.updates.set(update.key, update));
    if (changed.length > 0) void this.events.emit("changed", changed);
  };

  /** Removes updates and emits `forgotten` for those that existed. */
  readonly forget = (keys: readonly string[]): void => {
    const removed = keys.filter((key) => this.updates.delete(key));
    if (removed.length > 0) void this.events.emit("forgotten", removed);
  };

  /** Packs updates for messages, with ages instead of times since clocks differ by process. */
  readonly pack = (updates: readonly Update[]): readonly UnknownRecord[] => {
    const nowUs = this.clock.nowUs();
    return updates.map(({ key, version, tie, body, sinceUs }) => ({
      key,
      version,
      tie,
      body,
      ageUs: nowUs - sinceUs,
    }));
  };

  /**
   * Posts updates packed by `pack`.
   *
   * @throws DecodeError if a field is missing or has the wrong type
   */
  readonly merge = (packed: readonly unknown[]): void => {
    const ages = new Map<NewUpdate, number>();
    const updates = packed.map((value) => {
      const record = asRecord(value, "update");
      const update = {
        key: readString(record, "key"),
        version: readNumber(record, "version"),
        tie: readString(record, "tie"),
        body: asRecord(record["body"], "body"),
      };
      ages.set(update, readNumber(record, "ageUs"));
      return update;
    });
    this.post(updates, (update) => ages.get(update) ?? 0);
  };
}

/** Prefix of worker keys; followed by the worker's id. */
export const WORKER_PREFIX = "worker/";
/** Prefix of the keys of purges. */
export const PURGE_PREFIX = "purge/";
/** Prefix of the keys of configuration items. */
export const CONFIG_PREFIX = "plan/";
/** Prefix of the keys of customers; followed by the customer's name. */
export const CUSTOMER_PREFIX = "customer/";
/** Prefix of the keys of shard owners; followed by the service. */
export const SHARDS_PREFIX = "shards/";
/** Prefix of the keys of evacuated zones; followed by the zone. */
export const EVACUATION_PREFIX = "evacuation/";
/** Key of the ejected workers. */
export const EJECTIONS_KEY = "ejections";
/** Key of the capacity forecast. */
export const FORECAST_KEY = "forecast";
/** Key of the states of rollouts. */
export const ROLLOUTS_KEY = "rollouts";
/** Key of the retry limits. */
export const RETRIES_KEY = "retries";
