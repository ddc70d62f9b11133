/** Validates the items of a change and converts them to registers. */
import { asRecord } from "../common/decode.js";
import { makeRegister, type Register } from "../consensus/register.js";
import { customerKey, LIMITS_KEY, routeKey, serviceKey } from "./config-keys.js";
import {
  pickFields,
  requireName,
  requireVersion,
  validateCustomer,
  validateLimits,
  validateRoute,
  validateService,
} from "./item-schema.js";

/**
 * Validates a route and converts it to a register.
 *
 * @throws if a field violates the schema
 */
export const toRouteRegister = (host: unknown, value: unknown): Register => {
  const rule = asRecord(value, "rule");
  const then = asRecord(rule["then"], "then");
  const matchOn = asRecord(rule["matchOn"], "matchOn");
  const flat = {
    ...pickFields(rule, [
      "name",
      "version",
      "routeKind",
      "target_time",
      "rank",
      "cacheFor",
      "public",
    ]),
    ...pickFields(then, ["giveUp", "tries"]),
    host,
    matchOn: { pathStart: matchOn["pathStart"] ?? "" },
    then: [pickFields(then, ["service", "shares"])],
  };
  validateRoute(flat);
  return makeRegister(
    routeKey(String(rule["name"])),
    Number(rule["version"]),
    JSON.stringify({ host, rule }),
  );
};

/**
 * Validates a service and converts it to a register.
 *
 * @throws if a field violates the schema
 */
export const toServiceRegister = (value: unknown): Register => {
  const group = asRecord(value, "group");
  validateService(group);
  return makeRegister(
    serviceKey(String(group["name"])),
    Number(group["version"]),
    JSON.stringify(group),
  );
};

/**
 * Validates a customer and converts it to a register.
 *
 * @throws if a field violates the schema. The message contains no API key.
 */
export const toCustomerRegister = (value: unknown): Register => {
  const customer = asRecord(value, "customer");
  validateCustomer(customer);
  return makeRegister(
    customerKey(String(customer["name"])),
    Number(customer["version"]),
    JSON.stringify(customer),
  );
};

/**
 * Validates the limits and converts them to a register.
 *
 * @throws if a field violates the schema
 */
export const toLimitsRegister = (value: unknown): Register => {
  const limits = asRecord(value, "limits");
  validateLimits(limits);
  return makeRegister(LIMITS_KEY, Number(limits["version"]), JSON.stringify(limits));
};

/**
 * Validates the removal of an item and converts it to a register marked as removed.
 *
 * @throws if the name or the version is missing or invalid
 */
export const toRemovalRegister =
  (keyOf: (name: string) => string) =>
  (value: unknown): Register => {
    const record = asRecord(value, "remove");
    requireName(record["name"]);
    requireVersion(record["version"]);
    return makeRegister(keyOf(String(record["name"])), Number(record["version"]), "", true);
  };
