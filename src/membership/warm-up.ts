/**
 * Limits on the requests to workers that warm up. Over all nodes, a worker gets at most a few
 * requests per second from the start of its warm-up to its end. Without a message per request this
 * is kept by *senders*: the few gateways that may send to the worker meanwhile, each at a minimum
 * interval. docs/warm-up.md derives the bound.
 */
import { SECOND_US, parseDuration } from "../common/duration.js";
import type { UnknownRecord } from "../common/decode.js";
import { rendezvousWeight } from "../common/rendezvous.js";
import type { ClusterNode } from "./cluster.js";

/** What the workers of a service can take while they warm up. */
export interface WarmUpLimit {
  /** How long a worker warms up. */
  readonly durationUs: number;
  /** Requests per second that a worker can take meanwhile. */
  readonly requestsPerS: number;
}

/** By how much the requests to a worker within one second may exceed its limit. */
export interface WarmUpTolerance {
  /** Factor on the limit. */
  readonly excess: number;
  /** Number of further requests. */
  readonly slack: number;
}

/** How the requests to a worker that warms up are divided. */
export interface SenderPlan {
  /** The number of gateways that may send to it; 0 if none may. */
  readonly count: number;
  /** The minimum time between two requests of one of them. */
  readonly intervalUs: number;
}

/** More senders would mean that each sends too seldom to learn anything about the worker. */
const MAX_SENDERS = 8;
/**
 * Sets of senders of one worker that may act at the same time: two, if the controller that chose
 * the first is lost before any other has heard of it.
 */
const MAX_SENDER_SETS = 2;
const NO_SENDERS: SenderPlan = { count: 0, intervalUs: SECOND_US };

/** Reads the limit of a service's configuration; undefined if it states none. */
export const readWarmUpLimit = (service: UnknownRecord): WarmUpLimit | undefined => {
  const durationUs = parseDuration(service["warmUp"]).unwrapOr(0);
  const requestsPerS = typeof service["coldRateS"] === "number" ? service["coldRateS"] : 0;
  return durationUs > 0 && requestsPerS > 0 ? { durationUs, requestsPerS } : undefined;
};

/**
 * Divides the limit among senders, so that `MAX_SENDER_SETS` sets of them together stay within the
 * limit and its tolerance in any second.
 */
export const planSenders = (
  { requestsPerS }: WarmUpLimit,
  { excess, slack }: WarmUpTolerance,
): SenderPlan => {
  const maxPerSet = Math.floor((requestsPerS * excess + slack) / MAX_SENDER_SETS);
  const count = Math.min(Math.ceil(requestsPerS), MAX_SENDERS, maxPerSet);
  if (count <= 0) return NO_SENDERS;
  const maxPerSender = Math.floor(maxPerSet / count);
  const perSender = Math.min(requestsPerS / count, maxPerSender);
  return { count, intervalUs: Math.ceil(SECOND_US / perSender) };
};

const rankFor = (worker: string, gateways: readonly ClusterNode[]): readonly string[] =>
  gateways
    .map(({ name }) => ({ name, weight: rendezvousWeight(worker, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);

/**
 * Chooses the senders of a worker by rendezvous hashing: gateways of its zone, and others only if
 * there are too few of these.
 */
export const chooseSenders = (
  worker: { readonly id: string; readonly zone: string },
  nodes: readonly ClusterNode[],
  count: number,
): readonly string[] => {
  const gateways = nodes.filter(({ role }) => role === "gateway");
  const local = gateways.filter(({ zone }) => zone === worker.zone);
  const chosen = rankFor(worker.id, local).slice(0, count);
  if (chosen.length === count) return chosen;
  const remote = gateways.filter(({ zone }) => zone !== worker.zone);
  return [...chosen, ...rankFor(worker.id, remote)].slice(0, count);
};
