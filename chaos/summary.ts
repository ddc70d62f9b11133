/** Summarizes the runs of the journal per deployment. */
import { asRecord, readList, readString } from "../src/common/decode.js";
import type { DayRun, PartialRun } from "./journal.js";

/**
 * State of a violated rule, from chaos/notes.toml. `day` is a prefix of the keys of the days that
 * the note applies to; `told` is the page that describes the fault.
 */
export interface Note {
  readonly day: string;
  readonly rule: string;
  readonly state: "mended" | "left";
  readonly told: string;
}

/** Reads `[[note]]` tables. Throws a DecodeError that names the invalid field. */
export const readNotes = (value: unknown): readonly Note[] =>
  readList(asRecord(value, "notes"), "note", (partialRun) => {
    const note = asRecord(partialRun, "note");
    return {
      day: readString(note, "day"),
      rule: readString(note, "rule"),
      state: readString(note, "state") === "mended" ? "mended" : "left",
      told: readString(note, "told"),
    };
  });

/** A rule violated by a day, over all runs of that day at that size, oldest first. */
export interface Finding {
  readonly site: string;
  readonly key: string;
  readonly rule: string;
  readonly times: number;
  readonly entries: readonly string[];
  /** Whether the latest run of the same day did not violate the rule. */
  readonly nowHeld: boolean;
  readonly state: "mended" | "left" | "open";
  readonly told: string;
}

/** Totals of one deployment. */
export interface SiteRow {
  readonly site: string;
  /** Number of distinct days that were completed, by origin and size. */
  readonly days: Readonly<
    Record<DayRun["origin"], { readonly full: number; readonly small: number }>
  >;
  readonly plays: number;
  /** Number of runs that did not simulate the cost of processor time. */
  readonly uncharged: number;
  readonly givenUp: number;
  readonly partial: number;
  /** Number of runs since the last one that violated a rule, for full and for small days. */
  readonly unbroken: { readonly full: number; readonly small: number };
  readonly kinds: readonly (readonly [string, number])[];
  readonly found: number;
  readonly mended: number;
  readonly left: number;
}

/** Summary of the journal. */
export interface Summary {
  readonly since: string;
  readonly rows: readonly SiteRow[];
  readonly findings: readonly Finding[];
  readonly givenUp: readonly DayRun[];
}

const hasViolations = (run: DayRun): boolean => Object.keys(run.violations).length > 0;

const findingsOf = (runs: readonly DayRun[], notes: readonly Note[]): readonly Finding[] => {
  const found = new Map<string, Finding>();
  const latest = new Map(runs.map((run) => [run.key, run]));
  runs.forEach((run) =>
    Object.entries(run.violations).forEach(([rule, times]) => {
      const id = `${run.key} ${rule}`;
      const before = found.get(id);
      const note = notes.find(
        (candidate) => candidate.rule === rule && run.key.startsWith(candidate.day),
      );
      const nowHeld = latest.get(run.key)?.violations[rule] === undefined;
      // A note alone is not enough: the latest run of the same day must not violate the rule.
      const state =
        note === undefined ? "open" : note.state === "mended" && !nowHeld ? "open" : note.state;
      found.set(id, {
        site: run.site,
        key: run.key,
        rule,
        times: (before?.times ?? 0) + times,
        entries: [...(before?.entries ?? []), run.entry],
        nowHeld,
        state,
        told: note?.told ?? "",
      });
    }),
  );
  return [...found.values()];
};

const unbrokenOf = (runs: readonly DayRun[]): number =>
  runs.reduce((streak, run) => (hasViolations(run) ? 0 : streak + 1), 0);

/**
 * Summarizes runs, which may be in any order. Runs that began before `since` (an ISO time) are left
 * out; an empty `since` includes all.
 */
export const summarize = (
  allRuns: readonly DayRun[],
  allPartialRuns: readonly PartialRun[],
  notes: readonly Note[],
  since: string,
): Summary => {
  const recent = allRuns
    .filter((run) => run.at >= since)
    .sort((a, b) => (a.at < b.at ? -1 : a.at > b.at ? 1 : 0));
  const runs = recent.filter((run) => run.abortReason === undefined);
  const partialRuns = allPartialRuns.filter((run) => run.at >= since);
  const findings = findingsOf(runs, notes);
  const sites = [...new Set([...recent, ...partialRuns].map(({ site }) => site))].sort();
  const rows = sites.map((site): SiteRow => {
    const siteRuns = runs.filter((run) => run.site === site);
    const countDays = (origin: DayRun["origin"], small: boolean) =>
      new Set(
        siteRuns
          .filter((run) => run.origin === origin && run.isSmall === small)
          .map(({ key }) => key),
      ).size;
    const countBySize = (origin: DayRun["origin"]) => ({
      full: countDays(origin, false),
      small: countDays(origin, true),
    });
    const kinds = new Map<string, number>();
    siteRuns.forEach((run) =>
      run.kinds.forEach((kind) => kinds.set(kind, (kinds.get(kind) ?? 0) + 1)),
    );
    const siteFindings = findings.filter((finding) => finding.site === site);
    return {
      site,
      days: {
        own: countBySize("own"),
        hunt: countBySize("hunt"),
        standard: countBySize("standard"),
      },
      plays: siteRuns.length,
      uncharged: siteRuns.filter((run) => !run.isCpuCharged).length,
      givenUp: recent.filter((run) => run.site === site && run.abortReason !== undefined).length,
      partial: partialRuns.filter((run) => run.site === site).length,
      unbroken: {
        full: unbrokenOf(siteRuns.filter((run) => !run.isSmall)),
        small: unbrokenOf(siteRuns.filter((run) => run.isSmall)),
      },
      kinds: [...kinds].sort(([a, timesA], [b, timesB]) => timesB - timesA || (a < b ? -1 : 1)),
      found: siteFindings.length,
      mended: siteFindings.filter(({ state }) => state === "mended").length,
      left: siteFindings.filter(({ state }) => state !== "mended").length,
    };
  });
  return { since, rows, findings, givenUp: recent.filter((run) => run.abortReason !== undefined) };
};
