/**
 * The fleet-wide limits on retries. They are stored in a register and set by operators; the leader
 * leases their slack to the nodes.
 */
import { serviceKey } from "../../config/config-keys.js";
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { NodeAnswer } from "../../membership/cluster.js";
import { RetryAllocator } from "../../quota/retry-allocator.js";
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
import type { Clock } from "../../common/clock.js";
import {
  asRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../../common/decode.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import { retryMaximumOf } from "../gateway/retry-budgets.js";
import { readApiResponse, type ApiRequest, type ApiResponse, type ApiRoute } from "../http-api.js";
import { readBody, badRequest } from "./admin-api.js";
import type { Consensus } from "./consensus.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { NODE_QUERY, NODE_REPLY, NODE_REQUEST } from "./node-messages.js";
import type { NodeQueries } from "./node-queries.js";
import { packApiResponse, PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import { PUBLISHED_REGISTER, type PublishedState } from "./published-state.js";

/** Dependencies of {@link RetryQuota}. */
export interface RetryQuotaOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
  readonly published: PublishedState;
  readonly queries: NodeQueries;
}

/** The retries of one service and kind, summed over all nodes. */
interface RetrySum {
  readonly requests: number;
  readonly retries: number;
  readonly refused: number;
  readonly leased: number;
}

const NO_RETRIES: RetrySum = { requests: 0, retries: 0, refused: 0, leased: 0 };

/** Returns the sums by service and kind; the keys join the two with a line feed. */
const sumRetries = (answers: readonly NodeAnswer[]): ReadonlyMap<string, RetrySum> => {
  const sums = new Map<string, RetrySum>();
  answers.forEach(({ answer }) =>
    readList(answer ?? {}, "rows", (value) => {
      const row = asRecord(value);
      const key = `${readString(row, "service")}\n${readString(row, "kind")}`;
      const sum = sums.get(key) ?? NO_RETRIES;
      sums.set(key, {
        requests: sum.requests + readNumber(row, "requests"),
        retries: sum.retries + readNumber(row, "retries"),
        refused: sum.refused + readNumber(row, "refused"),
        leased: sum.leased + readNumber(row, "leased"),
      });
    }),
  );
  return sums;
};

const retryRow = (
  key: string,
  sum: RetrySum,
  limits: RetryLimits,
  unheard: number,
): UnknownRecord => {
  const [service = "", kind = ""] = key.split("\n");
  const { ratio, slack } = findLimit(limits, service, toRouteKind(kind));
  const limit = Math.floor(ratio * sum.requests + slack);
  return {
    service,
    kind,
    ratio,
    slack,
    requests: sum.requests,
    limit,
    spent: sum.retries,
    refused: sum.refused,
    left: Math.max(0, limit - sum.retries),
    leased: sum.leased,
    unheard,
  };
};

/** Returns the limits only, for use when no node has reported any request. */
const limitRows = (limits: RetryLimits, unheard: number): readonly UnknownRecord[] =>
  Object.entries(limits).flatMap(([service, kinds]) =>
    ROUTE_KINDS.map((kind) => ({
      service: service === EVERY_SERVICE ? "every" : service,
      kind,
      ...kinds[kind],
      unheard,
    })),
  );

/** Manages the limits, reports their usage, and leases retries to nodes. */
export class RetryQuota {
  readonly nodeHandlers: MessageHandlers;
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
  private readonly allocator: RetryAllocator;

  constructor(private readonly options: RetryQuotaOptions) {
    const { settings, clock, lease } = options;
    this.allocator = new RetryAllocator({
      clock,
      windowUs: retryMaximumOf(settings).windowUs,
      isLeader: () => lease.isHolder() && lease.seesMajority(),
      limits: this.limits,
    });
    this.nodeHandlers = { [NODE_REQUEST.leaseRetries]: this.leaseToNode };
    this.peerHandlers = {
      [PEER_REQUEST.leaseRetries]: this.leaseAsLeader,
      [PEER_REQUEST.setRetryLimit]: async (message) =>
        packApiResponse(await this.setLimitAsLeader(asRecord(message["order"], "order"))),
    };
    this.routes = [{ method: "POST", path: "/retries", handle: this.setLimit }];
  }

  /**
   * Called every second, so that the initial wait of a new leader starts when it becomes leader
   * rather than at the first request for a lease.
   */
  readonly refreshAllocator = (): void => this.allocator.refresh();

  /** The used and remaining retries by service and kind, over all nodes that answer. */
  readonly describeUsage = async (): Promise<readonly UnknownRecord[]> => {
    const answers = await this.options.queries.askAll({ kind: NODE_QUERY.retries });
    const sums = sumRetries(answers);
    const limits = this.limits();
    const unheard = answers.filter(({ answer }) => answer === undefined).length;
    if (sums.size === 0) return limitRows(limits, unheard);
    return [...sums]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, sum]) => retryRow(key, sum, limits, unheard));
  };

  private readonly limits = (): RetryLimits => {
    const stored = this.options.published.retryLimits();
    return stored === undefined
      ? defaultLimits(retryMaximumOf(this.options.settings))
      : readRetryLimits(stored);
  };

  private readonly leaseToNode = async (message: Message): Promise<Message> => {
    const { lease, askHolder } = this.options;
    if (lease.isHolder()) return this.leaseAsLeader(message);
    return (await askHolder(message, WRITE_TIMEOUT_US)) ?? { kind: NODE_REPLY.retryLeases };
  };

  /**
   * Leases retries only after a majority has confirmed the leadership, because a leader that was
   * partitioned or suspended may have been replaced.
   */
  private readonly leaseAsLeader = async (message: Message): Promise<Message> =>
    (await this.options.lease.confirm())
      ? this.allocator.handleRequest(message)
      : { kind: PEER_REPLY.retryLeases };

  private readonly setLimit = async (request: ApiRequest): Promise<ApiResponse> => {
    const { lease, askHolder } = this.options;
    const body = readBody(request);
    const { service, kind } = body;
    if (typeof service !== "string" || service === "" || typeof kind !== "string")
      return badRequest("service and kind must be strings");
    if (lease.isHolder()) return this.setLimitAsLeader(body);
    const reply = await askHolder(
      { ...body, kind: PEER_REQUEST.setRetryLimit, order: body },
      2 * WRITE_TIMEOUT_US,
    );
    return readApiResponse(reply) ?? { outcome: "noQuorum" };
  };

  private readonly setLimitAsLeader = async (command: UnknownRecord): Promise<ApiResponse> => {
    const { settings, store, lease, published } = this.options;
    if (!(await lease.confirm())) return { outcome: "noQuorum" };
    const service = readString(command, "service");
    const isService = store.get(serviceKey(service))?.dropped === false;
    if (service !== EVERY_SERVICE && !isService)
      return badRequest(`there is no service ${service}`);
    const changed = withLimit(
      this.limits(),
      retryMaximumOf(settings),
      service,
      readString(command, "kind"),
      { ratio: command["ratio"], slack: command["slack"] },
    );
    if (changed.isErr) return badRequest(changed.error);
    const isPublished = await published.publish(PUBLISHED_REGISTER.retryLimits, changed.value);
    return { outcome: isPublished ? "taken" : "noQuorum" };
  };
}
