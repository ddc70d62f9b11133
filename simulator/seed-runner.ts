/** Runs ranges of seeds in worker threads and reports the result of each seed. */
import { Worker } from "node:worker_threads";
import {
  asRecord,
  asString,
  readBoolean,
  readList,
  readNumber,
  readString,
} from "../src/common/decode.js";
import { violationsOf } from "./invariants.js";
import { generateSchedule } from "./schedule-generator.js";
import { faultKindOf, type Event } from "./schedule.js";
import { shrink } from "./shrink.js";
import { simulate } from "./simulation.js";

/** The seeds that one thread runs: every `step`th from `from` up to, but excluding, `to`. */
export interface SeedRange {
  readonly from: number;
  readonly to: number;
  readonly step: number;
  readonly deployment: string;
  readonly exceedsTolerance: boolean;
  /** A kind of fault; empty if it is drawn from the seed. */
  readonly frequentFault: string;
  readonly shrinks: boolean;
}

/** The result of one seed. */
export interface SeedResult {
  readonly seed: number;
  readonly events: number;
  readonly changes: number;
  readonly confirmed: number;
  /** Descriptions of the violations, each prefixed with the name of its invariant. */
  readonly violations: readonly string[];
  /** The events of the shortest schedule found that violates the first invariant, one per line. */
  readonly shortest: readonly string[];
  readonly shortestViolation: string;
}

const formatEvent = ({ atUs, kind, ...more }: Event): string =>
  `${(atUs / 1_000_000).toFixed(3).padStart(7)} s  ${kind} ${JSON.stringify(more)}`;

const simulateSeed = async (seed: number, range: SeedRange): Promise<SeedResult> => {
  const { deployment, exceedsTolerance, shrinks } = range;
  const frequentFault = faultKindOf(range.frequentFault);
  const schedule = generateSchedule(seed, deployment, {
    exceedsTolerance,
    ...(frequentFault ? { frequentFault } : {}),
  });
  const outcome = await simulate(schedule);
  const violations = violationsOf(outcome, schedule);
  const { history, eventCount } = outcome;
  const [first] = violations;
  const shrunk = first && shrinks ? await shrink(schedule, first) : undefined;
  const confirmed = history.attempts.filter(({ result }) => result === "ok");
  return {
    seed,
    events: eventCount,
    changes: history.changes.size,
    confirmed: new Set(confirmed.map(({ change }) => change)).size,
    violations: violations.map(({ invariant, description }) => `${invariant}: ${description}`),
    shortest: (shrunk?.schedule.events ?? []).map(formatEvent),
    shortestViolation: shrunk?.violation.description ?? "",
  };
};

/** Runs the seeds of a range sequentially. */
export const simulateRange = async (
  range: SeedRange,
  report: (result: SeedResult) => void,
): Promise<void> => {
  for (let seed = range.from; seed < range.to; seed += range.step)
    report(await simulateSeed(seed, range));
};

/**
 * Distributes a range over `threads` worker threads that run `script`. Resolves when all have
 * exited; rejects if one fails.
 */
export const simulateInThreads = async (
  script: URL,
  range: SeedRange,
  threads: number,
  report: (result: SeedResult) => void,
): Promise<void> => {
  await Promise.all(
    Array.from(
      { length: threads },
      (_none, at) =>
        new Promise<void>((resolve, reject) => {
          const worker = new Worker(script, {
            workerData: { ...range, from: range.from + at, step: threads },
          });
          worker.on("message", (value) => report(readSeedResult(value)));
          worker.on("error", reject);
          worker.on("exit", () => resolve());
        }),
    ),
  );
};

/** Decodes the data passed to a worker thread; throws a DecodeError that names an invalid field. */
export const readSeedRange = (value: unknown): SeedRange => {
  const record = asRecord(value, "range");
  return {
    from: readNumber(record, "from"),
    to: readNumber(record, "to"),
    step: readNumber(record, "step"),
    deployment: readString(record, "deployment"),
    exceedsTolerance: readBoolean(record, "exceedsTolerance"),
    frequentFault: readString(record, "frequentFault"),
    shrinks: readBoolean(record, "shrinks"),
  };
};

const readSeedResult = (value: unknown): SeedResult => {
  const record = asRecord(value, "a worker's result");
  const number = (field: string) => readNumber(record, field);
  return {
    seed: number("seed"),
    events: number("events"),
    changes: number("changes"),
    confirmed: number("confirmed"),
    violations: readList(record, "violations", asString),
    shortest: readList(record, "shortest", asString),
    shortestViolation: readString(record, "shortestViolation"),
  };
};
