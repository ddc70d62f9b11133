import { mean, probit, sampleStandardDeviation } from "simple-statistics";
import type { RequestCount } from "./request-counters.js";
import { subsetOf, type NodeCount, type SubsetCandidate, type Subset } from "./subset.js";

/** A planned change: backends to add, by service and cell, and workers to retire. */
export interface BackendChange {
  readonly add: readonly {
    readonly service: string;
    readonly cell: string;
    readonly count: number;
  }[];
  readonly retire: readonly string[];
  readonly byRoute: boolean;
}

/**
 * One node's view of one service, and the planned change. `calls` were counted over `spanUs`
 * microseconds.
 */
export interface ReassignmentQuery {
  readonly node: string;
  readonly zone: string;
  readonly nodeCount: NodeCount;
  readonly service: string;
  /** The ready workers of the service. */
  readonly workers: readonly SubsetCandidate[];
  readonly calls: readonly RequestCount[];
  readonly spanUs: number;
  readonly change: BackendChange;
}

/** Forecast for one node's requests of one kind (and route) to one service. */
export interface ReassignmentRow {
  readonly service: string;
  readonly kind: string;
  readonly route: string;
  /** The number of requests on which the shares are based, and their rate per second. */
  readonly calls: number;
  readonly perS: number;
  /**
   * The share of requests that would move to another worker, and its confidence interval. The
   * observed share lies within the interval with probability CONFIDENCE.
   */
  readonly moved: number;
  readonly low: number;
  readonly high: number;
  /**
   * The share of requests to workers that would leave the subset, and the share that workers
   * joining the subset would receive.
   */
  readonly leave: number;
  readonly join: number;
  readonly joinLow: number;
  readonly joinHigh: number;
  /** The share of all requests that would go to each cell after the change. */
  readonly toCells: Readonly<Record<string, number>>;
  readonly leavers: readonly string[];
  readonly newConnections: number;
  /**
   * The moved share for each set of placeholder names of the added workers; all nodes use the same
   * sets.
   */
  readonly draws: readonly number[];
}

/** Requests per second that the node sends to a worker now, and would send after the change. */
export interface LoadRow {
  readonly worker: string;
  readonly perSNow: number;
  readonly perSThen: number;
}

/** The forecast of one node for one service. */
export interface ReassignmentForecast {
  readonly rows: readonly ReassignmentRow[];
  /** The workers to which the node currently sends requests. */
  readonly subset: readonly string[];
  readonly loads: readonly LoadRow[];
}

/** Probability with which the confidence intervals of the forecast contain the observed shares. */
export const CONFIDENCE = 0.9;
/** Minimum number of requests for which a share is reported. */
export const MIN_REQUESTS = 30;
/**
 * Number of placeholder names tried for each added worker. The name of an added worker is not known
 * yet, and it determines which subsets the worker joins.
 */
export const PLACEHOLDER_NAME_SAMPLES = 16;
/**
 * Factor by which the variance of a share exceeds that of independent requests. Requests are not
 * independent, because the load balancer follows workers that are fast or slow for a while (see
 * features/reassignment-forecast.feature).
 */
const OVERDISPERSION = 6;

/**
 * Returns the coefficient of variation of the number of requests per worker over the entire fleet.
 */
export const coefficientOfVariation = (perWorker: readonly number[]): number =>
  perWorker.length < 2 ? 0 : sampleStandardDeviation(perWorker) / Math.max(1e-9, mean(perWorker));

const localityGroups = (
  subset: Subset<SubsetCandidate>,
): readonly (readonly SubsetCandidate[])[] => [subset.local, subset.remote];
const idsOf = (workers: readonly SubsetCandidate[]): ReadonlySet<string> =>
  new Set(workers.map(({ id }) => id));

interface Shift {
  readonly moved: number;
  readonly leave: number;
  readonly join: number;
  /** Coefficient of variation of the request shares of the local workers before the change. */
  readonly unevenness: number;
  readonly leavers: readonly string[];
  readonly joiners: number;
  /** The share of requests of each worker after the change. */
  readonly after: ReadonlyMap<string, number>;
}

/**
 * Computes how request shares change from one subset to another. Within the local and the remote
 * group, each joining worker gets an equal part of the group's requests, and the staying workers
 * share the rest in their previous proportions. The moved share is that of the leaving workers; if
 * backends are added, it is the share of the joining workers where that is greater.
 */
const computeShift = (
  before: Subset<SubsetCandidate>,
  after: Subset<SubsetCandidate>,
  shareOf: (id: string) => number,
  isAdding: boolean,
): Shift => {
  let [moved, leave, join, joiners] = [0, 0, 0, 0];
  const unevenness = coefficientOfVariation(before.local.map(({ id }) => shareOf(id)));
  const leavers: string[] = [];
  const sharesAfter = new Map<string, number>();
  localityGroups(before).forEach((group, at) => {
    const next = localityGroups(after)[at] ?? [];
    const [idsBefore, idsAfter] = [idsOf(group), idsOf(next)];
    const total = group.reduce((sum, { id }) => sum + shareOf(id), 0);
    const leaving = group.filter(({ id }) => !idsAfter.has(id));
    const joining = next.filter(({ id }) => !idsBefore.has(id));
    const leavingShare = leaving.reduce((sum, { id }) => sum + shareOf(id), 0);
    const joiningShare = next.length === 0 ? 0 : (total * joining.length) / next.length;
    moved += isAdding ? Math.max(leavingShare, joiningShare) : leavingShare;
    leave += leavingShare;
    join += joiningShare;
    joiners += joining.length;
    leavers.push(...leaving.map(({ id }) => id));
    const staying = next.filter(({ id }) => idsBefore.has(id));
    const scale = total - leavingShare > 0 ? (total - joiningShare) / (total - leavingShare) : 0;
    staying.forEach(({ id }) =>
      sharesAfter.set(
        id,
        scale > 0 ? shareOf(id) * scale : (total - joiningShare) / staying.length,
      ),
    );
    joining.forEach(({ id }) => sharesAfter.set(id, total / next.length));
  });
  return { moved, leave, join, unevenness, leavers, joiners, after: sharesAfter };
};

/**
 * Returns half the width of the confidence interval of a share that is estimated from a number of
 * requests and observed in as many.
 */
export const confidenceHalfWidth = (share: number, calls: number): number => {
  const z = probit((1 + CONFIDENCE) / 2);
  const smoothed = (share * calls + 1) / (calls + 2);
  return z * Math.sqrt((OVERDISPERSION * 2 * smoothed * (1 - smoothed)) / Math.max(1, calls));
};

/**
 * Returns half the width of the confidence interval of the share of joining workers. Their latency
 * is unknown, so their shares are assumed to vary as much as those of the current workers.
 */
export const joinConfidenceHalfWidth = (
  join: number,
  calls: number,
  unevenness: number,
): number => {
  const z = probit((1 + CONFIDENCE) / 2);
  return Math.hypot(confidenceHalfWidth(join, calls), z * unevenness * join);
};

const sumBy = (
  calls: readonly RequestCount[],
  keyOf: (call: RequestCount) => string,
): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  calls.forEach((call) => sums.set(keyOf(call), (sums.get(keyOf(call)) ?? 0) + call.count));
  return sums;
};

/**
 * Forecasts the effect of a change for one node and one service. The function is pure: it has no
 * side effects, uses no random numbers, and calls the same subsetting function as the load
 * balancer.
 */
// eslint-disable-next-line max-lines-per-function -- one computation, whose steps share most of their values
export const forecastReassignment = ({
  node,
  zone,
  nodeCount: nodes,
  service,
  workers,
  calls,
  spanUs,
  change,
}: ReassignmentQuery): ReassignmentForecast => {
  const remaining = workers.filter(({ id }) => !change.retire.includes(id));
  const additions = change.add.filter((one) => one.service === service);
  const before = subsetOf(node, zone, workers, nodes);
  const afterOf = (draw: number): Subset<SubsetCandidate> =>
    subsetOf(
      node,
      zone,
      [
        ...remaining,
        ...additions.flatMap((one, at) =>
          Array.from({ length: one.count }, (_none, index) => ({
            id: `to-come-${draw}-${at}-${index}`,
            zone: one.cell,
          })),
        ),
      ],
      nodes,
    );
  const afters = Array.from(
    { length: additions.length > 0 ? PLACEHOLDER_NAME_SAMPLES : 1 },
    (_none, draw) => afterOf(draw),
  );
  const cellOf = new Map(workers.map((worker) => [worker.id, worker.zone]));
  const groups = sumBy(calls, (call) =>
    change.byRoute ? `${call.kind}\n${call.route}` : `${call.kind}\n`,
  );
  const rows = [...groups].map(([key, total]): ReassignmentRow => {
    const [kind = "", route = ""] = key.split("\n");
    const groupCalls = calls.filter(
      (call) => call.kind === kind && (!change.byRoute || call.route === route),
    );
    const byWorker = sumBy(groupCalls, ({ worker }) => worker);
    const shifts = afters.map((after) =>
      computeShift(before, after, (id) => (byWorker.get(id) ?? 0) / total, additions.length > 0),
    );
    const draws = shifts.map(({ moved }) => moved);
    const moved = mean(draws);
    const unevenness = shifts[0]?.unevenness ?? 0;
    const joinBand = (share: number) => joinConfidenceHalfWidth(share, total, unevenness);
    const band = (share: number) =>
      additions.length > 0 ? joinBand(share) : confidenceHalfWidth(share, total);
    const toCells: Record<string, number> = {};
    shifts.forEach(({ after }) =>
      after.forEach((share, id) => {
        const at =
          cellOf.get(id) ??
          additions.find((one, place) => id.split("-")[3] === String(place) && one.cell !== "")
            ?.cell ??
          "";
        toCells[at] = (toCells[at] ?? 0) + share / shifts.length;
      }),
    );
    return {
      service,
      kind,
      route,
      calls: total,
      perS: (total / Math.max(1, spanUs)) * 1_000_000,
      moved,
      low: Math.max(0, Math.min(...draws.map((share) => share - band(share)))),
      high: Math.min(1, Math.max(...draws.map((share) => share + band(share)))),
      leave: mean(shifts.map(({ leave }) => leave)),
      join: mean(shifts.map(({ join }) => join)),
      joinLow: Math.max(0, Math.min(...shifts.map(({ join }) => join - joinBand(join)))),
      joinHigh: Math.min(1, Math.max(...shifts.map(({ join }) => join + joinBand(join)))),
      toCells,
      leavers: [...new Set(shifts.flatMap(({ leavers }) => leavers))],
      newConnections: mean(shifts.map(({ joiners }) => joiners)),
      draws,
    };
  });
  const total = calls.reduce((sum, { count }) => sum + count, 0);
  const byWorker = sumBy(calls, ({ worker }) => worker);
  const perS = (total / Math.max(1, spanUs)) * 1_000_000;
  const shifts =
    total === 0
      ? []
      : afters.map((after) =>
          computeShift(
            before,
            after,
            (id) => (byWorker.get(id) ?? 0) / total,
            additions.length > 0,
          ),
        );
  const loads = workers
    .map(({ id }) => ({
      worker: id,
      perSNow: ((byWorker.get(id) ?? 0) / Math.max(1, spanUs)) * 1_000_000,
      perSThen:
        shifts.length === 0 ? 0 : mean(shifts.map(({ after }) => after.get(id) ?? 0)) * perS,
    }))
    .filter(({ perSNow, perSThen }) => perSNow > 0 || perSThen > 0);
  return {
    rows,
    subset: localityGroups(before)
      .flat()
      .map(({ id }) => id),
    loads,
  };
};
