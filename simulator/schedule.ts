import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Chance } from "./seeded-random.js";
import type { DiskTrouble } from "./simulated-disk.js";
import type { Noise } from "./simulated-network.js";

export interface Deployment {
  readonly boxes: number;
  readonly seeds: number;
  readonly withstandMachines: number;
}

export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  small: { boxes: 3, seeds: 3, withstandMachines: 1 },
  grown: { boxes: 5, seeds: 3, withstandMachines: 2 },
  large: { boxes: 7, seeds: 3, withstandMachines: 2 },
};

/** A part of an order: an item, its number and its body; an empty body is a drop. */
export interface Part {
  readonly key: string;
  readonly version: number;
  readonly body: string;
}

export type Way = "both" | "from" | "to";

/** What happens besides the system's own doings. `slot` is the place of a machine; `others` are slots too. */
export type Event = { readonly atUs: number } & (
  | {
      readonly kind: "order";
      readonly id: number;
      readonly slot: number;
      readonly parts: readonly Part[];
      readonly needs: string;
      readonly lostAnswers: number;
    }
  | { readonly kind: "resend"; readonly id: number; readonly slot: number }
  | { readonly kind: "read"; readonly slot: number }
  | {
      readonly kind: "kill" | "power" | "wipe" | "spoil";
      readonly slot: number;
      readonly downUs: number;
    }
  | { readonly kind: "freeze"; readonly slot: number; readonly forUs: number }
  | {
      readonly kind: "cut";
      readonly slot: number;
      readonly others: readonly number[];
      readonly way: Way;
      readonly forUs: number;
    }
  | {
      readonly kind: "disk";
      readonly slot: number;
      readonly trouble: DiskTrouble;
      readonly forUs: number;
    }
  /** The machine is gone for good, and an empty one comes a second later at another address. */
  | { readonly kind: "replace"; readonly slot: number }
  /** The new machine comes first, and the old one leaves in order. */
  | { readonly kind: "succeed"; readonly slot: number }
  | {
      readonly kind: "all";
      readonly byPower: boolean;
      readonly wiped: readonly number[];
      readonly spoiled: readonly number[];
      readonly downUs: readonly number[];
    }
  | { readonly kind: "noise"; readonly noise: Noise; readonly forUs: number }
);

export interface Schedule {
  readonly seed: number;
  readonly deployment: string;
  /** Whether more may be lost at once than the deployment withstands; then nothing is promised about being served. */
  readonly beyond: boolean;
  readonly events: readonly Event[];
  /** Blanks after each body; with many, readings come in pieces and snapshots are due often. */
  readonly padBytes: number;
  /** When the last trouble is over. */
  readonly calmUs: number;
}

/** What may be chosen of a schedule besides its seed and its deployment. */
export interface Terms {
  readonly beyond: boolean;
  /** The kind of trouble that comes most often; left out, chance picks it. */
  readonly favoured?: TroubleKind;
}

/** For so long after its return a machine still counts as lost. */
export const CATCH_UP_US = 4 * SECOND_US;
/** An orderly end takes no longer. */
export const GRACE_US = 6 * SECOND_US;
export const EMPTY_COMES_US = 1 * SECOND_US;
/** A successor is up for so long before the machine that it replaces is told to leave. */
export const SUCCESSOR_UP_US = 5 * SECOND_US;

const TROUBLES_UNTIL_US = 26 * SECOND_US;
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
const KINDS = [
  "kill",
  "kill",
  "power",
  "power",
  "wipe",
  "wipe",
  "spoil",
  "spoil",
  "freeze",
  "freeze",
  "cut",
  "cut",
  "disk",
  "replace",
  "replace",
  "succeed",
  "all",
  "noise",
] as const;
/** A cut as short as this only makes what is sent late or, where an end is killed, lost; nobody counts as lost by it. */
const HINDRANCE_US = 20 * MILLISECOND_US;
/** An item that never stands, so that orders that need it are never valid. */
export const NEVER = "service/never";
const PAD_BYTES = 12_000;
const LATEST_CALM_US = 40 * SECOND_US;
export type TroubleKind = (typeof KINDS)[number];
export const troubleKind = (name: string): TroubleKind | undefined =>
  KINDS.find((kind) => kind === name);
const DISK_LOSSES: readonly string[] = ["wipe", "spoil", "replace", "succeed"];

export const deploymentOf = (name: string): Deployment => {
  const deployment = DEPLOYMENTS[name];
  if (!deployment) throw new Error(`${name} is none of ${Object.keys(DEPLOYMENTS).join(", ")}`);
  return deployment;
};

/**
 * Troubles one after the other, as many at once as the deployment withstands; all processes, or all power, may go in any
 * case. Many strike while an order is under way or just confirmed, and in the noise.
 */
const troublesOf = (
  chance: Chance,
  { boxes, withstandMachines }: Deployment,
  { beyond, favoured: wanted }: Terms,
  orders: readonly Event[],
): { readonly events: readonly Event[]; readonly calmUs: number } => {
  const events: Event[] = [];
  const slots = Array.from({ length: boxes }, (_none, at) => at);
  const lostUntilUs = new Array<number>(boxes).fill(CATCH_UP_US);
  const diskLostUntilUs = new Array<number>(boxes).fill(0);
  let noisyUntilUs = 0;
  let calmUs = CATCH_UP_US;
  let disksLost = 0;
  /** A machine killed while it leaves has not left in order, and nobody comes in its place; so all are not killed before then. */
  let leavingUntilUs = 0;
  const lose = (slot: number, untilUs: number, withDisk: boolean): void => {
    calmUs = Math.max(calmUs, untilUs);
    const backUs = Math.max(untilUs, noisyUntilUs) + CATCH_UP_US;
    lostUntilUs[slot] = Math.max(backUs, lostUntilUs[slot] ?? 0);
    if (withDisk) diskLostUntilUs[slot] = lostUntilUs[slot];
    if (withDisk) disksLost += 1;
  };
  const isLost = (slot: number, atUs: number) => (lostUntilUs[slot] ?? 0) > atUs;
  const isDiskLost = (slot: number, atUs: number) => (diskLostUntilUs[slot] ?? 0) > atUs;
  const addNoise = (atUs: number): void => {
    const forUs = chance.whole(200 * MILLISECOND_US, 2_500 * MILLISECOND_US);
    noisyUntilUs = Math.max(noisyUntilUs, atUs + forUs);
    calmUs = Math.max(calmUs, noisyUntilUs);
    slots.filter((slot) => isLost(slot, atUs)).forEach((slot) => lose(slot, noisyUntilUs, false));
    slots
      .filter((slot) => isDiskLost(slot, atUs))
      .forEach((slot) => (diskLostUntilUs[slot] = lostUntilUs[slot] ?? 0));
    events.push({
      atUs,
      kind: "noise",
      forUs,
      noise: {
        lost: chance.share() * 0.4,
        late: chance.share() * 0.3,
        doubled: chance.share() * 0.3,
      },
    });
  };
  /** Whoever is back is asked at once. */
  const readSoonAfter = (atUs: number): void => {
    for (let count = 0; count < 3; count += 1)
      events.push({
        atUs: atUs + chance.whole(1 * MILLISECOND_US, 700 * MILLISECOND_US),
        kind: "read",
        slot: chance.whole(0, boxes - 1),
      });
  };
  // Plays differ in what happens most in them, so that rare things happen together in some.
  const anyOf = chance.pick(KINDS);
  const favoured = wanted ?? anyOf;
  const noisePart = chance.pick([0, 0.2, 0.8]);
  let atUs = CATCH_UP_US;
  for (;;) {
    atUs += chance.whole(10 * MILLISECOND_US, 1_200 * MILLISECOND_US);
    const order = chance.hits(0.6)
      ? orders.find((event) => event.kind === "order" && event.atUs > atUs)
      : undefined;
    if (order) atUs = order.atUs + chance.whole(0, 60 * MILLISECOND_US);
    if (atUs > TROUBLES_UNTIL_US) break;
    const kind = chance.hits(0.4) ? favoured : chance.pick(KINDS);
    if (kind === "noise" || chance.hits(noisePart))
      addNoise(Math.max(CATCH_UP_US, atUs - chance.whole(0, 500 * MILLISECOND_US)));
    if (kind === "noise") continue;
    if (kind === "all") {
      if (atUs < leavingUntilUs) continue;
      const byPower = chance.hits(0.6);
      const sound = slots.filter((slot) => !isLost(slot, atUs));
      const room = beyond
        ? withstandMachines - disksLost
        : withstandMachines - (boxes - sound.length);
      const harmed = chance.hits(0.7)
        ? sound.filter(() => chance.hits(0.5)).slice(0, Math.max(0, room))
        : [];
      const wiped = harmed.filter(() => chance.hits(0.5));
      const spoiled = harmed.filter((slot) => !wiped.includes(slot));
      const downUs = slots.map(() => chance.whole(50 * MILLISECOND_US, 1_000 * MILLISECOND_US));
      slots.forEach((slot) =>
        lose(slot, atUs + (downUs[slot] ?? 0), harmed.includes(slot) || isDiskLost(slot, atUs)),
      );
      events.push({ atUs, kind, byPower, wiped, spoiled, downUs });
      // At times the order that is then under way or just confirmed hasn't reached everyone yet.
      if (order && chance.hits(0.7)) {
        const slot = chance.pick(slots);
        events.push({
          atUs: order.atUs - HINDRANCE_US,
          kind: "cut",
          slot,
          others: slots.filter((other) => other !== slot),
          way: "both",
          forUs: atUs - order.atUs + HINDRANCE_US,
        });
      }
      readSoonAfter(atUs + Math.min(...downUs));
      continue;
    }
    const free = slots.filter((slot) => !isLost(slot, atUs));
    if (!beyond && boxes - free.length >= withstandMachines) {
      // The next one strikes as soon as it may.
      const rising = [...lostUntilUs].sort((one, other) => other - one);
      atUs = Math.max(atUs, (rising[withstandMachines - 1] ?? 0) + 1 - 10 * MILLISECOND_US);
      continue;
    }
    const slot = chance.pick(beyond ? slots : free);
    if (beyond && DISK_LOSSES.includes(kind) && disksLost >= withstandMachines) continue;
    const forUs = chance.hits(0.4)
      ? chance.whole(50 * MILLISECOND_US, 500 * MILLISECOND_US)
      : chance.whole(500 * MILLISECOND_US, 4 * SECOND_US);
    switch (kind) {
      case "kill":
      case "power":
        events.push({ atUs, kind, slot, downUs: forUs });
        lose(slot, atUs + forUs, false);
        break;
      case "wipe":
      case "spoil":
        events.push({ atUs, kind, slot, downUs: forUs });
        readSoonAfter(atUs + forUs);
        lose(slot, atUs + forUs, true);
        break;
      case "freeze":
        events.push({ atUs, kind, slot, forUs });
        lose(slot, atUs + forUs, false);
        break;
      case "cut": {
        const all = slots.filter((other) => other !== slot);
        const some = chance.hits(0.4) ? all.filter(() => chance.hits(0.5)) : all;
        events.push({
          atUs,
          kind,
          slot,
          forUs,
          others: some,
          way: chance.pick(["both", "from", "to"]),
        });
        lose(slot, atUs + forUs, false);
        break;
      }
      case "disk":
        events.push({
          atUs,
          kind,
          slot,
          forUs,
          trouble: chance.pick(["full", "refusing", "stalled", "slow"]),
        });
        lose(slot, atUs + forUs, false);
        break;
      case "replace":
        events.push({ atUs, kind, slot });
        lose(slot, atUs + EMPTY_COMES_US, true);
        break;
      case "succeed":
        events.push({ atUs, kind, slot });
        lose(slot, atUs + SUCCESSOR_UP_US + GRACE_US, true);
        leavingUntilUs = Math.max(leavingUntilUs, atUs + SUCCESSOR_UP_US + GRACE_US);
        break;
    }
  }
  return { events, calmUs };
};

/** Orders one after the other and in bursts, at times two under one number, at times sent again much later. */
const ordersOf = (chance: Chance, { boxes }: Deployment, calmUs: number): Event[] => {
  const events: Event[] = [];
  const newest = new Map<string, number>();
  let id = 0;
  /** An item that an order names a second time: as it was, with another body, or under another number. */
  const again = (part: Part): Part =>
    chance.pick([
      part,
      { ...part, body: `{"order":${id + 1},"again":1}` },
      { ...part, version: part.version + 1, body: `{"order":${id + 1},"again":1}` },
    ]);
  const orderAt = (atUs: number, parts: readonly Part[]): void => {
    id += 1;
    events.push({
      atUs,
      kind: "order",
      id,
      slot: chance.whole(0, boxes - 1),
      parts,
      needs: chance.hits(0.15) ? chance.pick(["service/e", NEVER]) : "",
      lostAnswers: chance.hits(0.3) ? 0.5 : 0,
    });
    while (chance.hits(0.25))
      events.push({
        atUs: atUs + chance.whole(50 * MILLISECOND_US, 12 * SECOND_US),
        kind: "resend",
        id,
        slot: chance.whole(0, boxes - 1),
      });
  };
  let atUs = 500 * MILLISECOND_US;
  while (atUs < calmUs) {
    const burst = chance.hits(0.15) ? chance.whole(2, 8) : 1;
    for (let count = 0; count < burst; count += 1) {
      const keys = KEYS.filter(() => chance.hits(0.18));
      const named = keys.length > 0 ? keys : [chance.pick(KEYS)];
      const parts = named.map((key) => {
        const before = newest.get(key) ?? 0;
        const version = chance.hits(0.08)
          ? Math.max(1, before - chance.whole(0, 2))
          : before + (chance.hits(0.1) ? 2 : 1);
        newest.set(key, Math.max(before, version));
        return { key, version, body: chance.hits(0.06) ? "" : `{"order":${id + 1}}` };
      });
      orderAt(atUs, chance.hits(0.1) ? [...parts, again(chance.pick(parts))] : parts);
      // A rival puts another body under one of these numbers at the same moment.
      if (chance.hits(0.25)) {
        const rivals = parts.filter(() => chance.hits(0.6));
        if (rivals.length > 0)
          orderAt(
            atUs + chance.whole(0, 30 * MILLISECOND_US),
            rivals.map((part) => ({ ...part, body: `{"order":${id + 1}}` })),
          );
      }
    }
    if (chance.hits(0.5))
      events.push({
        atUs: atUs + chance.whole(0, 800 * MILLISECOND_US),
        kind: "read",
        slot: chance.whole(0, boxes - 1),
      });
    atUs += chance.whole(50 * MILLISECOND_US, 1_300 * MILLISECOND_US);
  }
  return events;
};

export const scheduleOf = (seed: number, deployment: string, terms: Terms): Schedule => {
  const chance = new Chance(seed);
  const size = deploymentOf(deployment);
  const orders = ordersOf(chance.fork(), size, LATEST_CALM_US).sort(
    (one, other) => one.atUs - other.atUs,
  );
  const { events, calmUs } = troublesOf(chance.fork(), size, terms, orders);
  const padBytes = chance.hits(0.15) ? PAD_BYTES : 0;
  return {
    seed,
    deployment,
    beyond: terms.beyond,
    padBytes,
    calmUs,
    events: [...events, ...orders.filter(({ atUs }) => atUs < calmUs)].sort(
      (one, other) => one.atUs - other.atUs,
    ),
  };
};
