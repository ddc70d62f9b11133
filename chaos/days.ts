import { Draw } from "./draw.js";
import type { Figure, Kind, KindList } from "./kinds.js";

/** What is known of a deployment: its name and its zones. */
export interface Site {
  readonly name: string;
  readonly zones: readonly string[];
}

/** One entry of a day; `at`, `for_s` and `gap_s` in seconds from the start of traffic, as day files write them. */
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

export interface Day {
  readonly name: string;
  readonly seed: number;
  readonly length_s: number;
  readonly closing?: { readonly kind: string; readonly down_s: number; readonly how?: string };
  readonly plan: readonly Entry[];
  readonly faults: readonly Entry[];
}

/** What a drawn day may be. Mixes: a few troubles and changes; many troubles; hundreds of changes with some troubles. */
export const MIXES = ["few", "many", "changes"] as const;
export type Mix = (typeof MIXES)[number];
export const MOST_ORDERS_AT_ONCE = 8;
export const MOST_CHANGES = 300;
const TROUBLES: Readonly<Record<Mix, readonly [number, number]>> = {
  few: [2, 8],
  many: [12, 40],
  changes: [4, 14],
};
const CHANGES: Readonly<Record<Mix, readonly [number, number]>> = {
  few: [2, 10],
  many: [5, 40],
  changes: [100, MOST_CHANGES],
};
/** Nothing begins in the first and in the last seconds. */
const FIRST_AT = 1;
const LAST_S = 3;
const MOST_ROUTES = 400;
const MOST_SHARE = 0.6;

/** A figure around its default, from half of it to twice as much; `open` where there is none. */
const around = (
  draw: Draw,
  figure: Figure,
  open: readonly [number, number],
  most: number,
): number => {
  const [least, top] = figure === "open" ? open : [figure / 2, figure * 2];
  return draw.spread(least, Math.max(least, Math.min(top, most)));
};

const howOf = (draw: Draw, kind: Kind, list: KindList): string => {
  const words: (string | undefined)[] = [];
  if (draw.chance(0.6)) words.push(draw.one(kind.hows));
  if (kind.struck === "servers" && draw.chance(0.06)) words.push(draw.one(list.spread));
  const moved = kind.struck === "machines" || kind.struck === "links";
  if (kind.struck === "links" && draw.chance(0.3)) words.push(draw.one(list.cuts));
  if ((moved || kind.struck === "disks") && draw.chance(0.4)) words.push(draw.one(list.pick));
  if (moved && draw.chance(0.4)) words.push(draw.one(list.meets));
  if (moved) list.returns.forEach((word) => words.push(draw.chance(0.2) ? word : undefined));
  if (kind.name === "roll_term" && draw.chance(0.3)) words.push(draw.one(list.busy));
  return [...new Set(words.filter((word) => word !== undefined))].join(" ");
};

/** One entry of this kind at this moment. */
const entryOf = (draw: Draw, at: number, kind: Kind, list: KindList, site: Site): Entry => {
  const how = howOf(draw, kind, list);
  const order = kind.struck === "orders";
  const onCore = kind.struck === "machines" && kind.share !== undefined && draw.chance(0.5);
  const mostShare = typeof kind.share === "number" ? Math.max(MOST_SHARE, kind.share) : MOST_SHARE;
  const few = onCore && draw.chance(0.7) ? draw.whole(1, 2) : undefined;
  const count =
    kind.count === undefined
      ? few
      : kind.routes
        ? draw.whole(20, MOST_ROUTES)
        : draw.whole(1, order ? 10 : 3);
  // What is a part of things stays one.
  const x =
    kind.x === undefined
      ? undefined
      : kind.atATime
        ? draw.whole(1, 4)
        : around(
            draw,
            kind.x,
            [1.2, 3],
            typeof kind.x === "number" && kind.x < 1 ? 0.95 : Infinity,
          );
  const zones = how.includes("one_zone") ? { to_zone: draw.one(site.zones) } : {};
  const zone =
    (kind.struck === "servers" || kind.struck === "clients") && draw.chance(0.15)
      ? draw.one(site.zones)
      : undefined;
  return {
    at,
    kind: kind.name,
    for_s: draw.spread(0.5, order && kind.stepped ? 6 : 20),
    ...(kind.stepped ? { gap_s: draw.spread(0.1, 2) } : {}),
    ...(kind.share === undefined || few !== undefined
      ? {}
      : { share: around(draw, kind.share, [0.1, 0.5], mostShare) }),
    ...(count === undefined ? {} : { count }),
    ...(x === undefined ? {} : { x }),
    ...(onCore ? { on: "core" } : {}),
    ...(zone === undefined ? {} : { zone }),
    ...(zones.to_zone === undefined ? {} : { to_zone: zones.to_zone }),
    ...(how === "" ? {} : { how }),
  };
};

/** A day's changes: clumps of up to eight orders at one moment. */
const changesOf = (
  draw: Draw,
  kind: Kind | undefined,
  count: number,
  moment: () => number,
): readonly Entry[] => {
  if (kind === undefined) return [];
  const entries: Entry[] = [];
  // No moment is taken twice, so that no two clumps make one that is larger.
  const taken = new Set<number>();
  while (entries.length < count) {
    const at = moment();
    if (taken.has(at)) continue;
    taken.add(at);
    const clump = draw.chance(0.7) ? 1 : draw.whole(2, MOST_ORDERS_AT_ONCE);
    for (let order = 0; order < clump && entries.length < count; order += 1) {
      const how = draw.one(kind.hows);
      entries.push({ at, kind: kind.name, ...(how === undefined ? {} : { how }) });
    }
  }
  return entries;
};

/** One day, a pure function of its seed, the site, the list and the bounds of its length (whole seconds). */
export const drawDay = (
  seed: number,
  site: Site,
  list: KindList,
  length: readonly [number, number],
): Day => {
  const draw = new Draw(seed);
  const mix = MIXES[draw.whole(0, MIXES.length - 1)] ?? "few";
  const length_s = draw.whole(length[0], length[1]);
  const moment = () => draw.between(FIRST_AT, length_s - LAST_S);
  const change = list.kinds.find((kind) => kind.name === "config_change");
  const entries: { readonly book: "plan" | "faults"; readonly entry: Entry }[] = changesOf(
    draw,
    change,
    draw.whole(...CHANGES[mix]),
    moment,
  ).map((entry) => ({ book: "plan", entry }));
  const troubles = list.kinds.filter((kind) => kind !== change);
  for (let left = draw.whole(...TROUBLES[mix]); left > 0; left -= 1) {
    const kind = draw.one(troubles);
    if (kind) entries.push({ book: kind.book, entry: entryOf(draw, moment(), kind, list, site) });
  }
  const close = draw.chance(0.6) ? draw.one(list.closings) : undefined;
  const closeHow = draw.chance(0.4) ? draw.one(list.closingHows) : undefined;
  const down_s = draw.between(0.5, 2);
  const of = (book: "plan" | "faults") =>
    entries
      .filter((one) => one.book === book)
      .map(({ entry }) => entry)
      .sort((a, b) => a.at - b.at);
  return {
    name: `${mix}-${seed}`,
    seed,
    length_s,
    ...(close === undefined
      ? {}
      : { closing: { kind: close, down_s, ...(closeHow === undefined ? {} : { how: closeHow }) } }),
    plan: of("plan"),
    faults: of("faults"),
  };
};

/** The seeds of the days that a seed of a hunt draws: day k is the same, however many are drawn. */
export const seedsOf = (seed: number, count: number): readonly number[] => {
  const draw = new Draw(seed);
  return Array.from({ length: count }, () => draw.whole(1, 2 ** 31 - 1));
};

const inline = (record: object): string =>
  `{ ${Object.entries(record)
    .map(
      ([field, value]) =>
        `${field} = ${typeof value === "string" ? JSON.stringify(value) : String(value)}`,
    )
    .join(", ")} }`;

const block = (name: string, entries: readonly Entry[]): string =>
  entries.length === 0
    ? `${name} = []`
    : `${name} = [\n${entries.map((entry) => `  ${inline(entry)},\n`).join("")}]`;

/** The day as a file, one entry a line. */
export const writeDay = (day: Day, site: Site, from: string): string =>
  [
    `# Drawn for ${site.name} by \`npm run chaos -- days\`, ${from}.`,
    `name = ${JSON.stringify(day.name)}`,
    `seed = ${day.seed}`,
    `length_s = ${day.length_s}`,
    ...(day.closing ? [`closing = ${inline(day.closing)}`] : []),
    block("plan", day.plan),
    block("faults", day.faults),
    "",
  ].join("\n");
