/** `apply` and `read`: changing and reading the configuration. */
import type { Command } from "commander";
import { isRecord } from "../../../common/decode.js";
import {
  clientFor,
  commandAction,
  print,
  printJson,
  withControllerOptions,
  type ControllerOptions,
} from "../command-line.js";
import { InvalidInputError } from "../errors.js";
import { parseJsonFile, readTextFile } from "../files.js";

/**
 * Reads a change request from a file: the text unchanged if it has `putItems` or `remove`, or else
 * a request that puts the items of the file.
 */
const readChangeRequest = async (path: string): Promise<string> => {
  const text = await readTextFile(path);
  const items = parseJsonFile(path, text);
  if (!isRecord(items)) throw new InvalidInputError(`${path} does not contain a JSON object`);
  return items["putItems"] === undefined && items["remove"] === undefined
    ? JSON.stringify({ putItems: items, remove: { routes: [] } })
    : text;
};

/** Adds the commands to `ctl`. */
export const addConfigurationCommands = (ctl: Command): void => {
  withControllerOptions(
    ctl
      .command("apply <file>")
      .summary("apply a configuration file")
      .description("Apply a configuration file: a change request, or the items that it would put."),
  ).action(
    commandAction(async (file: string, options: ControllerOptions) => {
      const body = await readChangeRequest(file);
      await clientFor(options).call({ method: "POST", path: "/plan/change", body });
      print("Taken.");
    }),
  );
  withControllerOptions(
    ctl
      .command("read")
      .summary("print the configuration in force, as JSON")
      .description("Print the configuration in force, as JSON."),
  ).action(
    commandAction(async (options: ControllerOptions) => {
      printJson(await clientFor(options).get("/plan/read"));
    }),
  );
};
