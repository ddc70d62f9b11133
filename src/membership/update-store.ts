import Emittery from "emittery";
import type { Clock } from "../common/clock.js";
import { asRec, text, whole, type Rec } from "../common/decode.js";

/**
 * A fact is what the data plane is told: a plan item held by a quorum, a worker, the ejections.
 * Invariant: for a key the higher (version, tie) wins, so facts may come twice, late and by any way.
 */
export interface Fact {
  readonly key: string;
  readonly version: number;
  readonly tie: string;
  readonly body: Rec;
  /** When it was first posted, on this process's own steady clock. */
  readonly sinceUs: number;
}

export type NewFact = Omit<Fact, "sinceUs">;

const outranks = (one: NewFact, other: Fact | undefined): boolean =>
  other === undefined ||
  one.version > other.version ||
  (one.version === other.version && one.tie > other.tie);

/** All facts one process knows; merging only goes upward. */
export class Board {
  readonly events = new Emittery<{ changed: readonly Fact[]; forgotten: readonly string[] }>();
  private readonly facts = new Map<string, Fact>();

  constructor(private readonly clock: Clock) {}

  readonly get = (key: string): Fact | undefined => this.facts.get(key);

  readonly all = (): readonly Fact[] => [...this.facts.values()];

  readonly post = (facts: readonly NewFact[], ageUs: (fact: NewFact) => number = () => 0): void => {
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

  readonly pack = (facts: readonly Fact[]): readonly Rec[] => {
    const nowUs = this.clock.nowUs();
    return facts.map(({ key, version, tie, body, sinceUs }) => ({
      key,
      version,
      tie,
      body,
      ageUs: nowUs - sinceUs,
    }));
  };

  readonly take = (packed: readonly unknown[]): void => {
    const ages = new Map<NewFact, number>();
    const facts = packed.map((value) => {
      const rec = asRec(value, "fact");
      const fact = {
        key: text(rec, "key"),
        version: whole(rec, "version"),
        tie: text(rec, "tie"),
        body: asRec(rec["body"], "body"),
      };
      ages.set(fact, whole(rec, "ageUs"));
      return fact;
    });
    this.post(facts, (fact) => ages.get(fact) ?? 0);
  };
}

export const WORKER_PREFIX = "worker/";
export const PURGE_PREFIX = "purge/";
export const PLAN_PREFIX = "plan/";
export const EJECTIONS_KEY = "ejections";
export const FORECAST_KEY = "forecast";
export const ROLLOUTS_KEY = "rollouts";
export const RETRIES_KEY = "retries";
