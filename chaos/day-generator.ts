/** Draws days (schedules of faults and changes) from a seed and formats them as day files. */
import { RandomDraws } from "./random-draws.js";
import type { ParameterDefault, FaultKind, FaultKinds } from "./fault-kinds.js";

/** The parts of a deployment's site file that days refer to. */
export interface Site {
  readonly name: string;
  readonly zones: readonly string[];
}

/**
 * One fault or change of a day, with the field names of day files. `at` is in seconds from the
 * start of traffic; `for_s` and `gap_s` are durations in seconds.
 */
export interface Entry {
  readonly at: number;
  readonly kind: string;
  readonly for_s?: number;
  readonly gap_s?: number;
  readonly share?: number;
  readonly count?: number;
  readonly x?: number;
  readonly on?: string;
  readonly zone?: string;
  readonly to_zone?: string;
  readonly how?: string;
}

/** A day with the field names of day files. */
export interface Day {
  readonly name: string;
  readonly seed: number;
  readonly length_s: number;
  readonly closing?: { readonly kind: string; readonly down_s: number; readonly how?: string };
  readonly plan: readonly Entry[];
  readonly faults: readonly Entry[];
}

/** Mixes of a day: few faults and changes, many faults, or hundreds of changes with some faults. */
export const MIXES = ["few", "many", "changes"] as const;
export type Mix = (typeof MIXES)[number];
export const MAX_CHANGES_AT_ONCE = 8;
export const MAX_CHANGES = 300;
const FAULT_COUNTS: Readonly<Record<Mix, readonly [number, number]>> = {
  few: [2, 8],
  many: [12, 40],
  changes: [4, 14],
};
const CHANGE_COUNTS: Readonly<Record<Mix, readonly [number, number]>> = {
  few: [2, 10],
  many: [5, 40],
  changes: [100, MAX_CHANGES],
};
/** Nothing begins within the first `FIRST_S` and the last `QUIET_END_S` seconds of a day. */
const FIRST_S = 1;
const QUIET_END_S = 3;
const MAX_ROUTES = 400;
const MAX_SHARE = 0.6;

/**
 * Draws a value between half and twice the default, or within `openRange` if there is no default.
 * The upper bound is limited to `max`, unless that is below the lower bound.
 */
const drawAround = (
  draws: RandomDraws,
  defaultValue: ParameterDefault,
  openRange: readonly [number, number],
  max: number,
): number => {
  const [min, top] = defaultValue === "open" ? openRange : [defaultValue / 2, defaultValue * 2];
  return draws.logNumber(min, Math.max(min, Math.min(top, max)));
};

/** Draws the value of `how`: variants and selectors that apply to the kind. */
const drawVariant = (draws: RandomDraws, kind: FaultKind, list: FaultKinds): string => {
  const words: (string | undefined)[] = [];
  if (draws.occurs(0.6)) words.push(draws.pick(kind.variants));
  if (kind.target === "servers" && draws.occurs(0.06)) words.push(draws.pick(list.serverSelectors));
  const affectsMachines = kind.target === "machines" || kind.target === "links";
  if (kind.target === "links" && draws.occurs(0.3)) words.push(draws.pick(list.partitionVariants));
  if ((affectsMachines || kind.target === "disks") && draws.occurs(0.4))
    words.push(draws.pick(list.machineSelectors));
  if (affectsMachines && draws.occurs(0.4)) words.push(draws.pick(list.concurrentChanges));
  if (affectsMachines)
    list.restartVariants.forEach((word) => words.push(draws.occurs(0.2) ? word : undefined));
  if (kind.name === "roll_term" && draws.occurs(0.3)) words.push(draws.pick(list.rollVariants));
  return [...new Set(words.filter((word) => word !== undefined))].join(" ");
};

/** Draws an entry of this kind at the given time. */
const drawEntry = (
  draws: RandomDraws,
  at: number,
  kind: FaultKind,
  list: FaultKinds,
  site: Site,
): Entry => {
  const variant = drawVariant(draws, kind, list);
  const isChange = kind.target === "orders";
  const onCore = kind.target === "machines" && kind.share !== undefined && draws.occurs(0.5);
  const maxShare = typeof kind.share === "number" ? Math.max(MAX_SHARE, kind.share) : MAX_SHARE;
  const coreMachines = onCore && draws.occurs(0.7) ? draws.integer(1, 2) : undefined;
  const count =
    kind.count === undefined
      ? coreMachines
      : kind.countIsRoutes
        ? draws.integer(20, MAX_ROUTES)
        : draws.integer(1, isChange ? 10 : 3);
  // A default below 1 is a fraction, so that the drawn value must stay below 1.
  const x =
    kind.x === undefined
      ? undefined
      : kind.xIsCount
        ? draws.integer(1, 4)
        : drawAround(
            draws,
            kind.x,
            [1.2, 3],
            typeof kind.x === "number" && kind.x < 1 ? 0.95 : Infinity,
          );
  const zones = variant.includes("one_zone") ? { to_zone: draws.pick(site.zones) } : {};
  const zone =
    (kind.target === "servers" || kind.target === "clients") && draws.occurs(0.15)
      ? draws.pick(site.zones)
      : undefined;
  return {
    at,
    kind: kind.name,
    for_s: draws.logNumber(0.5, isChange && kind.isRepeated ? 6 : 20),
    ...(kind.isRepeated ? { gap_s: draws.logNumber(0.1, 2) } : {}),
    ...(kind.share === undefined || coreMachines !== undefined
      ? {}
      : { share: drawAround(draws, kind.share, [0.1, 0.5], maxShare) }),
    ...(count === undefined ? {} : { count }),
    ...(x === undefined ? {} : { x }),
    ...(onCore ? { on: "core" } : {}),
    ...(zone === undefined ? {} : { zone }),
    ...(zones.to_zone === undefined ? {} : { to_zone: zones.to_zone }),
    ...(variant === "" ? {} : { how: variant }),
  };
};

/** Draws the configuration changes of a day, in bursts of up to {@link MAX_CHANGES_AT_ONCE}. */
const drawChanges = (
  draws: RandomDraws,
  kind: FaultKind | undefined,
  count: number,
  moment: () => number,
): readonly Entry[] => {
  if (kind === undefined) return [];
  const entries: Entry[] = [];
  // Two bursts at the same time would add up to more than the maximum.
  const usedTimes = new Set<number>();
  while (entries.length < count) {
    const at = moment();
    if (usedTimes.has(at)) continue;
    usedTimes.add(at);
    const burst = draws.occurs(0.7) ? 1 : draws.integer(2, MAX_CHANGES_AT_ONCE);
    for (let change = 0; change < burst && entries.length < count; change += 1) {
      const variant = draws.pick(kind.variants);
      entries.push({ at, kind: kind.name, ...(variant === undefined ? {} : { how: variant }) });
    }
  }
  return entries;
};

/**
 * Draws one day: a pure function of the seed, the site, the list of kinds and the bounds of the
 * day's length in whole seconds.
 */
export const drawDay = (
  seed: number,
  site: Site,
  list: FaultKinds,
  length: readonly [number, number],
): Day => {
  const draws = new RandomDraws(seed);
  const mix = MIXES[draws.integer(0, MIXES.length - 1)] ?? "few";
  const lengthS = draws.integer(length[0], length[1]);
  const moment = () => draws.number(FIRST_S, lengthS - QUIET_END_S);
  const change = list.kinds.find((kind) => kind.name === "config_change");
  const entries: { readonly section: "plan" | "faults"; readonly entry: Entry }[] = drawChanges(
    draws,
    change,
    draws.integer(...CHANGE_COUNTS[mix]),
    moment,
  ).map((entry) => ({ section: "plan", entry }));
  const faultKinds = list.kinds.filter((kind) => kind !== change);
  for (let left = draws.integer(...FAULT_COUNTS[mix]); left > 0; left -= 1) {
    const kind = draws.pick(faultKinds);
    if (kind)
      entries.push({ section: kind.section, entry: drawEntry(draws, moment(), kind, list, site) });
  }
  const closingKind = draws.occurs(0.6) ? draws.pick(list.closingFaults) : undefined;
  const closingVariant = draws.occurs(0.4) ? draws.pick(list.closingVariants) : undefined;
  const downSeconds = draws.number(0.5, 2);
  const entriesIn = (section: "plan" | "faults") =>
    entries
      .filter((drawn) => drawn.section === section)
      .map(({ entry }) => entry)
      .sort((a, b) => a.at - b.at);
  return {
    name: `${mix}-${seed}`,
    seed,
    length_s: lengthS,
    ...(closingKind === undefined
      ? {}
      : {
          closing: {
            kind: closingKind,
            down_s: downSeconds,
            ...(closingVariant === undefined ? {} : { how: closingVariant }),
          },
        }),
    plan: entriesIn("plan"),
    faults: entriesIn("faults"),
  };
};

/** Draws the seeds of a campaign's days. The seed of day k does not depend on `count`. */
export const daySeeds = (seed: number, count: number): readonly number[] => {
  const draws = new RandomDraws(seed);
  return Array.from({ length: count }, () => draws.integer(1, 2 ** 31 - 1));
};

const inlineTable = (record: object): string =>
  `{ ${Object.entries(record)
    .map(
      ([field, value]) =>
        `${field} = ${typeof value === "string" ? JSON.stringify(value) : String(value)}`,
    )
    .join(", ")} }`;

const entryArray = (name: string, entries: readonly Entry[]): string =>
  entries.length === 0
    ? `${name} = []`
    : `${name} = [\n${entries.map((entry) => `  ${inlineTable(entry)},\n`).join("")}]`;

/** Formats a day as a TOML file with one entry per line. */
export const formatDay = (day: Day, site: Site, provenance: string): string =>
  [
    `# Drawn for ${site.name} by \`npm run chaos -- days\`, ${provenance}.`,
    `name = ${JSON.stringify(day.name)}`,
    `seed = ${day.seed}`,
    `length_s = ${day.length_s}`,
    ...(day.closing ? [`closing = ${inlineTable(day.closing)}`] : []),
    entryArray("plan", day.plan),
    entryArray("faults", day.faults),
    "",
  ].join("\n");
