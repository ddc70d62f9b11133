/** Parses configuration changes sent by operators. */
import { err, ok, type Result } from "true-myth/result";
import { asList, asRecord, parseJson, type UnknownRecord } from "../common/decode.js";
import type { Register } from "../consensus/register.js";
import { routeKey, serviceKey } from "./config-keys.js";
import { InvalidChangeError, UnreadableChangeError, type ConfigError } from "./errors.js";
import { requireName } from "./item-schema.js";
import {
  toLimitsRegister,
  toRemovalRegister,
  toRouteRegister,
  toServiceRegister,
} from "./validation.js";

const optionalList = (value: unknown, field: string): readonly unknown[] =>
  value === undefined ? [] : asList(value, field);

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
    const put = change["putItems"] === undefined ? {} : asRecord(change["putItems"], "putItems");
    const remove = change["remove"] === undefined ? {} : asRecord(change["remove"], "remove");
    const registers: Register[] =
      put["limits"] === undefined ? [] : [toLimitsRegister(put["limits"])];
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
    registers.push(...optionalList(remove["routes"], "routes").map(toRemovalRegister(routeKey)));
    registers.push(...optionalList(remove["groups"], "groups").map(toRemovalRegister(serviceKey)));
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
