import convict from "convict";
import { err, ok, type Result } from "true-myth/result";
import { isRecord, type UnknownRecord } from "../common/decode.js";

export const ROUTE_KINDS = ["safe", "unsafe", "keyed", "cached"] as const;
export type RouteKind = (typeof ROUTE_KINDS)[number];

export const isRouteKind = (value: unknown): value is RouteKind =>
  ROUTE_KINDS.some((kind) => kind === value);
/** What can't be told to be repeatable is treated as what can't be. */
export const toRouteKind = (value: string): RouteKind => (isRouteKind(value) ? value : "unsafe");

/** Over all nodes, in any window, the retries of one kind at a service stay within ratio x its requests + slack. */
export interface RetryLimit {
  readonly ratio: number;
  readonly slack: number;
}

/** Of a ratio by the nodes, and of a slack by who leases it out, so much is used: windows slide in steps, and nodes come and go. */
export const USED_FRACTION = 0.8;

/** What no limit may pass: the deployment's own bound for a service, over all kinds. */
export interface RetryMaximum {
  readonly ratio: number;
  readonly slack: number;
  readonly windowUs: number;
}

export type KindLimits = Readonly<Record<RouteKind, RetryLimit>>;

/** Invariant: holds EVERY_SERVICE, whose limits stand for each service that has none of its own. */
export type RetryLimits = Readonly<Record<string, KindLimits>>;

export const EVERY_SERVICE = "*";

/** Half of the ratio, and a small part of the slack, for what may charge a family twice. */
export const defaultLimits = ({ ratio, slack }: RetryMaximum): RetryLimits => ({
  [EVERY_SERVICE]: {
    safe: { ratio, slack: slack * 0.6 },
    unsafe: { ratio: ratio / 2, slack: slack * 0.2 },
    keyed: { ratio: ratio / 2, slack: slack * 0.1 },
    cached: { ratio, slack: slack * 0.1 },
  },
});

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

export const readRetryLimits = (value: unknown): RetryLimits => {
  const record = isRecord(value) ? value : {};
  return Object.fromEntries(
    Object.entries(record).map(([service, kinds]) => [
      service,
      readKinds(isRecord(kinds) ? kinds : {}),
    ]),
  );
};

/** One service's or every service's limit of one kind changed; or a sentence on what is wrong with it. */
export const withLimit = (
  limits: RetryLimits,
  ceiling: RetryMaximum,
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
  const before = limits[service] ?? limits[EVERY_SERVICE];
  if (!before) return err("there are no limits yet");
  const kinds: KindLimits = { ...before, [kind]: limit };
  const slacks = ROUTE_KINDS.reduce((sum, one) => sum + kinds[one].slack, 0);
  if (limit.ratio > ceiling.ratio)
    return err(`a ratio of ${limit.ratio} is above the deployment's ${ceiling.ratio}`);
  if (slacks > ceiling.slack * (1 + 1e-9))
    return err(
      `the slacks of all kinds add up to ${slacks}, above the deployment's ${ceiling.slack}`,
    );
  const loose = (["unsafe", "keyed"] as const).find((one) => kinds[one].ratio > kinds.safe.ratio);
  if (loose) return err(`the ratio of ${loose} is above that of safe, which may be repeated`);
  return ok({ ...limits, [service]: kinds });
};
