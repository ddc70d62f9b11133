/**
 * Access to files named on the command line. A failure to read or write one counts as invalid
 * input.
 */
import { readFile, writeFile } from "node:fs/promises";
import { parseJson } from "../../common/decode.js";
import { messageOf } from "../../common/errors.js";
import { InvalidInputError } from "./errors.js";

/** @throws InvalidInputError if the file cannot be read */
export const readTextFile = async (path: string): Promise<string> => {
  try {
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new InvalidInputError(`${path} cannot be read: ${messageOf(cause)}`, { cause });
  }
};

/** @throws InvalidInputError if the text of the file at `path` is not JSON */
export const parseJsonFile = (path: string, text: string): unknown => {
  try {
    return parseJson(text);
  } catch (cause) {
    throw new InvalidInputError(`${path} cannot be read: ${messageOf(cause)}`, { cause });
  }
};

/** @throws InvalidInputError if the file cannot be written */
export const withWriteErrors = async <T>(path: string, write: () => Promise<T>): Promise<T> => {
  try {
    return await write();
  } catch (cause) {
    throw new InvalidInputError(`${path} cannot be written: ${messageOf(cause)}`, { cause });
  }
};

/** @throws InvalidInputError if the file cannot be written */
export const writeJsonFile = (path: string, value: unknown): Promise<void> =>
  withWriteErrors(path, () => writeFile(path, JSON.stringify(value)));
