/**
 * The limits of retries over the whole fleet, by service and kind of route: form, defaults, checks
 * and changes.
 */
import convict from "convict";
import { err, ok, type Result } from "true-myth/result";
import { isRecord, type UnknownRecord } from "../common/decode.js";

/** The kinds of routes, by what a repeated request may do. */
export const ROUTE_KINDS = ["safe", "unsafe", "keyed", "cached"] as const;
/** One of `ROUTE_KINDS`. */
export type RouteKind = (typeof ROUTE_KINDS)[number];

/** Whether a value is a kind of route. */
export const isRouteKind = (value: unknown): value is RouteKind =>
  ROUTE_KINDS.some((kind) => kind === value);
/** Reads a kind of route. An unknown one is treated as unsafe, which allows least. */
export const toRouteKind = (value: string): RouteKind => (isRouteKind(value) ? value : "unsafe");

/**
 * Over all nodes, in any window, the retries of one kind at a service stay within ratio x its
 * requests + slack.
 */
export interface RetryLimit {
  readonly ratio: number;
  readonly slack: number;
}

/**
 * The part of a ratio that nodes use, and of a slack that is leased out: windows slide in steps,
 * and nodes come and go.
 */
export const USED_FRACTION = 0.8;

/** What no limit may exceed: the deployment's own maximum for a service, over all kinds. */
export interface RetryMaximum {
  readonly ratio: number;
  readonly slack: number;
  readonly windowUs: number;
}

/** The limits of one service, by kind of route. */
export type KindLimits = Readonly<Record<RouteKind, RetryLimit>>;

/** Invariant: holds EVERY_SERVICE, whose limits apply to each service that has none of its own. */
export type RetryLimits = Readonly<Record<string, KindLimits>>;

/** The key of the limits for services that have none of their own. */
export const EVERY_SERVICE = "*";

/**
 * The limits before any are written: half of the ratio, and a small part of the slack, where a
 * repeat may do harm.
 */
export const defaultLimits = ({ ratio, slack }: RetryMaximum): RetryLimits => ({
  [EVERY_SERVICE]: {
    safe: { ratio, slack: slack * 0.6 },
    unsafe: { ratio: ratio / 2, slack: slack * 0.2 },
    keyed: { ratio: ratio / 2, slack: slack * 0.1 },
    cached: { ratio, slack: slack * 0.1 },
  },
});

/** The limit in force for a service and kind; 0 where there are no limits. */
export const findLimit = (limits: RetryLimits, service: string, kind: RouteKind): RetryLimit => {
  const own = limits[service] ?? limits[EVERY_SERVICE];
  return own?.[kind] ?? { ratio: 0, slack: 0 };
};

convict.addFormat({
  name: "not-negative",
  validate: (value: unknown) => {
    if (typeof value !== "number" || !Number.isFinite(value) || value < 0)
      throw new Error("must be a number of 0 or more");
  },
});
const limitSchema = convict({
  ratio: { format: "not-negative", default: -1 },
  slack: { format: "not-negative", default: -1 },
});

const readLimit = (value: unknown): RetryLimit => {
  limitSchema.load({ ratio: -1, slack: -1, ...(isRecord(value) ? value : {}) });
  limitSchema.validate();
  return { ratio: limitSchema.get("ratio"), slack: limitSchema.get("slack") };
};

const readKinds = (value: UnknownRecord): KindLimits => ({
  safe: readLimit(value["safe"]),
  unsafe: readLimit(value["unsafe"]),
  keyed: readLimit(value["keyed"]),
  cached: readLimit(value["cached"]),
});

/**
 * Reads limits as they are written and delivered.
 *
 * @throws if a ratio or slack is not a number of 0 or more
 */
export const readRetryLimits = (value: unknown): RetryLimits => {
  const record = isRecord(value) ? value : {};
  return Object.fromEntries(
    Object.entries(record).map(([service, kinds]) => [
      service,
      readKinds(isRecord(kinds) ? kinds : {}),
    ]),
  );
};

/**
 * Changes the limit of one kind, of one service or of every service; or a sentence on what is wrong
 * with it.
 */
export const withLimit = (
  limits: RetryLimits,
  maximum: RetryMaximum,
  service: string,
  kind: string,
  value: UnknownRecord,
): Result<RetryLimits, string> => {
  if (!isRouteKind(kind)) return err(`the kind must be one of ${ROUTE_KINDS.join(", ")}`);
  let limit: RetryLimit;
  try {
    limit = readLimit(value);
  } catch (error) {
    return err(error instanceof Error ? error.message : "the limit is unreadable");
  }
  const current = limits[service] ?? limits[EVERY_SERVICE];
  if (!current) return err("there are no limits yet");
  const kinds: KindLimits = { ...current, [kind]: limit };
  const totalSlack = ROUTE_KINDS.reduce((sum, one) => sum + kinds[one].slack, 0);
  if (limit.ratio > maximum.ratio)
    return err(`a ratio of ${limit.ratio} is above the deployment's ${maximum.ratio}`);
  if (totalSlack > maximum.slack * (1 + 1e-9))
    return err(
      `the slacks of all kinds add up to ${totalSlack}, above the deployment's ${maximum.slack}`,
    );
  const kindAboveSafe = (["unsafe", "keyed"] as const).find(
    (one) => kinds[one].ratio > kinds.safe.ratio,
  );
  if (kindAboveSafe)
    return err(`the ratio of ${kindAboveSafe} is above that of safe, which may be repeated`);
  return ok({ ...limits, [service]: kinds });
};
