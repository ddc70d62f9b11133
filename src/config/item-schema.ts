/** Schemas of the configuration items: routes, services, customers and limits. */
import convict from "convict";
import { asList, asRecord, isRecord, type UnknownRecord } from "../common/decode.js";
import { parseDuration, SECOND_US } from "../common/duration.js";

/** Maximum value of `giveUp`, the total time for which a request may be attempted. */
const MAX_GIVE_UP_US = 600 * SECOND_US;

/** How the workers of a sharded service are granted their keys. */
const GRANTS_BY_HEARTBEAT = "heartbeat";
const MAX_API_KEY_LENGTH = 256;
const API_KEY = new RegExp(`^[!-~]{1,${MAX_API_KEY_LENGTH}}$`);

/** An API key is sent as the value of a header, so it has no spaces (RFC 9110, section 5.5). */
const isApiKey = (value: unknown): boolean => typeof value === "string" && API_KEY.test(value);

const requirePositiveDuration = (value: unknown): void => {
  if (!(parseDuration(value).unwrapOr(0) > 0))
    throw new Error("must be a duration above 0, such as 1500ms");
};
/** @throws if the value is not a non-empty string */
export const requireName = (value: unknown): void => {
  if (typeof value !== "string" || value === "") throw new Error("must be a non-empty string");
};
/** @throws if the value is not an integer of 0 or more */
export const requireVersion = (value: unknown): void => {
  if (!Number.isSafeInteger(value) || Number(value) < 0)
    throw new Error("must be an integer of 0 or more");
};
convict.addFormats({
  "plan-version": { validate: requireVersion },
  named: { validate: requireName },
  "span-over-0": { validate: requirePositiveDuration },
  "span-or-none": {
    validate: (value: unknown) => {
      if (value !== "" && parseDuration(value).isErr)
        throw new Error("must be a duration, such as 1500ms");
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
      requirePositiveDuration(value);
      if (parseDuration(value).unwrapOr(0) > MAX_GIVE_UP_US)
        throw new Error("must be 10 minutes or less");
    },
  },
  "path-start": {
    validate: (value: unknown) => {
      if (typeof value !== "string" || !value.startsWith("/"))
        throw new Error("must begin with a slash");
    },
  },
  destination: {
    validate: (list: unknown) => {
      const [value] = asList(list);
      if (!isRecord(value)) throw new Error("must be an object");
      if (value["shares"] === undefined) {
        requireName(value["service"]);
        return;
      }
      const shares = asList(value["shares"]).map((share) => asRecord(share));
      shares.forEach((share) => requireName(share["service"]));
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
 * Created once per kind of item, because creating a schema costs far more than using it. Invariant:
 * every use sets every field of the schema, so that no value of the previous item remains. A list
 * is replaced as a whole, so an object with optional fields is wrapped in one.
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
  public: { format: Boolean, default: false },
});

const serviceSchema = convict({
  name: { format: "named", default: "" },
  version: { format: "plan-version", default: -1 },
  statusPath: { format: "path-start", default: "" },
  maxConnections: { format: "nat", default: 0 },
  ratePerS: { format: "rate", default: 0 },
  dropsRepeats: { format: Boolean, default: false },
  sharded: { format: Boolean, default: false },
  grants: { format: String, default: "" },
  warmUp: { format: "span-or-none", default: "" },
  coldRateS: { format: "rate", default: 0 },
  protocol: { format: ["h1"], default: "h1" },
  encrypted: { format: [false], default: false },
});

const customerSchema = convict({
  name: { format: "named", default: "" },
  version: { format: "plan-version", default: -1 },
  rank: { format: "nat", default: 0 },
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
  public: false,
};
const CUSTOMER_DEFAULTS: UnknownRecord = { name: "", version: -1, rank: 0 };
const SERVICE_DEFAULTS: UnknownRecord = {
  name: "",
  version: -1,
  statusPath: "",
  maxConnections: 0,
  ratePerS: 0,
  dropsRepeats: false,
  sharded: false,
  grants: "",
  warmUp: "",
  coldRateS: 0,
  protocol: "h1",
  encrypted: false,
};
const LIMITS_DEFAULTS: UnknownRecord = {
  version: -1,
  maxHeaderBytes: 0,
  maxBodyBytes: 0,
  headerWait: "",
  idle: "",
};

/**
 * The schemas convert texts to numbers and booleans, but an item is stored as it came, and a text
 * would then have no effect.
 */
const requireDefaultTypes = (defaults: UnknownRecord, value: UnknownRecord): void =>
  Object.entries(defaults)
    .filter(([, preset]) => typeof preset === "number" || typeof preset === "boolean")
    .forEach(([field, preset]) => {
      const given = value[field];
      if (given !== undefined && typeof given !== typeof preset)
        throw new Error(`${field}: must be a ${typeof preset}`);
    });

/** Returns the given fields of a record without those that are undefined. */
export const pickFields = (record: UnknownRecord, fields: readonly string[]): UnknownRecord => {
  const kept = fields
    .filter((field) => record[field] !== undefined)
    .map((field): [string, unknown] => [field, record[field]]);
  return Object.fromEntries(kept);
};

const validate = (
  schema: { load: (conf: UnknownRecord) => unknown; validate: () => unknown },
  defaults: UnknownRecord,
  value: UnknownRecord,
): void => {
  requireDefaultTypes(defaults, value);
  schema.load({ ...defaults, ...value });
  schema.validate();
};

/**
 * Validates the fields of a route.
 *
 * @throws if a field violates the schema
 */
export const validateRoute = (route: UnknownRecord): void =>
  validate(routeSchema, ROUTE_DEFAULTS, route);

/** The fields of each kind of item that have an effect; others are stored without one. */
export const ITEM_FIELDS: Readonly<Record<string, readonly string[]>> = {
  route: [...Object.keys(ROUTE_DEFAULTS), "matchOn", "then"],
  service: Object.keys(SERVICE_DEFAULTS),
  customer: [...Object.keys(CUSTOMER_DEFAULTS), "apiKeys"],
  limits: Object.keys(LIMITS_DEFAULTS),
};

/**
 * Validates the fields of a service.
 *
 * @throws if a field violates the schema
 */
export const validateService = (service: UnknownRecord): void => {
  validate(serviceSchema, SERVICE_DEFAULTS, pickFields(service, Object.keys(SERVICE_DEFAULTS)));
  if (service["sharded"] === true && service["grants"] !== GRANTS_BY_HEARTBEAT)
    throw new Error(`grants: must be "${GRANTS_BY_HEARTBEAT}" for a sharded service`);
};

/**
 * Validates the fields of a customer.
 *
 * @throws if a field violates the schema. The message contains no API key.
 */
export const validateCustomer = (customer: UnknownRecord): void => {
  validate(customerSchema, CUSTOMER_DEFAULTS, pickFields(customer, Object.keys(CUSTOMER_DEFAULTS)));
  if (customer["ratePerS"] !== undefined)
    throw new Error("ratePerS: rate limits of customers are not supported");
  const keys = asList(customer["apiKeys"], "apiKeys");
  if (!keys.every(isApiKey))
    throw new Error(
      `apiKeys: must be texts of 1 to ${MAX_API_KEY_LENGTH} visible ASCII characters`,
    );
};

/**
 * Validates the fields of the limits.
 *
 * @throws if a field violates the schema
 */
export const validateLimits = (limits: UnknownRecord): void =>
  validate(limitsSchema, LIMITS_DEFAULTS, pickFields(limits, Object.keys(LIMITS_DEFAULTS)));
