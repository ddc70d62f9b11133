/**
 * API keys of customers. An API key belongs to one customer at most; the condition is checked on
 * the customers as they would be in force after a change.
 */
import {
  asRecord,
  asString,
  parseJson,
  readList,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { Register } from "../consensus/register.js";
import type { WriteOptions } from "../consensus/register-writer.js";
import { CUSTOMERS_SERIALIZATION_KEY, isCustomerKey } from "./config-keys.js";

/** Up to this many keys are searched for in the text of the other customers, without parsing it. */
const MAX_KEYS_TO_SEARCH = 16;

const keysOf = (customer: Register): readonly string[] =>
  customer.dropped ? [] : readList(asRecord(parseJson(customer.body)), "apiKeys", asString);

const nameOf = (customer: Register): string =>
  readString(asRecord(parseJson(customer.body)), "name");

/** Whether the text of a customer contains one of the keys. Bodies are serialized the same way. */
const mayHoldOneOf = (customer: Register, keys: readonly string[]): boolean =>
  keys.length > MAX_KEYS_TO_SEARCH ||
  keys.some((key) => customer.body.includes(JSON.stringify(key)));

/** Describes the customers in force, with the number of their API keys instead of the keys. */
export const describeCustomers = (registers: readonly Register[]): readonly UnknownRecord[] =>
  registers
    .filter(({ key, dropped }) => isCustomerKey(key) && !dropped)
    .map((register) => {
      const { name, rank = 0, version } = asRecord(parseJson(register.body));
      return { name, rank, version, apiKeys: keysOf(register).length };
    });

/** The newest customers of a change, without those that are outdated or removed. */
const effectiveCustomers = (
  change: readonly Register[],
  inForce: (key: string) => Register | undefined,
): ReadonlyMap<string, Register> => {
  const newest = new Map<string, Register>();
  change
    .filter(({ key }) => isCustomerKey(key))
    .forEach((register) => {
      const known = newest.get(register.key) ?? inForce(register.key);
      if (!known || register.version > known.version) newest.set(register.key, register);
    });
  return newest;
};

/** A change that puts customers is decided after all others that do, since it may share a key. */
export const serializationOf = (
  change: readonly Register[],
): Pick<WriteOptions, "serializationKey"> =>
  change.some(({ key, dropped }) => isCustomerKey(key) && !dropped)
    ? { serializationKey: CUSTOMERS_SERIALIZATION_KEY }
    : {};

/**
 * Returns the names of two customers that would share an API key after the change; undefined if
 * there are none.
 *
 * @param inForce - returns the register in force under a key
 * @param all - returns all registers in force
 */
export const findSharedKey = (
  change: readonly Register[],
  inForce: (key: string) => Register | undefined,
  all: () => readonly Register[],
): readonly [string, string] | undefined => {
  const changed = effectiveCustomers(change, inForce);
  const holders = new Map<string, Register>();
  for (const customer of changed.values())
    for (const key of keysOf(customer)) {
      const holder = holders.get(key);
      if (holder && holder !== customer) return [nameOf(holder), nameOf(customer)];
      holders.set(key, customer);
    }
  if (holders.size === 0) return undefined;
  const keys = [...holders.keys()];
  const others = all().filter(
    (register) =>
      isCustomerKey(register.key) && !changed.has(register.key) && mayHoldOneOf(register, keys),
  );
  for (const other of others)
    for (const key of keysOf(other)) {
      const holder = holders.get(key);
      if (holder) return [nameOf(other), nameOf(holder)];
    }
  return undefined;
};
