import type { LeaderLease } from "../../consensus/leader-lease.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { RetryAllocator } from "../../quota/retry-allocator.js";
import type { Peers } from "../../membership/peers.js";
import type { NodeAnswer } from "../../membership/cluster.js";
import type { Clock } from "../../common/clock.js";
import {
  defaultLimits,
  EVERY_SERVICE,
  toRouteKind,
  findLimit,
  readRetryLimits,
  ROUTE_KINDS,
  withLimit,
  type RetryLimits,
} from "../../quota/retry-limits.js";
import type { Settings } from "../../common/settings.js";
import {
  asRecord,
  readList,
  readString,
  readNumber,
  type UnknownRecord,
} from "../../common/decode.js";
import type { Message } from "../../transport/connection.js";
import { readApiResponse, type ApiResponse } from "../http-api.js";
import { ceilingOf } from "../gateway/retry-budgets.js";

export interface RetriesOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly lease: LeaderLease;
  readonly peers: Peers;
  /** The limits as published, or undefined where none were ever written. */
  readonly published: () => unknown;
  readonly publish: (limits: RetryLimits) => Promise<boolean>;
  readonly isService: (name: string) => boolean;
  readonly askNodes: (question: Message) => Promise<readonly NodeAnswer[]>;
}

export interface Retries {
  readonly look: () => void;
  /** Answers a node's asking for leases, here or at the duty's holder. */
  readonly answerNode: (message: Message) => Promise<Message>;
  readonly answerColleague: (message: Message) => Promise<Message>;
  readonly set: (order: UnknownRecord) => Promise<ApiResponse>;
  readonly show: () => Promise<readonly UnknownRecord[]>;
}

/** The fleet's written limit on retries: kept in a register, leased out by the duty's holder, told to operators. */
export const openRetries = ({
  settings,
  clock,
  lease,
  peers,
  published,
  publish,
  isService,
  askNodes,
}: RetriesOptions): Retries => {
  const ceiling = ceilingOf(settings);
  const limits = (): RetryLimits => {
    const written = published();
    return written === undefined ? defaultLimits(ceiling) : readRetryLimits(written);
  };
  const allocator = new RetryAllocator({
    clock,
    windowUs: ceiling.windowUs,
    isLeader: () => lease.isHolder() && lease.seesMajority(),
    limits,
  });

  /** Only by a holder that a majority has just heard of: one that was cut off or frozen may have a successor. */
  const answer = async (message: Message): Promise<Message> =>
    (await lease.confirm()) ? allocator.handleRequest(message) : { kind: "retries" };
  const setHere = async (order: UnknownRecord): Promise<ApiResponse> => {
    if (!(await lease.confirm())) return { outcome: "noQuorum" };
    const service = readString(order, "service");
    if (service !== EVERY_SERVICE && !isService(service))
      return { outcome: "wrong", body: { problem: `there is no service ${service}` } };
    const changed = withLimit(limits(), ceiling, service, readString(order, "kind"), {
      ratio: order["ratio"],
      slack: order["slack"],
    });
    if (changed.isErr) return { outcome: "wrong", body: { problem: changed.error } };
    return { outcome: (await publish(changed.value)) ? "taken" : "noQuorum" };
  };
  const set = async (order: UnknownRecord): Promise<ApiResponse> => {
    if (
      typeof order["service"] !== "string" ||
      order["service"] === "" ||
      typeof order["kind"] !== "string"
    )
      return { outcome: "wrong", body: { problem: "service and kind must be texts" } };
    if (lease.isHolder()) return setHere(order);
    const reply = await peers.ask(
      lease.holder(),
      { ...order, kind: "retry-set", order },
      2 * WRITE_TIMEOUT_US,
    );
    return readApiResponse(reply) ?? { outcome: "noQuorum" };
  };

  /** What is spent and left, by service and kind over all nodes that answer. */
  const show = async (): Promise<readonly UnknownRecord[]> => {
    const answers = await askNodes({ kind: "retries" });
    const sums = new Map<
      string,
      { requests: number; retries: number; refused: number; leased: number }
    >();
    answers.forEach(({ answer }) =>
      readList(answer ?? {}, "rows", (value) => {
        const row = asRecord(value);
        const key = `${readString(row, "service")}\n${readString(row, "kind")}`;
        const sum = sums.get(key) ?? { requests: 0, retries: 0, refused: 0, leased: 0 };
        sums.set(key, {
          requests: sum.requests + readNumber(row, "requests"),
          retries: sum.retries + readNumber(row, "retries"),
          refused: sum.refused + readNumber(row, "refused"),
          leased: sum.leased + readNumber(row, "leased"),
        });
      }),
    );
    const now = limits();
    const unheard = answers.filter(({ answer }) => answer === undefined).length;
    const rows = [...sums]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, sum]) => {
        const [service = "", kind = ""] = key.split("\n");
        const { ratio, slack } = findLimit(now, service, toRouteKind(kind));
        const most = Math.floor(ratio * sum.requests + slack);
        return {
          service,
          kind,
          ratio,
          slack,
          requests: sum.requests,
          limit: most,
          spent: sum.retries,
          refused: sum.refused,
          left: Math.max(0, most - sum.retries),
          leased: sum.leased,
          unheard,
        };
      });
    if (rows.length > 0) return rows;
    return Object.entries(now).flatMap(([service, kinds]) =>
      ROUTE_KINDS.map((kind) => ({
        service: service === EVERY_SERVICE ? "every" : service,
        kind,
        ...kinds[kind],
        unheard,
      })),
    );
  };

  return {
    look: allocator.refresh,
    answerNode: async (message) =>
      lease.isHolder()
        ? answer(message)
        : ((await peers.ask(lease.holder(), message, WRITE_TIMEOUT_US)) ?? { kind: "retries" }),
    answerColleague: async (message) => {
      if (message.kind === "retry-ask") return answer(message);
      const result = await setHere(asRecord(message["order"], "order"));
      return { kind: "done", outcome: result.outcome, body: result.body ?? {} };
    },
    set,
    show,
  };
};
