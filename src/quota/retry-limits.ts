/**
 * Fleet-wide retry limits by service and kind of route: format, defaults, validation and changes.
 */
import convict from "convict";
import { err, ok, type Result } from "true-myth/result";
import { isRecord, type UnknownRecord } from "../common/decode.js";

/** The kinds of routes, by the effect that a repeated request can have. */
export const ROUTE_KINDS = ["safe", "unsafe", "keyed", "cached"] as const;
/** One of `ROUTE_KINDS`. */
export type RouteKind = (typeof ROUTE_KINDS)[number];

/** Whether a value is a kind of route. */
export const isRouteKind = (value: unknown): value is RouteKind =>
  ROUTE_KINDS.some((kind) => kind === value);
/** Reads a kind of route. An unknown kind is treated as unsafe, the most restrictive one. */
export const toRouteKind = (value: string): RouteKind => (isRouteKind(value) ? value : "unsafe");

/**
 * Limits the retries of one kind to a service, over all nodes and in any window, to its requests
 * times `ratio`, plus `slack`.
 */
export interface RetryLimit {
  readonly ratio: number;
  readonly slack: number;
}

/**
 * The fraction of a ratio that nodes use, and of a slack that is leased. The margin allows for
 * windows that slide in steps and for nodes that join and leave.
 */
export const USED_FRACTION = 0.8;

/** The deployment's maximum for a service, over all kinds, which no limit may exceed. */
export interface RetryMaximum {
  readonly ratio: number;
  readonly slack: number;
  readonly windowUs: number;
}

/** The limits of one service, by kind of route. */
export type KindLimits = Readonly<Record<RouteKind, RetryLimit>>;

/** Invariant: contains `EVERY_SERVICE`, whose limits apply to services without their own. */
export type RetryLimits = Readonly<Record<string, KindLimits>>;

/** The key of the limits for services without their own. */
export const EVERY_SERVICE = "*";

/**
 * The limits that apply until any are set: half of the ratio and a small part of the slack for the
 * kinds where repeating a request can cause harm.
 */
export const defaultLimits = ({ ratio, slack }: RetryMaximum): RetryLimits => ({
  [EVERY_SERVICE]: {
    safe: { ratio, slack: slack * 0.6 },
    unsafe: { ratio: ratio / 2, slack: slack * 0.2 },
    keyed: { ratio: ratio / 2, slack: slack * 0.1 },
    cached: { ratio, slack: slack * 0.1 },
  },
});

/** The limit in force for a service and kind; 0 if there are no limits. */
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
 * Reads limits in the format in which they are stored and delivered.
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
 * Sets the limit of one kind for one service or, with `EVERY_SERVICE`, for all services without
 * their own. Returns an error message if the limit is invalid.
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
    return err(error instanceof Error ? error.message : "the limit could not be read");
  }
  const current = limits[service] ?? limits[EVERY_SERVICE];
  if (!current) return err("no retry limits have been set yet");
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
    return err(
      `the ratio of ${kindAboveSafe} is above that of safe, whose requests are safe to repeat`,
    );
  return ok({ ...limits, [service]: kinds });
};
