/**
 * Forecasts which requests would be reassigned if backends were added or retired, by querying every
 * node. Read-only: nothing is written and no traffic moves. Field names are those of the admin API
 * and of the nodes' answers.
 */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import type { NodeAnswer } from "../../membership/cluster.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import { CONFIDENCE, MIN_REQUESTS, type BackendChange } from "../../proxy/reassignment-forecast.js";
import { REQUEST_WINDOW_US } from "../../proxy/request-counters.js";
import {
  asRecord,
  asString,
  readList,
  readNumber,
  type UnknownRecord,
} from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import { readBackendChange } from "../gateway/node-queries.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { readBody, badRequest } from "./admin-api.js";
import { findProblem, readyWorkers } from "./backend-change.js";
import { NODE_QUERY } from "./node-messages.js";
import type { NodeQueries } from "./node-queries.js";
import {
  aggregateRows,
  findHighlyUtilizedWorkers,
  requestRateVariation,
} from "./reassignment-summary.js";

/** Maximum number of unresponsive nodes that a warning lists by name. */
const MAX_NODES_IN_WARNING = 5;

/** Dependencies of the forecast routes. */
export interface BackendForecastOptions {
  readonly store: ReplicatedStore;
  readonly registry: WorkerRegistry;
  /** The zones of all workers and nodes. */
  readonly zones: () => readonly string[];
  readonly queries: NodeQueries;
}

const nodeRows = (answers: readonly NodeAnswer[]): readonly UnknownRecord[] =>
  answers.flatMap(({ node, zone, answer }) =>
    readList(answer ?? {}, "rows", (value): UnknownRecord => ({
      node,
      cell: zone,
      ...asRecord(value),
    })),
  );

const nodeSubsets = (answers: readonly NodeAnswer[]): readonly UnknownRecord[] =>
  answers.flatMap(({ node, answer }) =>
    readList(answer ?? {}, "subsets", (value): UnknownRecord => ({ node, ...asRecord(value) })),
  );

const nodesWithoutAnswer = (answers: readonly NodeAnswer[]): readonly string[] =>
  answers.filter(({ answer }) => answer === undefined).map(({ node }) => node);

/** Groups rows by service, kind and route. */
const groupRows = (rows: readonly UnknownRecord[]): readonly (readonly UnknownRecord[])[] => {
  const groups = new Map<string, UnknownRecord[]>();
  rows.forEach((row) => {
    const key = [row["service"], row["kind"], row["route"]].join("\n");
    groups.set(key, [...(groups.get(key) ?? []), row]);
  });
  return [...groups.values()];
};

const withoutDraws = (row: UnknownRecord): UnknownRecord =>
  Object.fromEntries(Object.entries(row).filter(([field]) => field !== "draws"));

/** Lists the reasons why a forecast may be incomplete or imprecise. */
const collectWarnings = (
  answers: readonly NodeAnswer[],
  rows: readonly UnknownRecord[],
  services: readonly string[],
  haveWorkersChanged: boolean,
): readonly string[] => {
  const silentNodes = nodesWithoutAnswer(answers);
  const named = silentNodes.slice(0, MAX_NODES_IN_WARNING).join(", ");
  const smallSamples = rows.filter((row) => readNumber(row, "calls") < MIN_REQUESTS).length;
  return [
    ...(silentNodes.length > 0
      ? [`${silentNodes.length} of ${answers.length} nodes did not answer: ${named}`]
      : []),
    ...(smallSamples > 0
      ? [`${smallSamples} rows of nodes have fewer than ${MIN_REQUESTS} calls and are imprecise`]
      : []),
    ...services
      .filter((service) => !rows.some((row) => row["service"] === service))
      .map((service) => `no node has recently called ${service}`),
    ...(haveWorkersChanged
      ? ["workers joined or left while the nodes were queried: repeat the query"]
      : []),
  ];
};

/** Queries the nodes and aggregates their answers. */
class BackendForecast {
  constructor(private readonly options: BackendForecastOptions) {}

  /** Forecasts the effect of the change of backends in the body. */
  readonly forecast = async (body: UnknownRecord): Promise<ApiResponse> => {
    const { registry, zones, queries } = this.options;
    let change: BackendChange;
    try {
      change = readBackendChange({ kind: NODE_QUERY.reassignments, ...body });
    } catch (error) {
      return badRequest(error instanceof Error ? error.message : "unreadable");
    }
    const problem = findProblem(change, registry, zones);
    if (problem !== undefined) return badRequest(problem);
    const { add, retire, byRoute } = change;
    const services = this.affectedServices(change);
    const before = this.readyIds(services);
    const answers = await queries.askAll({
      kind: NODE_QUERY.reassignments,
      services,
      add,
      retire,
      byRoute,
    });
    const rows = nodeRows(answers);
    const warnings = collectWarnings(answers, rows, services, this.readyIds(services) !== before);
    const moves = {
      change: { add, retire, byRoute },
      windowMs: REQUEST_WINDOW_US / MILLISECOND_US,
      confidence: CONFIDENCE,
      fleet: this.fleetRows(rows, answers),
      nodes: rows.map(withoutDraws),
      subsets: nodeSubsets(answers),
      loaded: findHighlyUtilizedWorkers(answers, registry),
      unheard: nodesWithoutAnswer(answers),
      warnings,
    };
    return { outcome: "taken", body: { moves } };
  };

  /** Returns the recent request counts of the workers of the given services, by node. */
  readonly countRecentRequests = async (body: UnknownRecord): Promise<ApiResponse> => {
    let services: readonly string[];
    try {
      services = readList(body, "services", asString);
    } catch {
      return badRequest("services must be a list of strings");
    }
    const answers = await this.options.queries.askAll({ kind: NODE_QUERY.requestsSeen, services });
    const seen = answers.map(({ node, zone, answer }) => ({
      node,
      cell: zone,
      services: answer?.["services"] ?? [],
      heard: answer !== undefined,
    }));
    return { outcome: "taken", body: { seen } };
  };

  private readonly affectedServices = ({ add, retire }: BackendChange): readonly string[] => [
    ...new Set([
      ...add.map(({ service }) => service),
      ...retire.flatMap((id) => this.options.registry.get(id)?.service ?? []),
    ]),
  ];

  private readonly readyIds = (services: readonly string[]): string =>
    services
      .flatMap((service) => readyWorkers(this.options.registry, service).map(({ id }) => id))
      .sort()
      .join();

  private readonly fleetRows = (
    rows: readonly UnknownRecord[],
    answers: readonly NodeAnswer[],
  ): readonly UnknownRecord[] =>
    groupRows(rows).map((group) => {
      const workers = readyWorkers(this.options.registry, String(group[0]?.["service"]));
      const loadVariation = requestRateVariation(
        workers.map(({ id }) => id),
        answers,
      );
      return aggregateRows(group, loadVariation);
    });
}

/**
 * The routes of the forecast. Each responds only once a majority asked after the call has answered.
 */
export const backendForecastRoutes = (options: BackendForecastOptions): readonly ApiRoute[] => {
  const forecast = new BackendForecast(options);
  const withMajority =
    (handle: (body: UnknownRecord) => Promise<ApiResponse>) =>
    async (request: ApiRequest): Promise<ApiResponse> => {
      const body = readBody(request);
      return (await options.store.confirmQuorum()) ? handle(body) : { outcome: "noMajority" };
    };
  return [
    { method: "POST", path: "/backends/forecast", handle: withMajority(forecast.forecast) },
    { method: "POST", path: "/backends/seen", handle: withMajority(forecast.countRecentRequests) },
  ];
};
