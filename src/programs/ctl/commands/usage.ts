/** `usage`: the gateways' request counts as a file. */
import type { Command } from "commander";
import { commandAction, print } from "../command-line.js";
import { callAddress } from "../controller-client.js";
import { InvalidInputError } from "../errors.js";
import { withWriteErrors } from "../files.js";
import { toRows } from "../json-values.js";
import type { UsageRow } from "../usage-export.js";

const exportUsage = async (file: string, addresses: readonly string[]): Promise<number> => {
  // The writers of CSV and Parquet are loaded only for this command.
  const { readUsageRow, writeUsage } = await import("../usage-export.js");
  const rows: UsageRow[] = [];
  for (const address of addresses) {
    const answer = await callAddress(address, { method: "GET", path: "/tell/counts" });
    rows.push(...toRows(answer["counts"]).map((row) => readUsageRow(address, row)));
  }
  const isWritten = await withWriteErrors(file, () => writeUsage(file, rows));
  if (!isWritten) throw new InvalidInputError(`${file} must end in .csv or .parquet`);
  return rows.length;
};

/** Adds the command to `ctl`. */
export const addUsageCommand = (ctl: Command): void => {
  ctl
    .command("usage <file> <gateway...>")
    .summary("export the gateways' request counts")
    .description(
      "Export the request counts of gateways, named by their ready addresses (ip:port), to FILE.csv or FILE.parquet.",
    )
    .action(
      commandAction(async (file: string, gateways: readonly string[]) => {
        print(`Wrote ${await exportUsage(file, gateways)} rows.`);
      }),
    );
};
