import type { CallCounts } from "../../proxy/request-counters.js";
import { forecastMoves, type BackendChange } from "../../proxy/reassignment-forecast.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { Yard } from "../../proxy/connection-pool.js";
import { asRec, flag, list, text, textOf, whole } from "../../common/decode.js";
import type { Message } from "../../transport/connection.js";

export interface AnswersOptions {
  readonly node: string;
  readonly cell: string;
  readonly yard: Yard;
  readonly calls: CallCounts;
  readonly budgets: RetryBudgets;
}

export const readBackendChange = (message: Message): BackendChange => ({
  add: list(message, "add", (value) => {
    const rec = asRec(value);
    return { service: text(rec, "service"), cell: text(rec, "cell"), count: whole(rec, "count") };
  }),
  retire: list(message, "retire", textOf),
  byRoute: flag(message, "byRoute"),
});

/** What a pointsman answers a signalbox that asks on an operator's behalf. Queries only: they count, and change nothing. */
export const answersOf = ({
  node,
  cell,
  yard,
  calls,
  budgets,
}: AnswersOptions): ((question: Message) => Message | undefined) => {
  const moves = (question: Message): Message => {
    const change = readBackendChange(question);
    const forecasts = list(question, "services", textOf).map((service) => ({
      service,
      ...forecastMoves({
        node,
        cell,
        nodes: yard.nodeCount,
        service,
        workers: yard.ready(service),
        change,
        ...readCalls(service),
      }),
    }));
    const loads = forecasts
      .flatMap((forecast) => forecast.loads)
      .map((load) => ({ ...load, tookUs: yard.tookUs(load.worker) }));
    return {
      kind: "moves",
      rows: forecasts.flatMap((forecast) => forecast.rows),
      subsets: forecasts.map(({ service, subset }) => ({ service, subset })),
      loads,
    };
  };
  const readCalls = (service: string) => {
    const { spanUs, counts } = calls.of(service);
    return { spanUs, calls: counts };
  };
  const seen = (question: Message): Message => ({
    kind: "seen",
    services: list(question, "services", (value) => {
      const service = textOf(value);
      return { service, ...readCalls(service) };
    }),
  });
  return (question) => {
    switch (question.kind) {
      case "retries":
        return { kind: "retries", rows: budgets.tell() };
      case "moves":
        return moves(question);
      case "seen":
        return seen(question);
      default:
        return undefined;
    }
  };
};
