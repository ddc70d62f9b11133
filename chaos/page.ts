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
    "Generated from `journal/` and `chaos/notes.toml` by `npm run chaos -- table`; all figures are simulated. Each day is counted",
    "once, however often it was run, as *full + small*; the same day with another seed is a different day. *Own* days are those of",
    "`chaos/days/` and `npm run chaos -- days`, *hunt* days those of the bench's fault campaigns, *standard* days those of scores,",
    "single runs, incidents and replays. *Unbroken* is the number of runs since the last one that violated a rule. A violated rule is",
    "*mended* only if a note says so and the latest run of the same day does not violate it; otherwise it is *left*. Aborted and partial",
    "runs are not counted. *Uncharged* runs do not simulate the cost of processor time (`--no-cpu`).",
    ...(since === "" ? [] : ["", `Only runs started at ${since} or later are counted.`]),
    "",
    "| deployment | own | hunt | standard | runs (uncharged) | aborted | partial | unbroken | rules violated | mended | left |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
    ...rows.map(
      (row) =>
        `| ${row.site} | ${formatSizes(row.days.own)} | ${formatSizes(row.days.hunt)} | ${formatSizes(row.days.standard)} | ${row.plays} (${row.uncharged}) | ${row.givenUp} | ${row.partial} | ${formatSizes(row.unbroken)} | ${row.found} | ${row.mended} | ${row.left} |`,
    ),
    `| all | ${total("own")} | ${total("hunt")} | ${total("standard")} | ${sum((row) => row.plays)} (${sum((row) => row.uncharged)}) | ${sum((row) => row.givenUp)} | ${sum((row) => row.partial)} | | ${sum((row) => row.found)} | ${sum((row) => row.mended)} | ${sum((row) => row.left)} |`,
    "",
    "## Kinds of faults and changes, with the number of runs of each",
    "",
    ...rows.map(
      (row) =>
        `- **${row.site}**: ${row.kinds.map(([kind, times]) => `${kind} ${times}`).join(", ") || "none"}.`,
    ),
    "",
    "## Rules violated",
    "",
    ...(findings.length === 0
      ? ["None."]
      : [
          "| day | rule | times | entries | latest run | state | page |",
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
