/** `rollout list | show | clear`: the canary analysis of routes that split their traffic. */
import type { Command } from "commander";
import type { UnknownRecord } from "../../../common/decode.js";
import {
  clientFor,
  commandAction,
  print,
  printJson,
  withControllerOptions,
  withQueryOptions,
  type ControllerOptions,
  type QueryOptions,
} from "../command-line.js";
import { InvalidInputError, RejectedError } from "../errors.js";
import { nestedRows, toRows } from "../json-values.js";
import { formatTable } from "../table.js";

const SUMMARY_COLUMNS = [
  "route",
  "version",
  "candidate",
  "baseline",
  "verdict",
  "afterMs",
  "reason",
];

const summarize = (row: UnknownRecord): UnknownRecord =>
  Object.fromEntries(SUMMARY_COLUMNS.map((column) => [column, row[column]]));

const fetchRollouts = async (options: QueryOptions): Promise<readonly UnknownRecord[]> =>
  nestedRows(await clientFor(options).get("/tell/rollouts"), "rollouts", "rollouts");

const listRollouts = async (options: QueryOptions): Promise<void> => {
  const rows = await fetchRollouts(options);
  if (options.json === true) printJson(rows);
  else print(formatTable(rows.map(summarize)));
};

const showRollout = async (route: string, options: QueryOptions): Promise<void> => {
  const rows = (await fetchRollouts(options)).filter((row) => row["route"] === route);
  if (rows.length === 0) throw new RejectedError(`${route} is not a route that splits its traffic`);
  if (options.json === true) printJson(rows);
  else print(rows.map((row) => formatTable(toRows(row))).join("\n\n"));
};

interface ClearOptions extends ControllerOptions {
  readonly versionInForce?: string;
}

const clearRollout = async (route: string, options: ClearOptions): Promise<void> => {
  const { versionInForce } = options;
  const version = versionInForce === undefined ? undefined : Number(versionInForce);
  if (version !== undefined && !Number.isSafeInteger(version))
    throw new InvalidInputError("the version must be a whole number");
  await clientFor(options).post(
    `/rollouts/${encodeURIComponent(route)}/clear`,
    version === undefined ? {} : { version },
  );
  print("Cleared.");
};

/** Adds the commands to `ctl`. */
export const addRolloutCommands = (ctl: Command): void => {
  const rollout = ctl
    .command("rollout")
    .description("compare the versions of routes that split their traffic");
  withQueryOptions(
    rollout.command("list").description("list every candidate with its result"),
  ).action(commandAction(listRollouts));
  withQueryOptions(
    rollout
      .command("show <route>")
      .description("show counts, difference, bounds and reason of one route"),
  ).action(commandAction(showRollout));
  withControllerOptions(
    rollout
      .command("clear <route>")
      .description("lift a stop and restart the comparison")
      .option("--version-in-force <number>", "only if this version is in force"),
  ).action(commandAction(clearRollout));
};
