/** `purge`: purges cached objects. */
import type { Command } from "commander";
import {
  clientFor,
  commandAction,
  print,
  withControllerOptions,
  type ControllerOptions,
} from "../command-line.js";
import { InvalidInputError } from "../errors.js";

interface PurgeOptions extends ControllerOptions {
  readonly host?: string;
  readonly path?: string;
  readonly label?: string;
}

const purge = async (options: PurgeOptions): Promise<void> => {
  const { host, path, label } = options;
  const isComplete =
    label === undefined
      ? host !== undefined && path !== undefined
      : host === undefined && path === undefined;
  if (!isComplete) throw new InvalidInputError("give --host and --path, or --label alone");
  await clientFor(options).post("/purge", label === undefined ? { host, path } : { label });
  print("Purged.");
};

/** Adds the command to `ctl`. */
export const addPurgeCommand = (ctl: Command): void => {
  withControllerOptions(
    ctl
      .command("purge")
      .summary("purge cached objects")
      .description("Purge one cached object (--host and --path), or all that carry a label.")
      .option("--host <host>", "the object's host")
      .option("--path <path>", "the object's path")
      .option("--label <label>", "a label"),
  ).action(commandAction(purge));
};
