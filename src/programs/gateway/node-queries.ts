import type { RequestCounters } from "../../proxy/request-counters.js";
import { forecastReassignment, type BackendChange } from "../../proxy/reassignment-forecast.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";
import {
  asRecord,
  readBoolean,
  readList,
  readString,
  asString,
  readNumber,
} from "../../common/decode.js";
import type { Message } from "../../transport/connection.js";

/** Sources of the answers to operators' queries. */
export interface NodeQueryOptions {
  readonly node: string;
  readonly zone: string;
  readonly workers: WorkerDirectory;
  readonly requestCounters: RequestCounters;
  readonly retryBudgets: RetryBudgets;
}

/**
 * Reads the change of backends that a query is about.
 *
 * @throws DecodeError if a field is missing or invalid
 */
export const readBackendChange = (message: Message): BackendChange => ({
  add: readList(message, "add", (value) => {
    const record = asRecord(value);
    return {
      service: readString(record, "service"),
      cell: readString(record, "cell"),
      count: readNumber(record, "count"),
    };
  }),
  retire: readList(message, "retire", asString),
  byRoute: readBoolean(message, "byRoute"),
});

/**
 * Answers the queries that a controller sends on an operator's behalf. Queries only read and
 * compute; they change nothing.
 */
export const nodeQueryHandlers = ({
  node,
  zone,
  workers,
  requestCounters,
  retryBudgets,
}: NodeQueryOptions): ((question: Message) => Message | undefined) => {
  const forecastMoves = (query: Message): Message => {
    const change = readBackendChange(query);
    const forecasts = readList(query, "services", asString).map((service) => ({
      service,
      ...forecastReassignment({
        node,
        zone,
        nodeCount: workers.nodeCount,
        service,
        workers: workers.readyWorkersOf(service),
        change,
        ...readRequestCounts(service),
      }),
    }));
    const loads = forecasts
      .flatMap((forecast) => forecast.loads)
      .map((load) => ({ ...load, tookUs: workers.meanLatencyUs(load.worker) }));
    return {
      kind: "moves",
      rows: forecasts.flatMap((forecast) => forecast.rows),
      subsets: forecasts.map(({ service, subset }) => ({ service, subset })),
      loads,
    };
  };
  const readRequestCounts = (service: string) => {
    const { spanUs, counts } = requestCounters.countsFor(service);
    return { spanUs, calls: counts };
  };
  const countRequests = (query: Message): Message => ({
    kind: "seen",
    services: readList(query, "services", (value) => {
      const service = asString(value);
      return { service, ...readRequestCounts(service) };
    }),
  });
  return (query) => {
    switch (query.kind) {
      case "retries":
        return { kind: "retries", rows: retryBudgets.snapshot() };
      case "moves":
        return forecastMoves(query);
      case "seen":
        return countRequests(query);
      default:
        return undefined;
    }
  };
};
