/** Shared parts of all `yewreel ctl` commands: options, output and error handling. */
import type { Command } from "commander";
import { CommandError } from "./errors.js";
import { ControllerClient } from "./controller-client.js";

/** Options of a command that calls the controllers. */
export interface ControllerOptions {
  readonly controller?: readonly string[];
}

/** Options of a command that prints a response. */
export interface QueryOptions extends ControllerOptions {
  readonly json?: boolean;
}

/** Adds `--controller`. */
export const withControllerOptions = (command: Command): Command =>
  command.option(
    "-c, --controller <address...>",
    "controllers to call, as ip:port, tried in turn (env: YEWREEL_CONTROLLERS, comma-separated)",
  );

/** Adds `--controller` and `--json`. */
export const withQueryOptions = (command: Command): Command =>
  withControllerOptions(command).option("--json", "print JSON instead of a table");

/** Creates a client for the controllers named in the options, or else in the environment. */
export const clientFor = ({ controller }: ControllerOptions): ControllerClient =>
  new ControllerClient(
    controller ??
      (process.env["YEWREEL_CONTROLLERS"] ?? "").split(",").filter((address) => address !== ""),
  );

/** Writes a text and a newline to standard output. */
export const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Writes a value as indented JSON. */
export const printJson = (value: unknown): void => {
  process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
};

/**
 * Wraps a command's action: a `CommandError` becomes one line on standard error and the exit code.
 */
export const commandAction =
  <Args extends readonly unknown[]>(action: (...args: Args) => Promise<void>) =>
  async (...args: Args): Promise<void> => {
    try {
      await action(...args);
    } catch (error) {
      if (!(error instanceof CommandError)) throw error;
      process.stderr.write(`ctl: ${error.message}.\n`);
      process.exitCode = error.exitCode;
    }
  };
