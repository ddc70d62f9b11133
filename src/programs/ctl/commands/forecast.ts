/** `forecast`: how close each service is to its capacity. */
import type { Command } from "commander";
import {
  clientFor,
  commandAction,
  print,
  printJson,
  withQueryOptions,
  type QueryOptions,
} from "../command-line.js";
import { RejectedError } from "../errors.js";
import { nestedRows } from "../json-values.js";
import { formatTable } from "../table.js";

const showForecast = async (service: string | undefined, options: QueryOptions): Promise<void> => {
  const answer = await clientFor(options).get("/tell/forecast");
  const rows = nestedRows(answer, "forecast", "services").filter(
    (row) => service === undefined || row["service"] === service,
  );
  if (service !== undefined && rows.length === 0)
    throw new RejectedError(`unknown service ${service}`);
  if (options.json === true) printJson(rows);
  else print(formatTable(rows));
};

/** Adds the command to `ctl`. */
export const addForecastCommand = (ctl: Command): void => {
  withQueryOptions(
    ctl.command("forecast [service]").description("show how close each service is to its capacity"),
  ).action(commandAction(showForecast));
};
