/** Reads a change of the configuration as an operator sends it. */
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

const listOf = (value: unknown, field: string): readonly unknown[] =>
  value === undefined ? [] : asList(value, field);

/**
 * Reads a change item by item; it yields between items, so that the reader of a large one can let
 * others have a turn.
 */
function* readItems(
  body: string,
): Generator<undefined, Result<readonly Register[], ConfigError>, undefined> {
  let change: UnknownRecord;
  try {
    change = asRecord(parseJson(body), "the call");
  } catch (error) {
    return err(new UnreadableChangeError({ cause: error }));
  }
  try {
    const put = change["putItems"] === undefined ? {} : asRecord(change["putItems"], "putItems");
    const remove = change["remove"] === undefined ? {} : asRecord(change["remove"], "remove");
    const registers: Register[] =
      put["limits"] === undefined ? [] : [toLimitsRegister(put["limits"])];
    for (const value of listOf(put["groups"], "groups")) {
      registers.push(toServiceRegister(value));
      yield;
    }
    for (const value of listOf(put["listeners"], "listeners")) {
      const listener = asRecord(value, "listener");
      requireName(listener["host"]);
      for (const rule of listOf(listener["rules"], "rules")) {
        registers.push(toRouteRegister(listener["host"], rule));
        yield;
      }
    }
    registers.push(...listOf(remove["routes"], "routes").map(toRemovalRegister(routeKey)));
    registers.push(...listOf(remove["groups"], "groups").map(toRemovalRegister(serviceKey)));
    return ok(registers);
  } catch (error) {
    const sentence =
      error instanceof Error ? (error.message.split("\n")[0] ?? "") : "the call is wrong";
    return err(new InvalidChangeError(sentence, { cause: error }));
  }
}

/** Reads and validates a change at once. */
export const parseChange = (body: string): Result<readonly Register[], ConfigError> => {
  const items = readItems(body);
  for (;;) {
    const next = items.next();
    if (next.done) return next.value;
  }
};

const ITEMS_PER_TURN = 16;

/**
 * The same, with a turn of the event loop after every few items: heartbeats must go on while a
 * large change is read.
 */
export const parseChangeInTurns = async (
  body: string,
): Promise<Result<readonly Register[], ConfigError>> => {
  const items = readItems(body);
  for (let count = 1; ; count += 1) {
    const next = items.next();
    if (next.done) return next.value;
    if (count % ITEMS_PER_TURN === 0) await new Promise((resolve) => setImmediate(resolve));
  }
};
