import type { RequestCounters } from "../../proxy/request-counters.js";
import { forecastReassignment, type BackendChange } from "../../proxy/reassignment-forecast.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";
import {
  asRecord,
  readFlag,
  readList,
  readString,
  asString,
  readNumber,
} from "../../common/decode.js";
import type { Message } from "../../transport/connection.js";

/** What the answers to operators' queries are taken from. */
export interface NodeQueryOptions {
  readonly node: string;
  readonly zone: string;
  readonly workers: WorkerDirectory;
  readonly requestCounters: RequestCounters;
  readonly retryBudgets: RetryBudgets;
}

/**
 * Reads the change of backends that a query asks about; throws a DecodeError if a field is missing
 * or wrong.
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
  byRoute: readFlag(message, "byRoute"),
});

/**
 * What a gateway answers a controller that asks on an operator's behalf. Queries only: they count,
 * and change nothing.
 */
export const nodeQueryHandlers = ({
  node,
  zone,
  workers: pool,
  requestCounters: calls,
  retryBudgets,
}: NodeQueryOptions): ((question: Message) => Message | undefined) => {
  const moves = (question: Message): Message => {
    const change = readBackendChange(question);
    const forecasts = readList(question, "services", asString).map((service) => ({
      service,
      ...forecastReassignment({
        node,
        zone,
        nodeCount: pool.nodeCount,
        service,
        workers: pool.readyWorkersOf(service),
        change,
        ...readCalls(service),
      }),
    }));
    const loads = forecasts
      .flatMap((forecast) => forecast.loads)
      .map((load) => ({ ...load, tookUs: pool.meanLatencyUs(load.worker) }));
    return {
      kind: "moves",
      rows: forecasts.flatMap((forecast) => forecast.rows),
      subsets: forecasts.map(({ service, subset }) => ({ service, subset })),
      loads,
    };
  };
  const readCalls = (service: string) => {
    const { spanUs, counts } = calls.countsFor(service);
    return { spanUs, calls: counts };
  };
  const seen = (question: Message): Message => ({
    kind: "seen",
    services: readList(question, "services", (value) => {
      const service = asString(value);
      return { service, ...readCalls(service) };
    }),
  });
  return (question) => {
    switch (question.kind) {
      case "retries":
        return { kind: "retries", rows: retryBudgets.snapshot() };
      case "moves":
        return moves(question);
      case "seen":
        return seen(question);
      default:
        return undefined;
    }
  };
};
