/**
 * `backends forecast`: forecasts which requests would move when workers are added or retired, and
 * checks the forecast after the change.
 */
import type { Command } from "commander";
import { isRecord, type UnknownRecord } from "../../../common/decode.js";
import {
  clientFor,
  commandAction,
  print,
  printJson,
  withQueryOptions,
  type QueryOptions,
} from "../command-line.js";
import { InvalidInputError } from "../errors.js";
import { parseJsonFile, readTextFile, writeJsonFile } from "../files.js";
import {
  countResults,
  readSavedForecast,
  checkForecast,
  type CheckedRow,
} from "../forecast-check.js";
import { toRows, formatValue, formatValues } from "../json-values.js";
import { formatTable } from "../table.js";

interface ForecastOptions extends QueryOptions {
  readonly add?: readonly string[];
  readonly retire?: readonly string[];
  readonly byRoute?: boolean;
  readonly byNode?: boolean;
  readonly keep?: string;
  readonly check?: string;
}

const formatPercent = (value: unknown): string =>
  typeof value === "number" ? `${(value * 100).toFixed(1)}%` : "";

const round = (value: unknown): unknown =>
  typeof value === "number" ? Math.round(value * 100) / 100 : value;

const formatZones = (zones: unknown): string =>
  isRecord(zones)
    ? Object.entries(zones)
        .map(([zone, share]) => `${zone} ${formatPercent(share)}`)
        .join(", ")
    : "";

const toForecastRow = (row: UnknownRecord): UnknownRecord => ({
  ...(row["node"] === undefined ? {} : { node: row["node"] }),
  service: row["service"],
  kind: row["kind"],
  ...(row["route"] === undefined || row["route"] === "" ? {} : { route: row["route"] }),
  calls: row["calls"],
  perS: round(row["perS"]),
  moved: formatPercent(row["moved"]),
  between: `${formatPercent(row["low"])} and ${formatPercent(row["high"])}`,
  goesTo: formatZones(row["toCells"]),
  newConnections: round(row["newConnections"]),
});

const roundFields = (row: UnknownRecord): UnknownRecord =>
  Object.fromEntries(Object.entries(row).map(([name, value]) => [name, round(value)]));

/**
 * Formats a forecast as tables: shares in percent, the zones that requests would move to in one
 * column.
 */
const formatForecast = (forecast: UnknownRecord, isByNode: boolean): string => {
  const loaded = toRows(forecast["loaded"]).map(roundFields);
  return [
    formatTable(toRows(forecast["fleet"]).map(toForecastRow)),
    ...(isByNode ? ["", formatTable(toRows(forecast["nodes"]).map(toForecastRow))] : []),
    ...(loaded.length > 0
      ? ["", "Workers that would have more than 80% of their slots in use:", formatTable(loaded)]
      : []),
    ...formatValues(forecast["warnings"]).map((warning) => `Warning: ${warning}.`),
  ].join("\n");
};

const formatCheck = (rows: readonly CheckedRow[]): string => {
  const shown = rows.map((row) => ({
    ...row,
    forecastJoin: formatPercent(row.forecastJoin),
    low: formatPercent(row["low"]),
    high: formatPercent(row["high"]),
    seenJoin: formatPercent(row.seenJoin),
    seenLeave: formatPercent(row.seenLeave),
  }));
  const totals = Object.entries(countResults(rows)).map(([result, count]) => `${count} ${result}`);
  return `${formatTable(shown)}\n${totals.join(", ")}`;
};

const readForecastFile = async (file: string): Promise<UnknownRecord> => {
  const forecast = readSavedForecast(parseJsonFile(file, await readTextFile(file)));
  if (typeof forecast === "string") throw new InvalidInputError(forecast);
  return forecast;
};

/** Compares a forecast saved by `--keep` with what the nodes have counted since. */
const checkBackends = async (file: string, options: ForecastOptions): Promise<void> => {
  const savedForecast = await readForecastFile(file);
  const services = [
    ...new Set(toRows(savedForecast["subsets"]).map((row) => formatValue(row["service"]))),
  ];
  const answer = await clientFor(options).post("/backends/seen", { services });
  const rows = checkForecast(savedForecast, toRows(answer["seen"]));
  if (options.json === true) printJson(rows);
  else print(formatCheck(rows));
};

const readAddition = (text: string): UnknownRecord => {
  const parts = /^([^@]+)@([^*]+)(?:\*(\d+))?$/.exec(text);
  if (!parts) throw new InvalidInputError(`${text} is not SERVICE@ZONE or SERVICE@ZONE*N`);
  return { service: parts[1], cell: parts[2], count: Number(parts[3] ?? 1) };
};

const forecastBackends = async (options: ForecastOptions): Promise<void> => {
  if (options.check !== undefined) return checkBackends(options.check, options);
  const answer = await clientFor(options).post("/backends/forecast", {
    add: (options.add ?? []).map(readAddition),
    retire: options.retire ?? [],
    byRoute: options.byRoute === true,
  });
  const forecast = isRecord(answer["moves"]) ? answer["moves"] : {};
  if (options.keep !== undefined) await writeJsonFile(options.keep, forecast);
  if (options.json === true) printJson(forecast);
  else print(formatForecast(forecast, options.byNode === true));
};

/** Adds the commands to `ctl`. */
export const addBackendCommands = (ctl: Command): void => {
  const backends = ctl.command("backends").description("forecast changes of the workers");
  withQueryOptions(
    backends
      .command("forecast")
      .summary("forecast which requests would move")
      .description(
        "Forecast which share of each node's requests would move to other workers. Nothing is changed.",
      )
      .option("--add <workers...>", "workers to add, each as SERVICE@ZONE or SERVICE@ZONE*COUNT")
      .option("--retire <worker...>", "workers to retire")
      .option("--by-route", "print a row for each route")
      .option("--by-node", "also print the rows of each node")
      .option("--keep <file>", "save the forecast to a file, for --check")
      .option(
        "--check <file>",
        "compare a saved forecast with what the nodes have counted since, a minute after the change",
      ),
  ).action(commandAction(forecastBackends));
};
