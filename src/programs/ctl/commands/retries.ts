/** `retries show | set`: the fleet's retry quota. */
import type { Command } from "commander";
import {
  clientFor,
  commandAction,
  print,
  withControllerOptions,
  withQueryOptions,
  type ControllerOptions,
  type QueryOptions,
} from "../command-line.js";
import { InvalidInputError } from "../errors.js";
import { runQuery } from "./queries.js";

interface SetOptions extends ControllerOptions {
  readonly ratio: string;
  readonly slack: string;
  readonly service: string;
}

const readNumber = (text: string): number | undefined => {
  const value = Number(text);
  return text.trim() !== "" && Number.isFinite(value) && value >= 0 ? value : undefined;
};

const setLimit = async (kind: string, options: SetOptions): Promise<void> => {
  const [ratio, slack] = [readNumber(options.ratio), readNumber(options.slack)];
  if (ratio === undefined || slack === undefined)
    throw new InvalidInputError("--ratio and --slack must be numbers of 0 or more");
  await clientFor(options).post("/retries", { service: options.service, kind, ratio, slack });
  print("Written.");
};

/** Adds the commands to `ctl`. */
export const addRetryCommands = (ctl: Command): void => {
  const retries = ctl
    .command("retries")
    .description("show and set the fleet's limit on retries, by kind of request");
  withQueryOptions(
    retries
      .command("show")
      .description("show limit, spent, rejected and left, by service and kind, over all nodes"),
  ).action(commandAction((options: QueryOptions) => runQuery(options, "/tell/retries", "retries")));
  withControllerOptions(
    retries
      .command("set <kind>")
      .summary("set the limit of one kind")
      .description(
        "Set the limit of one kind (safe, unsafe, keyed, cached): in any window at most ratio x requests + slack.",
      )
      .requiredOption("--ratio <number>", "retries for each request, such as 0.1")
      .requiredOption("--slack <number>", "retries beyond that in a window, over all nodes")
      .option("--service <name>", "for this service alone", "*"),
  ).action(commandAction(setLimit));
};
