/** The configuration as a whole: reference checks, and the document returned to operators. */
import { asRecord, parseJson, type UnknownRecord } from "../common/decode.js";
import { readWeightedServices } from "../common/weighted-split.js";
import type { Register } from "../consensus/register.js";
import { isRouteKey, isServiceKey, LIMITS_KEY, serviceKey } from "./config-keys.js";

const servicesOf = (route: Register): readonly string[] => {
  const then = asRecord(asRecord(asRecord(parseJson(route.body))["rule"])["then"]);
  return readWeightedServices(then).map(({ service }) => service);
};

/**
 * Returns the first service that a route in the change refers to and that exists neither in the
 * change nor in the current configuration.
 */
export const findUnknownService = (
  change: readonly Register[],
  current: (key: string) => Register | undefined,
): string | undefined => {
  const inChange = new Map(
    change
      .filter((register) => isServiceKey(register.key))
      .map((register) => [register.key, register]),
  );
  const isKnown = (name: string): boolean => {
    const key = serviceKey(name);
    const proposed = inChange.get(key);
    const stored = current(key);
    const newest = proposed && (!stored || proposed.version > stored.version) ? proposed : stored;
    return newest !== undefined && !newest.dropped;
  };
  return change
    .filter((register) => isRouteKey(register.key) && !register.dropped)
    .flatMap(servicesOf)
    .find((name) => !isKnown(name));
};

/** Returns the complete configuration in the format of a change that would create it. */
export const toConfigDocument = (registers: readonly Register[]): UnknownRecord => {
  const live = registers.filter((register) => !register.dropped);
  const limits = live.find((register) => register.key === LIMITS_KEY);
  const groups = live
    .filter((register) => isServiceKey(register.key))
    .map((register) => parseJson(register.body));
  const byHost = new Map<string, unknown[]>();
  live
    .filter((register) => isRouteKey(register.key))
    .forEach((register) => {
      const record = asRecord(parseJson(register.body));
      const host = String(record["host"]);
      byHost.set(host, [...(byHost.get(host) ?? []), record["rule"]]);
    });
  const listeners = [...byHost].map(([host, rules]) => ({ host, rules }));
  return { ...(limits ? { limits: parseJson(limits.body) } : {}), listeners, groups };
};
