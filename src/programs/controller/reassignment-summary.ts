/**
 * Aggregates the nodes' forecasts of the requests that a change of backends would reassign. Field
 * names are those of the nodes' answers and of the admin API.
 */
import type { NodeAnswer } from "../../membership/cluster.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import {
  confidenceHalfWidth,
  joinConfidenceHalfWidth,
  coefficientOfVariation,
} from "../../proxy/reassignment-forecast.js";
import {
  asNumber,
  asRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../../common/decode.js";
import { SECOND_US } from "../../common/duration.js";

/** Workers whose slots would be utilized at this share or above are reported. */
const HIGH_UTILIZATION = 0.8;

/** The load of one worker, summed over all nodes. */
interface LoadSum {
  readonly perSNow: number;
  readonly perSThen: number;
  /** Number of slots that would be in use. */
  readonly busySlots: number;
}

const NO_LOAD: LoadSum = { perSNow: 0, perSThen: 0, busySlots: 0 };

const sumField = (rows: readonly UnknownRecord[], field: string): number =>
  rows.reduce((sum, row) => sum + readNumber(row, field), 0);

/** The mean of a field, weighted by the requests of each row. */
const weightedMean = (rows: readonly UnknownRecord[], field: string): number =>
  rows.reduce((sum, row) => sum + readNumber(row, field) * readNumber(row, "calls"), 0) /
  Math.max(1, sumField(rows, "calls"));

/** The mean of each simulated draw over the nodes, weighted by the requests of each node. */
const meanDraws = (rows: readonly UnknownRecord[], requests: number): readonly number[] => {
  const draws = rows.map((row) => readList(row, "draws", asNumber));
  return (draws[0] ?? []).map(
    (_share, drawIndex) =>
      rows.reduce(
        (sum, row, rowIndex) =>
          sum + (draws[rowIndex]?.[drawIndex] ?? 0) * readNumber(row, "calls"),
        0,
      ) / Math.max(1, requests),
  );
};

const sharesByZone = (
  rows: readonly UnknownRecord[],
  requests: number,
): Readonly<Record<string, number>> => {
  const shares: Record<string, number> = {};
  rows.forEach((row) =>
    Object.entries(asRecord(row["toCells"])).forEach(([zone, share]) => {
      const weighted = (asNumber(share) * readNumber(row, "calls")) / Math.max(1, requests);
      shares[zone] = (shares[zone] ?? 0) + weighted;
    }),
  );
  return shares;
};

/**
 * Aggregates the nodes' rows of one service, kind and route. All nodes see the same fast and slow
 * workers, so their deviations are correlated and their confidence intervals don't average out.
 */
export const aggregateRows = (
  rows: readonly UnknownRecord[],
  loadVariation: number,
): UnknownRecord => {
  const calls = sumField(rows, "calls");
  const first = rows[0] ?? {};
  const draws = meanDraws(rows, calls);
  const moved = weightedMean(rows, "moved");
  const halfWidth =
    draws.length > 1
      ? joinConfidenceHalfWidth(moved, calls, loadVariation)
      : confidenceHalfWidth(moved, calls);
  const toCells = sharesByZone(rows, calls);
  return {
    service: first["service"],
    kind: first["kind"],
    ...(first["route"] === "" ? {} : { route: first["route"] }),
    calls,
    perS: sumField(rows, "perS"),
    moved,
    low: Math.max(0, Math.min(...draws) - halfWidth),
    high: Math.min(1, Math.max(...draws) + halfWidth),
    leave: weightedMean(rows, "leave"),
    join: weightedMean(rows, "join"),
    toCells,
    newConnections: sumField(rows, "newConnections"),
  };
};

/** Calls `visit` with each row of a list in the nodes' answers. */
const forEachRow = (
  answers: readonly NodeAnswer[],
  field: string,
  visit: (row: UnknownRecord) => void,
): void =>
  answers.forEach(({ answer }) => readList(answer ?? {}, field, (value) => visit(asRecord(value))));

/** The coefficient of variation of the current request rates of the given workers. */
export const requestRateVariation = (
  workers: readonly string[],
  answers: readonly NodeAnswer[],
): number => {
  const sums = new Map(workers.map((id) => [id, 0]));
  forEachRow(answers, "loads", (row) => {
    const [id, perS] = [readString(row, "worker"), readNumber(row, "perSNow")];
    const sum = sums.get(id);
    if (sum !== undefined) sums.set(id, sum + perS);
  });
  return coefficientOfVariation([...sums.values()]);
};

const sumLoads = (answers: readonly NodeAnswer[]): ReadonlyMap<string, LoadSum> => {
  const sums = new Map<string, LoadSum>();
  forEachRow(answers, "loads", (row) => {
    const worker = readString(row, "worker");
    const sum = sums.get(worker) ?? NO_LOAD;
    const [perSNow, perSThen] = [readNumber(row, "perSNow"), readNumber(row, "perSThen")];
    sums.set(worker, {
      perSNow: sum.perSNow + perSNow,
      perSThen: sum.perSThen + perSThen,
      busySlots: sum.busySlots + perSThen * (readNumber(row, "tookUs") / SECOND_US),
    });
  });
  return sums;
};

/** The workers whose load would rise to {@link HIGH_UTILIZATION} of their capacity or above. */
export const findHighlyUtilizedWorkers = (
  answers: readonly NodeAnswer[],
  registry: WorkerRegistry,
): readonly UnknownRecord[] =>
  [...sumLoads(answers)].flatMap(([worker, { perSNow, perSThen, busySlots }]) => {
    const heartbeat = registry.get(worker);
    if (!heartbeat || perSThen <= perSNow) return [];
    const usedPart = busySlots / heartbeat.capacity;
    if (!(usedPart >= HIGH_UTILIZATION)) return [];
    const { service, zone } = heartbeat;
    return [{ worker, service, cell: zone, perSNow, perSThen, usedPart }];
  });
