import { asRecord, readList, readString } from "../src/common/decode.js";
import type { Played, Unplayed } from "./journal.js";

/** What is known of a broken rule, from chaos/notes.toml: which day (its key begins so), which rule, what became of it and where it is told. */
export interface Note {
  readonly day: string;
  readonly rule: string;
  readonly state: "mended" | "left";
  readonly told: string;
}

/** Reads `[[note]]` tables; throws a ShapeMishap that names the field which is wrong. */
export const readNotes = (value: unknown): readonly Note[] =>
  readList(asRecord(value, "notes"), "note", (one) => {
    const note = asRecord(one, "note");
    return {
      day: readString(note, "day"),
      rule: readString(note, "rule"),
      state: readString(note, "state") === "mended" ? "mended" : "left",
      told: readString(note, "told"),
    };
  });

/** A rule that a day broke, over all plays of that day at that size, oldest first. */
export interface Finding {
  readonly site: string;
  readonly key: string;
  readonly rule: string;
  readonly times: number;
  readonly entries: readonly string[];
  /** What the latest play of the same day says. */
  readonly nowHeld: boolean;
  readonly state: "mended" | "left" | "open";
  readonly told: string;
}

export interface SiteRow {
  readonly site: string;
  /** Different days played to their end, by whose they are and their size; and all plays with those that repeat a day. */
  readonly days: Readonly<
    Record<Played["whose"], { readonly full: number; readonly small: number }>
  >;
  readonly plays: number;
  /** How many of the plays charged no processor time. */
  readonly uncharged: number;
  readonly givenUp: number;
  readonly partial: number;
  /** Plays of full days, and of small ones, that broke nothing since the last that did. */
  readonly unbroken: { readonly full: number; readonly small: number };
  readonly kinds: readonly (readonly [string, number])[];
  readonly found: number;
  readonly mended: number;
  readonly left: number;
}

export interface Summary {
  readonly since: string;
  readonly rows: readonly SiteRow[];
  readonly findings: readonly Finding[];
  readonly givenUp: readonly Played[];
}

const isBroken = (play: Played): boolean => Object.keys(play.broken).length > 0;

const findingsOf = (plays: readonly Played[], notes: readonly Note[]): readonly Finding[] => {
  const found = new Map<string, Finding>();
  const latest = new Map(plays.map((play) => [play.key, play]));
  plays.forEach((play) =>
    Object.entries(play.broken).forEach(([rule, times]) => {
      const id = `${play.key} ${rule}`;
      const before = found.get(id);
      const note = notes.find((one) => one.rule === rule && play.key.startsWith(one.day));
      const nowHeld = latest.get(play.key)?.broken[rule] === undefined;
      // A note alone mends nothing: the same day must have been played again.
      const state =
        note === undefined ? "open" : note.state === "mended" && !nowHeld ? "open" : note.state;
      found.set(id, {
        site: play.site,
        key: play.key,
        rule,
        times: (before?.times ?? 0) + times,
        entries: [...(before?.entries ?? []), play.entry],
        nowHeld,
        state,
        told: note?.told ?? "",
      });
    }),
  );
  return [...found.values()];
};

const unbrokenOf = (plays: readonly Played[]): number =>
  plays.reduce((row, play) => (isBroken(play) ? 0 : row + 1), 0);

/** Sums what the journal tells; plays in any order. `since` leaves out what began before it (an ISO time; empty: nothing). */
export const summaryOf = (
  allPlays: readonly Played[],
  allUnplayed: readonly Unplayed[],
  notes: readonly Note[],
  since: string,
): Summary => {
  const recent = allPlays
    .filter((play) => play.at >= since)
    .sort((a, b) => (a.at < b.at ? -1 : a.at > b.at ? 1 : 0));
  const plays = recent.filter((play) => play.givenUp === undefined);
  const unplayed = allUnplayed.filter((one) => one.at >= since);
  const findings = findingsOf(plays, notes);
  const sites = [...new Set([...recent, ...unplayed].map(({ site }) => site))].sort();
  const rows = sites.map((site): SiteRow => {
    const here = plays.filter((play) => play.site === site);
    const sized = (whose: Played["whose"], small: boolean) =>
      new Set(
        here.filter((play) => play.whose === whose && play.small === small).map(({ key }) => key),
      ).size;
    const both = (whose: Played["whose"]) => ({
      full: sized(whose, false),
      small: sized(whose, true),
    });
    const kinds = new Map<string, number>();
    here.forEach((play) =>
      play.kinds.forEach((kind) => kinds.set(kind, (kinds.get(kind) ?? 0) + 1)),
    );
    const foundHere = findings.filter((finding) => finding.site === site);
    return {
      site,
      days: { own: both("own"), hunt: both("hunt"), standard: both("standard") },
      plays: here.length,
      uncharged: here.filter((play) => !play.charged).length,
      givenUp: recent.filter((play) => play.site === site && play.givenUp !== undefined).length,
      partial: unplayed.filter((one) => one.site === site).length,
      unbroken: {
        full: unbrokenOf(here.filter((play) => !play.small)),
        small: unbrokenOf(here.filter((play) => play.small)),
      },
      kinds: [...kinds].sort(([a, timesA], [b, timesB]) => timesB - timesA || (a < b ? -1 : 1)),
      found: foundHere.length,
      mended: foundHere.filter(({ state }) => state === "mended").length,
      left: foundHere.filter(({ state }) => state !== "mended").length,
    };
  });
  return { since, rows, findings, givenUp: recent.filter((play) => play.givenUp !== undefined) };
};

const clean = (value: string): string => value.replace(/\|/g, "/").replace(/\s+/g, " ");
const sizes = ({ full, small }: { readonly full: number; readonly small: number }): string =>
  `${full} + ${small}`;

/** One line for each entry and reason, however many of its days were given up for it. */
const givenUpLines = (givenUp: readonly Played[]): readonly string[] => {
  const groups = new Map<string, Played[]>();
  givenUp.forEach((play) => {
    const id = `${play.entry} ${play.site}: ${clean(play.givenUp ?? "").slice(0, 160)}`;
    groups.set(id, [...(groups.get(id) ?? []), play]);
  });
  return [...groups].map(
    ([id, plays]) => `- ${id} (${plays.length === 1 ? plays[0]?.name : `${plays.length} days`})`,
  );
};

/** The page docs/hunts.md. */
export const pageOf = ({ since, rows, findings, givenUp }: Summary): string => {
  const sum = (read: (row: SiteRow) => number) => rows.reduce((total, row) => total + read(row), 0);
  const total = (whose: Played["whose"]) =>
    sizes({ full: sum((row) => row.days[whose].full), small: sum((row) => row.days[whose].small) });
  return [
    "# Hunts",
    "",
    "Made from `journal/` and `chaos/notes.toml` by `npm run chaos -- table`; all figures are simulated. Days are counted once,",
    "however often they were played, as *full + small twins*; a day with other luck is another day. *Own* are days of `chaos/days/`",
    "or drawn by `npm run chaos -- days`, *bench's* are those of its hunts, *standard* those of scores, single runs, incidents and",
    "replays. *Unbroken* is how many plays in a row, up to the newest, broke nothing. A broken rule is *mended* only if a note says",
    "so and the same day, played again, holds it; else it is *left*. A day that was given up or played in part is not counted.",
    "*Uncharged* are plays in which processor time cost nothing (`--no-cpu`).",
    ...(since === "" ? [] : ["", `Only runs that began at ${since} or later are counted.`]),
    "",
    "| deployment | own | bench's | standard | plays (uncharged) | given up | in part or not finished | unbroken | rules broken | mended | left |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
    ...rows.map(
      (row) =>
        `| ${row.site} | ${sizes(row.days.own)} | ${sizes(row.days.hunt)} | ${sizes(row.days.standard)} | ${row.plays} (${row.uncharged}) | ${row.givenUp} | ${row.partial} | ${sizes(row.unbroken)} | ${row.found} | ${row.mended} | ${row.left} |`,
    ),
    `| all | ${total("own")} | ${total("hunt")} | ${total("standard")} | ${sum((row) => row.plays)} (${sum((row) => row.uncharged)}) | ${sum((row) => row.givenUp)} | ${sum((row) => row.partial)} | | ${sum((row) => row.found)} | ${sum((row) => row.mended)} | ${sum((row) => row.left)} |`,
    "",
    "## Kinds of trouble, and in how many plays each came",
    "",
    ...rows.map(
      (row) =>
        `- **${row.site}**: ${row.kinds.map(([kind, times]) => `${kind} ${times}`).join(", ") || "none"}.`,
    ),
    "",
    "## Rules broken",
    "",
    ...(findings.length === 0
      ? ["None."]
      : [
          "| day | rule | times | entries | newest play | state | told in |",
          "|---|---|---|---|---|---|---|",
          ...findings.map(
            (finding) =>
              `| ${clean(finding.key)} | ${finding.rule} | ${finding.times} | ${finding.entries.join(", ")} | ${finding.nowHeld ? "held" : "broken"} | ${finding.state} | ${clean(finding.told)} |`,
          ),
        ]),
    ...(givenUp.length === 0 ? [] : ["", "## Days given up", "", ...givenUpLines(givenUp)]),
    "",
  ].join("\n");
};
