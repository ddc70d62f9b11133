/** The configuration as a whole: what it refers to, and the document that operators read. */
import { asRecord, parseJson, type UnknownRecord } from "../common/decode.js";
import { readWeightedServices } from "../common/weighted-split.js";
import type { Register } from "../consensus/register.js";
import { isRouteKey, isServiceKey, LIMITS_KEY, serviceKey } from "./config-keys.js";

const servicesOf = (route: Register): readonly string[] => {
  const then = asRecord(asRecord(asRecord(parseJson(route.body))["rule"])["then"]);
  return readWeightedServices(then).map(({ service }) => service);
};

/**
 * The first service that a route of the change names and that neither the change nor the replica
 * has.
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
  const known = (name: string): boolean => {
    const key = serviceKey(name);
    const put = inChange.get(key);
    const here = current(key);
    const newest = put && (!here || put.version > here.version) ? put : here;
    return newest !== undefined && !newest.dropped;
  };
  return change
    .filter((register) => isRouteKey(register.key) && !register.dropped)
    .flatMap(servicesOf)
    .find((name) => !known(name));
};

/** The whole configuration, in the form of a change that would create it. */
export const toConfigDocument = (registers: readonly Register[]): UnknownRecord => {
  const standing = registers.filter((register) => !register.dropped);
  const limits = standing.find((register) => register.key === LIMITS_KEY);
  const groups = standing
    .filter((register) => isServiceKey(register.key))
    .map((register) => parseJson(register.body));
  const byHost = new Map<string, unknown[]>();
  standing
    .filter((register) => isRouteKey(register.key))
    .forEach((register) => {
      const record = asRecord(parseJson(register.body));
      const host = String(record["host"]);
      byHost.set(host, [...(byHost.get(host) ?? []), record["rule"]]);
    });
  const listeners = [...byHost].map(([host, rules]) => ({ host, rules }));
  return { ...(limits ? { limits: parseJson(limits.body) } : {}), listeners, groups };
};
