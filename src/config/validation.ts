import convict from "convict";
import { err, ok, type Result } from "true-myth/result";
import { asList, asRecord, isRecord, parseJson, type UnknownRecord } from "../common/decode.js";
import { readWeightedServices } from "../common/weighted-split.js";
import { parseDuration, SECOND_US } from "../common/duration.js";
import { makeRegister, type Register } from "../consensus/register.js";

/** What the operator's calls can be wrong in; each is answered by a row of the table of outcomes. */
export type ConfigError =
  | { readonly kind: "unreadable"; readonly sentence: string }
  | { readonly kind: "wrong"; readonly sentence: string }
  | { readonly kind: "unknown-service"; readonly sentence: string };

const MAX_GIVE_UP_US = 600 * SECOND_US;

export const routeKey = (name: string): string => `route/${name}`;
export const serviceKey = (name: string): string => `service/${name}`;
export const LIMITS_KEY = "limits";

export const isConfigKey = (key: string): boolean =>
  key === LIMITS_KEY || key.startsWith("route/") || key.startsWith("service/");

const spanOver0 = (value: unknown): void => {
  if (!(parseDuration(value).unwrapOr(0) > 0))
    throw new Error("must be a span above 0, such as 1500ms");
};
const named = (value: unknown): void => {
  if (typeof value !== "string" || value === "")
    throw new Error("must be a text that is not empty");
};
const version = (value: unknown): void => {
  if (!Number.isSafeInteger(value) || Number(value) < 0)
    throw new Error("must be a whole number of 0 or more");
};
convict.addFormats({
  "plan-version": { validate: version },
  named: { validate: named },
  "span-over-0": { validate: spanOver0 },
  "span-or-none": {
    validate: (value: unknown) => {
      if (value !== "" && parseDuration(value).isErr)
        throw new Error("must be a span, such as 1500ms");
    },
  },
  rate: {
    validate: (value: unknown) => {
      if (typeof value !== "number" || !(value >= 0))
        throw new Error("must be a number of 0 or more");
    },
  },
  "give-up": {
    validate: (value: unknown) => {
      spanOver0(value);
      if (parseDuration(value).unwrapOr(0) > MAX_GIVE_UP_US)
        throw new Error("must be ten minutes or less");
    },
  },
  "path-start": {
    validate: (value: unknown) => {
      if (typeof value !== "string" || !value.startsWith("/"))
        throw new Error("must begin with a slash");
    },
  },
  destination: {
    validate: (held: unknown) => {
      const [value] = asList(held);
      if (!isRecord(value)) throw new Error("must be a table");
      if (value["shares"] === undefined) return named(value["service"]);
      const shares = asList(value["shares"]).map((share) => asRecord(share));
      shares.forEach((share) => named(share["service"]));
      const total = shares.reduce(
        (sum, share) =>
          sum +
          (typeof share["share"] === "number" && share["share"] >= 0 ? share["share"] : Number.NaN),
        0,
      );
      if (!(total > 0)) throw new Error("must have shares that add up to more than 0");
    },
  },
});

/**
 * Made once for each kind of item: making a schema costs far more than using it. Invariant: each use gives every field
 * of the schema, so that nothing of the item before is left; a list is replaced as a whole, so tables stand in one.
 */
const routeSchema = convict({
  name: { format: "named", default: "" },
  host: { format: "named", default: "" },
  version: { format: "plan-version", default: -1 },
  routeKind: { format: ["safe", "unsafe", "cached", "keyed"], default: "" },
  cacheFor: { format: "span-or-none", default: "" },
  target_time: { format: "span-over-0", default: "" },
  rank: { format: "nat", default: 0 },
  matchOn: { pathStart: { format: "path-start", default: "" } },
  then: { format: "destination", default: [] },
  giveUp: { format: "give-up", default: "" },
  tries: { format: "nat", default: 1 },
});

const serviceSchema = convict({
  name: { format: "named", default: "" },
  version: { format: "plan-version", default: -1 },
  statusPath: { format: "path-start", default: "" },
  maxConnections: { format: "nat", default: 0 },
  ratePerS: { format: "rate", default: 0 },
  dropsRepeats: { format: Boolean, default: false },
});

const limitsSchema = convict({
  version: { format: "plan-version", default: -1 },
  maxHeaderBytes: { format: "nat", default: 0 },
  maxBodyBytes: { format: "nat", default: 0 },
  headerWait: { format: "span-over-0", default: "" },
  idle: { format: "span-over-0", default: "" },
});

const ROUTE_DEFAULTS: UnknownRecord = {
  name: "",
  host: "",
  version: -1,
  routeKind: "",
  cacheFor: "",
  target_time: "",
  rank: 0,
  giveUp: "",
  tries: 1,
};
const SERVICE_DEFAULTS: UnknownRecord = {
  name: "",
  version: -1,
  statusPath: "",
  maxConnections: 0,
  ratePerS: 0,
  dropsRepeats: false,
};
const LIMITS_DEFAULTS: UnknownRecord = {
  version: -1,
  maxHeaderBytes: 0,
  maxBodyBytes: 0,
  headerWait: "",
  idle: "",
};

const check = (
  schema: { load: (conf: UnknownRecord) => unknown; validate: () => unknown },
  defaults: UnknownRecord,
  value: UnknownRecord,
): void => {
  schema.load({ ...defaults, ...value });
  schema.validate();
};

const pick = (record: UnknownRecord, fields: readonly string[]): UnknownRecord => {
  const kept = fields
    .filter((field) => record[field] !== undefined)
    .map((field): [string, unknown] => [field, record[field]]);
  return Object.fromEntries(kept);
};

const routeRegister = (host: unknown, value: unknown): Register => {
  const rule = asRecord(value, "rule");
  const then = asRecord(rule["then"], "then");
  const matchOn = asRecord(rule["matchOn"], "matchOn");
  const flat = {
    ...pick(rule, ["name", "version", "routeKind", "target_time", "rank", "cacheFor"]),
    ...pick(then, ["giveUp", "tries"]),
    host,
    matchOn: { pathStart: matchOn["pathStart"] ?? "" },
    then: [pick(then, ["service", "shares"])],
  };
  check(routeSchema, ROUTE_DEFAULTS, flat);
  return makeRegister(
    routeKey(String(rule["name"])),
    Number(rule["version"]),
    JSON.stringify({ host, rule }),
  );
};

const serviceRegister = (value: unknown): Register => {
  const group = asRecord(value, "group");
  check(
    serviceSchema,
    SERVICE_DEFAULTS,
    pick(group, ["name", "version", "statusPath", "maxConnections", "ratePerS", "dropsRepeats"]),
  );
  return makeRegister(
    serviceKey(String(group["name"])),
    Number(group["version"]),
    JSON.stringify(group),
  );
};

const limitsRegister = (value: unknown): Register => {
  const limits = asRecord(value, "limits");
  check(
    limitsSchema,
    LIMITS_DEFAULTS,
    pick(limits, ["version", "maxHeaderBytes", "maxBodyBytes", "headerWait", "idle"]),
  );
  return makeRegister(LIMITS_KEY, Number(limits["version"]), JSON.stringify(limits));
};

const dropRegister =
  (keyOf: (name: string) => string) =>
  (value: unknown): Register => {
    const record = asRecord(value, "remove");
    named(record["name"]);
    version(record["version"]);
    return makeRegister(keyOf(String(record["name"])), Number(record["version"]), "", true);
  };

const listOf = (value: unknown, field: string): readonly unknown[] =>
  value === undefined ? [] : asList(value, field);

/** Reads a call item by item; it yields between items, so that who reads a large one can let others have their turn. */
function* reading(
  body: string,
): Generator<undefined, Result<readonly Register[], ConfigError>, undefined> {
  let call: UnknownRecord;
  try {
    call = asRecord(parseJson(body), "the call");
  } catch {
    return err({ kind: "unreadable", sentence: "the call is no whole JSON table" });
  }
  try {
    const put = call["putItems"] === undefined ? {} : asRecord(call["putItems"], "putItems");
    const remove = call["remove"] === undefined ? {} : asRecord(call["remove"], "remove");
    const registers: Register[] =
      put["limits"] === undefined ? [] : [limitsRegister(put["limits"])];
    for (const value of listOf(put["groups"], "groups")) {
      registers.push(serviceRegister(value));
      yield;
    }
    for (const value of listOf(put["listeners"], "listeners")) {
      const listener = asRecord(value, "listener");
      named(listener["host"]);
      for (const rule of listOf(listener["rules"], "rules")) {
        registers.push(routeRegister(listener["host"], rule));
        yield;
      }
    }
    registers.push(...listOf(remove["routes"], "routes").map(dropRegister(routeKey)));
    registers.push(...listOf(remove["groups"], "groups").map(dropRegister(serviceKey)));
    return ok(registers);
  } catch (error) {
    const sentence =
      error instanceof Error ? (error.message.split("\n")[0] ?? "") : "the call is wrong";
    return err({ kind: "wrong", sentence });
  }
}

export const parseChange = (body: string): Result<readonly Register[], ConfigError> => {
  const items = reading(body);
  for (;;) {
    const next = items.next();
    if (next.done) return next.value;
  }
};

const ITEMS_A_TURN = 16;

/** The same, with a turn for everything else after every few items: links must pulse while a large call is read. */
export const parseChangeInTurns = async (
  body: string,
): Promise<Result<readonly Register[], ConfigError>> => {
  const items = reading(body);
  for (let count = 1; ; count += 1) {
    const next = items.next();
    if (next.done) return next.value;
    if (count % ITEMS_A_TURN === 0) await new Promise((resolve) => setImmediate(resolve));
  }
};

const servicesOf = (route: Register): readonly string[] => {
  const then = asRecord(asRecord(asRecord(parseJson(route.body))["rule"])["then"]);
  return readWeightedServices(then).map(({ service }) => service);
};

/** The first service that a route of the call names and nobody knows, neither the call nor the copy. */
export const findUnknownService = (
  call: readonly Register[],
  held: (key: string) => Register | undefined,
): string | undefined => {
  const inCall = new Map(
    call
      .filter((register) => register.key.startsWith("service/"))
      .map((register) => [register.key, register]),
  );
  const known = (name: string): boolean => {
    const key = serviceKey(name);
    const put = inCall.get(key);
    const here = held(key);
    const newest = put && (!here || put.version > here.version) ? put : here;
    return newest !== undefined && !newest.dropped;
  };
  return call
    .filter((register) => register.key.startsWith("route/") && !register.dropped)
    .flatMap(servicesOf)
    .find((name) => !known(name));
};

/** All that stands, laid out as in the operator's first call. */
export const toConfigDocument = (registers: readonly Register[]): UnknownRecord => {
  const standing = registers.filter((register) => !register.dropped);
  const limits = standing.find((register) => register.key === LIMITS_KEY);
  const groups = standing
    .filter((register) => register.key.startsWith("service/"))
    .map((register) => parseJson(register.body));
  const byHost = new Map<string, unknown[]>();
  standing
    .filter((register) => register.key.startsWith("route/"))
    .forEach((register) => {
      const record = asRecord(parseJson(register.body));
      const host = String(record["host"]);
      byHost.set(host, [...(byHost.get(host) ?? []), record["rule"]]);
    });
  const listeners = [...byHost].map(([host, rules]) => ({ host, rules }));
  return { ...(limits ? { limits: parseJson(limits.body) } : {}), listeners, groups };
};
