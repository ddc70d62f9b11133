/** `window add | list | show | cancel | extend`: maintenance windows of zones. */
import type { Command } from "commander";
import type { UnknownRecord } from "../../../common/decode.js";
import { parseDuration } from "../../../common/duration.js";
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
import { nestedRows, toRows, formatValue, formatValues } from "../json-values.js";
import { formatTable } from "../table.js";

/**
 * Returns a duration such as 90s unchanged, and converts a date and time to the duration until
 * then.
 */
const readOpening = (when: string): string => {
  if (parseDuration(when).isOk) return when;
  const leftMs = Date.parse(when) - Date.now();
  if (leftMs > 0) return `${leftMs}ms`;
  throw new InvalidInputError(`${when} is neither a duration such as 90s nor a time in the future`);
};

const requireDuration = (option: string, example: string, value: string): string => {
  if (parseDuration(value).isOk) return value;
  throw new InvalidInputError(`${option} must be a duration such as ${example}`);
};

interface AddOptions extends ControllerOptions {
  readonly opens: string;
  readonly lasts: string;
}

const addWindow = async (zone: string, options: AddOptions): Promise<void> => {
  const opens = readOpening(options.opens);
  const lasts = requireDuration("--lasts", "1800s", options.lasts);
  const answer = await clientFor(options).post("/windows", { cell: zone, opens, lasts });
  print(
    [
      `Window ${formatValue(answer["id"])} is planned.`,
      ...formatValues(answer["warnings"]).map((warning) => `Warning: ${warning}`),
    ].join("\n"),
  );
};

const fetchWindows = async (options: QueryOptions): Promise<readonly UnknownRecord[]> =>
  nestedRows(await clientFor(options).get("/tell/windows"), "windows", "windows");

const listWindows = async (options: QueryOptions): Promise<void> => {
  const rows = await fetchWindows(options);
  if (options.json === true) printJson(rows);
  else print(formatTable(rows));
};

const showWindow = async (id: string, options: QueryOptions): Promise<void> => {
  const window = (await fetchWindows(options)).find((row) => row["id"] === id);
  if (!window) throw new RejectedError(`there is no window ${id}`);
  if (options.json === true) printJson(window);
  else print(formatTable(toRows(window)));
};

const cancelWindow = async (id: string, options: ControllerOptions): Promise<void> => {
  await clientFor(options).post(`/windows/${encodeURIComponent(id)}/cancel`);
  print("Cancelled.");
};

const extendWindow = async (
  id: string,
  options: ControllerOptions & { readonly by: string },
): Promise<void> => {
  const by = requireDuration("--by", "600s", options.by);
  await clientFor(options).post(`/windows/${encodeURIComponent(id)}/extend`, { by });
  print("Extended.");
};

/** Adds the commands to `ctl`. */
export const addWindowCommands = (ctl: Command): void => {
  const window = ctl.command("window").description("plan maintenance windows of zones");
  withControllerOptions(
    window
      .command("add <zone>")
      .summary("plan a window")
      .description("Plan a window. Its requests move to the other zones before it opens.")
      .requiredOption(
        "--opens <when>",
        "a duration from now such as 600s, or a time such as 2027-01-31T02:00Z",
      )
      .requiredOption("--lasts <duration>", "how long it lasts, such as 1800s"),
  ).action(commandAction(addWindow));
  withQueryOptions(window.command("list").description("list every window with its stage")).action(
    commandAction(listWindows),
  );
  withQueryOptions(window.command("show <id>").description("show one window")).action(
    commandAction(showWindow),
  );
  withControllerOptions(
    window.command("cancel <id>").description("cancel a window; its requests return"),
  ).action(commandAction(cancelWindow));
  withControllerOptions(
    window
      .command("extend <id>")
      .description("make a window longer")
      .requiredOption("--by <duration>", "by how much, such as 600s"),
  ).action(commandAction(extendWindow));
};
