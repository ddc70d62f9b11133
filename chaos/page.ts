/** Formats the summary of the journal as a Markdown page. */
import type { DayRun } from "./journal.js";
import type { SiteRow, Summary } from "./summary.js";

const escapeCell = (value: string): string => value.replace(/\|/g, "/").replace(/\s+/g, " ");
const formatSizes = ({ full, small }: { readonly full: number; readonly small: number }): string =>
  `${full} + ${small}`;

/** One line per entry and reason, which covers all days of the entry aborted for that reason. */
const abortedLines = (givenUp: readonly DayRun[]): readonly string[] => {
  const groups = new Map<string, DayRun[]>();
  givenUp.forEach((run) => {
    const id = `${run.entry} ${run.site}: ${escapeCell(run.abortReason ?? "").slice(0, 160)}`;
    groups.set(id, [...(groups.get(id) ?? []), run]);
  });
  return [...groups].map(
    ([id, runs]) => `- ${id} (${runs.length === 1 ? runs[0]?.name : `${runs.length} days`})`,
  );
};

/** Formats the page docs/chaos.md. */
export const formatPage = ({ since, rows, findings, givenUp }: Summary): string => {
  const sum = (read: (row: SiteRow) => number) => rows.reduce((total, row) => total + read(row), 0);
  const total = (origin: DayRun["origin"]) =>
    formatSizes({
      full: sum((row) => row.days[origin].full),
      small: sum((row) => row.days[origin].small),
    });
  return [
    "# Fault campaigns",
    "",
    "Made from `journal/` and `chaos/notes.toml` by `npm run chaos -- table`; all figures are simulated. Days are counted once,",
    "however often they were run, as *full + small twins*; a day with another seed is another day. *Own* are days of `chaos/days/`",
    "or drawn by `npm run chaos -- days`, *bench's* are those of its fault campaigns, *standard* those of scores, single runs,",
    "incidents and replays. *Unbroken* is how many runs in a row, up to the newest, broke nothing. A broken rule is *mended* only if",
    "a note says so and the same day, run again, holds it; else it is *left*. A day that was aborted or run in part is not counted.",
    "*Uncharged* are runs in which processor time cost nothing (`--no-cpu`).",
    ...(since === "" ? [] : ["", `Only runs that began at ${since} or later are counted.`]),
    "",
    "| deployment | own | bench's | standard | runs (uncharged) | aborted | in part or not finished | unbroken | rules broken | mended | left |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
    ...rows.map(
      (row) =>
        `| ${row.site} | ${formatSizes(row.days.own)} | ${formatSizes(row.days.hunt)} | ${formatSizes(row.days.standard)} | ${row.plays} (${row.uncharged}) | ${row.givenUp} | ${row.partial} | ${formatSizes(row.unbroken)} | ${row.found} | ${row.mended} | ${row.left} |`,
    ),
    `| all | ${total("own")} | ${total("hunt")} | ${total("standard")} | ${sum((row) => row.plays)} (${sum((row) => row.uncharged)}) | ${sum((row) => row.givenUp)} | ${sum((row) => row.partial)} | | ${sum((row) => row.found)} | ${sum((row) => row.mended)} | ${sum((row) => row.left)} |`,
    "",
    "## Kinds of faults and changes, and in how many runs each came",
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
          "| day | rule | times | entries | newest run | state | page |",
          "|---|---|---|---|---|---|---|",
          ...findings.map(
            (finding) =>
              `| ${escapeCell(finding.key)} | ${finding.rule} | ${finding.times} | ${finding.entries.join(", ")} | ${finding.nowHeld ? "held" : "broken"} | ${finding.state} | ${escapeCell(finding.told)} |`,
          ),
        ]),
    ...(givenUp.length === 0 ? [] : ["", "## Aborted days", "", ...abortedLines(givenUp)]),
    "",
  ].join("\n");
};
