/**
 * What all commands of `yewreel ctl` share: their options, their output, and how an error ends
 * them.
 */
import type { Command } from "commander";
import { CommandError } from "./errors.js";
import { ControllerClient } from "./controller-client.js";

/** The options of a command that calls the controllers. */
export interface ControllerOptions {
  readonly controller?: readonly string[];
}

/** The options of a command that prints an answer. */
export interface QueryOptions extends ControllerOptions {
  readonly json?: boolean;
}

/** Adds `--controller`. */
export const withControllers = (command: Command): Command =>
  command.option(
    "-c, --controller <address...>",
    "controllers to call, as ip:port, tried in turn (env: YEWREEL_CONTROLLERS, comma-separated)",
  );

/** Adds `--controller` and `--json`. */
export const withQueryOptions = (command: Command): Command =>
  withControllers(command).option("--json", "print JSON instead of a table");

/** The client for the controllers that the options name, or else the environment. */
export const clientFor = ({ controller }: ControllerOptions): ControllerClient =>
  new ControllerClient(
    controller ??
      (process.env["YEWREEL_CONTROLLERS"] ?? "").split(",").filter((address) => address !== ""),
  );

/** Writes one line, or more, to standard output. */
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
