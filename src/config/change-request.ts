/** Parses configuration changes sent by operators. */
import { err, ok, type Result } from "true-myth/result";
import { asList, asRecord, parseJson, type UnknownRecord } from "../common/decode.js";
import type { Register } from "../consensus/register.js";
import { customerKey, routeKey, serviceKey } from "./config-keys.js";
import { InvalidChangeError, UnreadableChangeError, type ConfigError } from "./errors.js";
import { requireName } from "./item-schema.js";
import {
  toCustomerRegister,
  toLimitsRegister,
  toRemovalRegister,
  toRouteRegister,
  toServiceRegister,
} from "./validation.js";

const optionalList = (value: unknown, field: string): readonly unknown[] =>
  value === undefined ? [] : asList(value, field);

const CHANGE_FIELDS: ReadonlySet<string> = new Set(["putItems", "remove"]);
const PUT_COLLECTIONS: ReadonlySet<string> = new Set([
  "limits",
  "groups",
  "listeners",
  "customers",
]);
/** Returns the register key of a removed item, by the name of its collection. */
const REMOVE_KEYS: Readonly<Record<string, (name: string) => string>> = {
  routes: routeKey,
  groups: serviceKey,
  services: serviceKey,
  customers: customerKey,
};
const REMOVE_COLLECTIONS: ReadonlySet<string> = new Set(Object.keys(REMOVE_KEYS));

/** @throws if the record has a field that would be acknowledged without being stored */
const requireKnownFields = (
  record: UnknownRecord,
  known: ReadonlySet<string>,
  place: string,
): void => {
  const unknown = Object.keys(record).find((field) => !known.has(field));
  if (unknown !== undefined) throw new Error(`${place} has the unknown field ${unknown}`);
};

/** @throws if the field is not a table, or has an unknown field */
const optionalTable = (
  record: UnknownRecord,
  field: string,
  known: ReadonlySet<string>,
): UnknownRecord => {
  const table = record[field] === undefined ? {} : asRecord(record[field], field);
  requireKnownFields(table, known, field);
  return table;
};

/** @throws if the name or the version of a removed item is missing or invalid */
const readRemovals = (remove: UnknownRecord): readonly Register[] =>
  Object.entries(REMOVE_KEYS).flatMap(([collection, keyOf]) =>
    optionalList(remove[collection], collection).map(toRemovalRegister(keyOf)),
  );

/**
 * Parses a change item by item. Yields between items so that the caller can release the event loop
 * during a large change.
 */
function* readItems(
  body: string,
): Generator<undefined, Result<readonly Register[], ConfigError>, undefined> {
  let change: UnknownRecord;
  try {
    change = asRecord(parseJson(body), "request body");
  } catch (error) {
    return err(new UnreadableChangeError({ cause: error }));
  }
  try {
    requireKnownFields(change, CHANGE_FIELDS, "the change");
    const put = optionalTable(change, "putItems", PUT_COLLECTIONS);
    const remove = optionalTable(change, "remove", REMOVE_COLLECTIONS);
    const registers: Register[] =
      put["limits"] === undefined ? [] : [toLimitsRegister(put["limits"])];
    for (const value of optionalList(put["customers"], "customers")) {
      registers.push(toCustomerRegister(value));
      yield;
    }
    for (const value of optionalList(put["groups"], "groups")) {
      registers.push(toServiceRegister(value));
      yield;
    }
    for (const value of optionalList(put["listeners"], "listeners")) {
      const listener = asRecord(value, "listener");
      requireName(listener["host"]);
      for (const rule of optionalList(listener["rules"], "rules")) {
        registers.push(toRouteRegister(listener["host"], rule));
        yield;
      }
    }
    registers.push(...readRemovals(remove));
    return ok(registers);
  } catch (error) {
    const message =
      error instanceof Error
        ? (error.message.split("\n")[0] ?? "")
        : "the configuration change is invalid";
    return err(new InvalidChangeError(message, { cause: error }));
  }
}

/** Parses and validates a change synchronously. */
export const parseChange = (body: string): Result<readonly Register[], ConfigError> => {
  const items = readItems(body);
  for (;;) {
    const next = items.next();
    if (next.done) return next.value;
  }
};

const ITEMS_PER_TURN = 16;

/**
 * Like {@link parseChange}, but releases the event loop after every few items, so that heartbeats
 * continue while a large change is parsed.
 */
export const parseChangeIncrementally = async (
  body: string,
): Promise<Result<readonly Register[], ConfigError>> => {
  const items = readItems(body);
  for (let count = 1; ; count += 1) {
    const next = items.next();
    if (next.done) return next.value;
    if (count % ITEMS_PER_TURN === 0) await new Promise((resolve) => setImmediate(resolve));
  }
};
