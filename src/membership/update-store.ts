import Emittery from "emittery";
import type { Clock } from "../common/clock.js";
import { asRecord, readString, readNumber, type UnknownRecord } from "../common/decode.js";

/**
 * A fact is what the data plane is told: a plan item held by a quorum, a worker, the ejections.
 * Invariant: for a key the higher (version, tie) wins, so facts may come twice, late and by any
 * way.
 */
export interface Update {
  readonly key: string;
  readonly version: number;
  readonly tie: string;
  readonly body: UnknownRecord;
  /** When it was first posted, on this process's own steady clock. */
  readonly sinceUs: number;
}

/** An update that has not been stored yet; its age is given apart. */
export type NewUpdate = Omit<Update, "sinceUs">;

const outranks = (one: NewUpdate, other: Update | undefined): boolean =>
  other === undefined ||
  one.version > other.version ||
  (one.version === other.version && one.tie > other.tie);

/** All facts one process knows; merging only goes upward. */
export class UpdateStore {
  readonly events = new Emittery<{ changed: readonly Update[]; forgotten: readonly string[] }>();
  private readonly facts = new Map<string, Update>();

  constructor(private readonly clock: Clock) {}

  /** How many facts there are. */
  get size(): number {
    return this.facts.size;
  }

  readonly get = (key: string): Update | undefined => this.facts.get(key);

  readonly all = (): readonly Update[] => [...this.facts.values()];

  readonly post = (
    facts: readonly NewUpdate[],
    ageUs: (fact: NewUpdate) => number = () => 0,
  ): void => {
    const nowUs = this.clock.nowUs();
    const changed = facts
      .filter((fact) => outranks(fact, this.facts.get(fact.key)))
      .map((fact) => ({ ...fact, sinceUs: nowUs - ageUs(fact) }));
    changed.forEach((fact) => this.facts.set(fact.key, fact));
    if (changed.length > 0) void this.events.emit("changed", changed);
  };

  readonly forget = (keys: readonly string[]): void => {
    const gone = keys.filter((key) => this.facts.delete(key));
    if (gone.length > 0) void this.events.emit("forgotten", gone);
  };

  readonly pack = (facts: readonly Update[]): readonly UnknownRecord[] => {
    const nowUs = this.clock.nowUs();
    return facts.map(({ key, version, tie, body, sinceUs }) => ({
      key,
      version,
      tie,
      body,
      ageUs: nowUs - sinceUs,
    }));
  };

  readonly merge = (packed: readonly unknown[]): void => {
    const ages = new Map<NewUpdate, number>();
    const facts = packed.map((value) => {
      const record = asRecord(value, "fact");
      const fact = {
        key: readString(record, "key"),
        version: readNumber(record, "version"),
        tie: readString(record, "tie"),
        body: asRecord(record["body"], "body"),
      };
      ages.set(fact, readNumber(record, "ageUs"));
      return fact;
    });
    this.post(facts, (fact) => ages.get(fact) ?? 0);
  };
}

/** Prefix of the keys of workers, followed by the worker's id. */
export const WORKER_PREFIX = "worker/";
/** Prefix of the keys of purges. */
export const PURGE_PREFIX = "purge/";
/** Prefix of the keys of configuration items. */
export const CONFIG_PREFIX = "plan/";
/** Key of the ejected workers. */
export const EJECTIONS_KEY = "ejections";
/** Key of the capacity forecast. */
export const FORECAST_KEY = "forecast";
/** Key of the states of rollouts. */
export const ROLLOUTS_KEY = "rollouts";
/** Key of the retry limits. */
export const RETRIES_KEY = "retries";
