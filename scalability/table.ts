import { readFile } from "node:fs/promises";
import { linearRegression, linearRegressionLine, rSquared } from "simple-statistics";
import {
  asRecord,
  readList,
  parseJson,
  readString,
  readNumber,
  type UnknownRecord,
} from "../src/common/decode.js";

/** Generates the tables of docs/CAPACITY.md from committed results. */
interface Point {
  readonly x: number;
  readonly y: number;
}

const numberAt = (record: UnknownRecord, path: string): number => {
  const fields = path.split(".");
  const last = fields.pop() ?? "";
  return readNumber(
    fields.reduce<UnknownRecord>((inner, field) => asRecord(inner[field]), record),
    last,
  );
};

const framesOf = (
  record: UnknownRecord,
  path: string,
  what: "frames" | "bytes",
  kinds?: readonly string[],
): number => {
  const sent = asRecord(
    path.split(".").reduce<UnknownRecord>((inner, field) => asRecord(inner[field]), record)["sent"],
  );
  return Object.entries(sent).reduce(
    (sum, [kind, counts]) =>
      kinds && !kinds.includes(kind) ? sum : sum + readNumber(asRecord(counts), what),
    0,
  );
};

const restSeconds = (result: UnknownRecord): number => numberAt(result, "atRest.seconds");
const controllers = (result: UnknownRecord): number => numberAt(result, "size.boxes");
const nodes = (result: UnknownRecord): number => numberAt(result, "size.nodes");

/** The metrics read from each result, labelled with their units. */
const METRICS: readonly (readonly [string, (result: UnknownRecord) => number])[] = [
  [
    "controller, processor at rest, % of a core (mean of all)",
    (r) => numberAt(r, "atRest.boxes.cpuUs") / 10_000 / restSeconds(r) / controllers(r),
  ],
  [
    "controller, messages sent a second (mean of all)",
    (r) => framesOf(r, "atRest.boxes", "frames") / restSeconds(r) / controllers(r),
  ],
  [
    "controller, KB sent a second (mean of all)",
    (r) => framesOf(r, "atRest.boxes", "bytes") / 1_024 / restSeconds(r) / controllers(r),
  ],
  ["controller, resident MB (largest)", (r) => numberAt(r, "atRest.boxes.rssMb")],
  ["controller, heap MB (largest)", (r) => numberAt(r, "atRest.boxes.heapMb")],
  [
    "node, processor at rest, % of a core",
    (r) => numberAt(r, "atRest.nodes.cpuUs") / 10_000 / restSeconds(r) / nodes(r),
  ],
  [
    "node, KB sent a second at rest",
    (r) => framesOf(r, "atRest.nodes", "bytes") / 1_024 / restSeconds(r) / nodes(r),
  ],
  ["one change, ms to its acknowledgement", (r) => numberAt(r, "change.acknowledgedUs") / 1_000],
  ["one change, ms from there to the last node", (r) => numberAt(r, "change.lastNodeUs") / 1_000],
  [
    "one change, update frames in all",
    (r) =>
      framesOf(r, "change.boxes", "frames", ["news"]) +
      framesOf(r, "change.nodes", "frames", ["news"]),
  ],
  ["all nodes join at once, s", (r) => numberAt(r, "joinedUs") / 1_000_000],
  [
    "a seventh restarts, s until all have all updates",
    (r) => numberAt(r, "restart.tookUs") / 1_000_000,
  ],
  [
    "a seventh restarts, controllers' processor ms a node",
    (r) => numberAt(r, "restart.boxes.cpuUs") / 1_000 / numberAt(r, "restart.nodes"),
  ],
  [
    "a controller is killed, s until every node has a session",
    (r) => numberAt(r, "boxKilled.tookUs") / 1_000_000,
  ],
];

const round = (value: number): string =>
  Math.abs(value) >= 100
    ? value.toFixed(0)
    : Math.abs(value) >= 1
      ? value.toFixed(2)
      : value.toPrecision(2);

const rowOf = (name: string, points: readonly Point[]): string => {
  const pairs = points.map(({ x, y }) => [x, y]);
  const fit = linearRegression(pairs);
  const line = linearRegressionLine(fit);
  const maxResidual = Math.max(...points.map(({ x, y }) => Math.abs(y - line(x))));
  return `| ${name} | ${points.map(({ y }) => round(y)).join(" / ")} | ${round(fit.b)} + ${fit.m.toPrecision(2)} x | ${points.length > 2 ? rSquared(pairs, line).toFixed(2) : "-"} | ${round(maxResidual)} |`;
};

const tableOf = (file: UnknownRecord): string => {
  const dimension = readString(file, "what");
  const all = readList(file, "results", (value) => asRecord(value));
  const succeeded = all.filter((result) => result["failed"] === undefined);
  const failed = all
    .filter((result) => result["failed"] !== undefined)
    .map((result) => `${numberAt(result, `size.${dimension}`)}: ${readString(result, "failed")}`);
  const sizes = succeeded.map((result) => numberAt(result, `size.${dimension}`));
  const loads = succeeded.map((result) => round(numberAt(result, "loadAverage")));
  const fixedSizes = Object.entries(asRecord(succeeded[0]?.["size"] ?? {}))
    .filter(([field]) => field !== dimension)
    .map(([field, value]) => `${field} ${String(value)}`);
  return [
    `**By ${dimension}** (${sizes.join(" / ")}; ${fixedSizes.join(", ")}; commit ${readString(file, "commit")}; load of the machine ${loads.join(" / ")})`,
    "",
    `| figure | measured | line through it, x = ${dimension} | R2 | farthest point from it |`,
    "|---|---|---|---|---|",
    ...METRICS.map(([name, read]) =>
      rowOf(
        name,
        succeeded.map((result) => ({ x: numberAt(result, `size.${dimension}`), y: read(result) })),
      ),
    ),
    ...(failed.length > 0 ? ["", ...failed.map((why) => `Failed at ${why}.`)] : []),
    "",
  ].join("\n");
};

for (const path of process.argv.slice(2))
  process.stdout.write(`${tableOf(asRecord(parseJson(await readFile(path, "utf8"))))}\n`);
