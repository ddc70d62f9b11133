/** The queries that print one table each: `evacuations`, `customers`, `nodes`, `workers`, `inspection`, `keys`, `goods`. */
import type { Command } from "commander";
import { toRows } from "../json-values.js";
import {
  clientFor,
  commandAction,
  print,
  printJson,
  withQueryOptions,
  type QueryOptions,
} from "../command-line.js";
import { formatTable } from "../table.js";

/**
 * Summaries by command name. The path of the admin API below `/tell/` and the field of its response
 * have the same name.
 */
const QUERIES: Readonly<Record<string, string>> = {
  evacuations: "list the zones that are evacuated or returning",
  customers: "list the customers, with the number of their API keys",
  nodes: "list the gateways with a session",
  shards: "list the keys of sharded services with their owners",
  workers: "list the workers by their last heartbeats",
  inspection: "show faults by worker, ejections and the zonal shift, with their reasons",
  keys: "show idempotency keys and purges held, and whether this replica counts",
  goods: "show the content, hits, misses, revalidations and rejections of each cache",
};

/** Prints one field of a response, or the whole response if it lacks the field. */
export const runQuery = async (
  options: QueryOptions,
  path: string,
  field: string,
): Promise<void> => {
  const answer = await clientFor(options).get(path);
  const value = answer[field] ?? answer;
  if (options.json === true) printJson(value);
  else print(formatTable(toRows(value)));
};

/** Adds the commands to `ctl`. */
export const addQueryCommands = (ctl: Command): void =>
  Object.entries(QUERIES).forEach(([name, summary]) => {
    withQueryOptions(ctl.command(name).description(summary)).action(
      commandAction((options: QueryOptions) => runQuery(options, `/tell/${name}`, name)),
    );
  });
