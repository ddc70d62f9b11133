/** `duty` and `copies`: the leader lease, the voter set, and the local state of each controller. */
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
import { callAddress } from "../controller-client.js";
import { CommandError } from "../errors.js";
import { EXIT_INVALID_INPUT, EXIT_UNREACHABLE } from "../exit-codes.js";
import { toRows, formatValues } from "../json-values.js";
import { formatTable } from "../table.js";

/**
 * Formats the leader, its term and the voter set, followed by every controller with the reason why
 * it does not count towards a quorum.
 */
const formatLeadership = (answer: UnknownRecord): string => {
  const { holder, term, roster, boxes } = isRecord(answer["duty"]) ? answer["duty"] : answer;
  const { number, is, members, from } = isRecord(roster) ? roster : {};
  const current = formatValues(members);
  const leaving = formatValues(from).filter((id) => !current.includes(id));
  const summary = {
    holder,
    term,
    roster: number,
    is,
    members: current.join(" "),
    ...(leaving.length > 0 ? { leaving: leaving.join(" ") } : {}),
  };
  return [formatTable([summary]), "", formatTable(toRows(boxes))].join("\n");
};

/**
 * Queries the local state of one controller, which also works if it is partitioned off. A failure
 * becomes a row as well.
 */
const describeController = async (address: string): Promise<UnknownRecord> => {
  try {
    const answer = await callAddress(address, { method: "GET", path: "/tell/copy" });
    const ownState = isRecord(answer["copy"]) ? answer["copy"] : {};
    return Object.fromEntries(
      Object.entries(ownState).map(([name, value]) => [
        name,
        Array.isArray(value) ? value.join(" ") : value,
      ]),
    );
  } catch (error) {
    if (!(error instanceof CommandError)) throw error;
    return { box: address, view: error.message };
  }
};

const showControllers = async (options: QueryOptions): Promise<void> => {
  const { addresses } = clientFor(options);
  const rows = await Promise.all(addresses.map(describeController));
  if (options.json === true) printJson(rows);
  else print(formatTable(rows));
  if (rows.some((row) => row["counting"] !== undefined)) return;
  process.exitCode = addresses.length === 0 ? EXIT_INVALID_INPUT : EXIT_UNREACHABLE;
};

/** Adds the commands to `ctl`. */
export const addLeadershipCommands = (ctl: Command): void => {
  withQueryOptions(
    ctl
      .command("duty")
      .summary("show the leader, its term, the voter set and the controllers")
      .description(
        "Show the leader, its term, the voter set, and each controller with the reason why it does not count.\n" +
          "The queried controller confirms a quorum first.",
      ),
  ).action(
    commandAction(async (options: QueryOptions) => {
      const answer = await clientFor(options).get("/tell/duty");
      if (options.json === true) printJson(answer["duty"]);
      else print(formatLeadership(answer));
    }),
  );
  withQueryOptions(
    ctl
      .command("copies")
      .summary("show the local state of each named controller")
      .description("Show the local state of each named controller, even if it is partitioned off."),
  ).action(commandAction(showControllers));
};
