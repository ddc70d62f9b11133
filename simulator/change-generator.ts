/** Generates the operators' requests: configuration changes, resent changes and reads. */
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { MISSING_ITEM, type Deployment, type Event, type Item } from "./schedule.js";
import type { SeededRandom } from "./seeded-random.js";

const KEYS = [
  "route/a",
  "route/b",
  "route/c",
  "route/d",
  "service/e",
  "route/f",
  "route/g",
  "route/h",
];

class ChangeGenerator {
  private readonly events: Event[] = [];
  private readonly newestVersions = new Map<string, number>();
  private lastId = 0;

  constructor(
    private readonly random: SeededRandom,
    private readonly deployment: Deployment,
  ) {}

  readonly generate = (untilUs: number): Event[] => {
    const { random } = this;
    let atUs = 500 * MILLISECOND_US;
    while (atUs < untilUs) {
      const burst = random.occurs(0.15) ? random.integer(2, 8) : 1;
      for (let count = 0; count < burst; count += 1) this.addChangeWithConflict(atUs);
      if (random.occurs(0.5))
        this.events.push({
          atUs: atUs + random.integer(0, 800 * MILLISECOND_US),
          kind: "read",
          slot: this.randomSlot(),
        });
      atUs += random.integer(50 * MILLISECOND_US, 1_300 * MILLISECOND_US);
    }
    return this.events;
  };

  private readonly randomSlot = (): number =>
    this.random.integer(0, this.deployment.controllers - 1);

  private readonly nextBody = (): string => `{"order":${this.lastId + 1}}`;

  private readonly addChangeWithConflict = (atUs: number): void => {
    const { random } = this;
    const keys = KEYS.filter(() => random.occurs(0.18));
    const items = (keys.length > 0 ? keys : [random.pick(KEYS)]).map(this.drawItem);
    this.addChange(
      atUs,
      random.occurs(0.1) ? [...items, this.duplicateOf(random.pick(items))] : items,
    );
    // A concurrent change submits the same versions of some of these items with another body.
    if (!random.occurs(0.25)) return;
    const conflicting = items.filter(() => random.occurs(0.6));
    if (conflicting.length === 0) return;
    const conflictUs = atUs + random.integer(0, 30 * MILLISECOND_US);
    const body = this.nextBody();
    this.addChange(
      conflictUs,
      conflicting.map((item) => ({ ...item, body })),
    );
  };

  /** Usually the item's next version; sometimes one already used, or one that skips a version. */
  private readonly drawItem = (key: string): Item => {
    const { random } = this;
    const newest = this.newestVersions.get(key) ?? 0;
    const version = random.occurs(0.08)
      ? Math.max(1, newest - random.integer(0, 2))
      : newest + (random.occurs(0.1) ? 2 : 1);
    this.newestVersions.set(key, Math.max(newest, version));
    return { key, version, body: random.occurs(0.06) ? "" : this.nextBody() };
  };

  /**
   * A second entry for the same key within one change: identical, with another body, or with
   * another version.
   */
  private readonly duplicateOf = (item: Item): Item => {
    const body = `{"order":${this.lastId + 1},"again":1}`;
    return this.random.pick([
      item,
      { ...item, body },
      { ...item, version: item.version + 1, body },
    ]);
  };

  private readonly addChange = (atUs: number, items: readonly Item[]): void => {
    const { random } = this;
    this.lastId += 1;
    this.events.push({
      atUs,
      kind: "change",
      id: this.lastId,
      slot: this.randomSlot(),
      items,
      requires: random.occurs(0.15) ? random.pick(["service/e", MISSING_ITEM]) : "",
      answerLossProbability: random.occurs(0.3) ? 0.5 : 0,
    });
    while (random.occurs(0.25))
      this.events.push({
        atUs: atUs + random.integer(50 * MILLISECOND_US, 12 * SECOND_US),
        kind: "resend",
        id: this.lastId,
        slot: this.randomSlot(),
      });
  };
}

const CUSTOMERS = ["x", "y", "z"];
const API_KEYS = ["k1", "k2"];
/** Ids of changes of customers start here. */
const FIRST_CUSTOMER_CHANGE = 100_000;

/**
 * Generates changes of customers who want the same few API keys, many of them at once: each alone
 * is valid, but not together with those decided before.
 */
export const generateCustomerChanges = (
  random: SeededRandom,
  deployment: Deployment,
  untilUs: number,
): Event[] => {
  const events: Event[] = [];
  const versions = new Map<string, number>();
  const drawItem = (name: string): Item => {
    const version = (versions.get(name) ?? 0) + 1;
    versions.set(name, version);
    const apiKeys = API_KEYS.filter(() => random.occurs(0.5));
    const body = JSON.stringify({ name, apiKeys, change: events.length });
    return { key: `customer/${name}`, version, body: random.occurs(0.1) ? "" : body };
  };
  for (let atUs = SECOND_US; atUs < untilUs; atUs += random.integer(SECOND_US, 8 * SECOND_US))
    CUSTOMERS.filter(() => random.occurs(0.7)).forEach((name) =>
      events.push({
        atUs: atUs + random.integer(0, 40 * MILLISECOND_US),
        kind: "change",
        id: FIRST_CUSTOMER_CHANGE + events.length,
        slot: random.integer(0, deployment.controllers - 1),
        items: [drawItem(name)],
        requires: "",
        answerLossProbability: random.occurs(0.2) ? 0.5 : 0,
      }),
    );
  return events;
};

/**
 * Generates single changes and bursts, some of which conflict with a concurrent change of the same
 * version or are resent up to 12 s later.
 */
export const generateChanges = (
  random: SeededRandom,
  deployment: Deployment,
  untilUs: number,
): Event[] => new ChangeGenerator(random, deployment).generate(untilUs);
