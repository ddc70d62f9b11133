/** The size of a run: how many of what, and for how long it is measured. */
import { totalmem } from "node:os";
import type { UnknownRecord } from "../src/common/decode.js";

/** What a run may take of the machine: half of its memory, and so many processes. */
const MAX_PROCESSES = 300;
const MAX_NODES = 10_000;
const MAX_WORKERS = 30_000;
const MAX_MEMORY_FRACTION = 0.5;

export interface Size {
  readonly nodes: number;
  readonly workers: number;
  readonly routes: number;
  readonly services: number;
  readonly controllers: number;
  readonly hosts: number;
  readonly seconds: number;
  /** For how long nodes rest after joining before they are measured. */
  readonly settleSeconds: number;
}

/**
 * A size as results hold it; their field names stay, so that earlier results can be tabled beside
 * new ones.
 */
export const packSize = ({
  controllers,
  settleSeconds,
  hosts,
  seconds,
  ...counts
}: Size): UnknownRecord => ({
  ...counts,
  boxes: controllers,
  hosts,
  seconds,
  settle: settleSeconds,
});

/** What is wrong with the sizes asked for, in one line; undefined if they fit the machine. */
export const findProblem = (sizes: readonly Size[]): string | undefined => {
  for (const { nodes, workers, routes, services, controllers, hosts } of sizes) {
    const invalid = Object.entries({
      nodes,
      routes,
      services,
      controllers,
      hosts,
    }).find(([, value]) => !Number.isSafeInteger(value) || value < 1);
    if (invalid) return `${invalid[0]} must be a whole number of 1 or more`;
    if (!Number.isSafeInteger(workers) || workers < 0)
      return "workers must be a whole number of 0 or more";
    if (nodes > MAX_NODES) return `${nodes} nodes are more than ${MAX_NODES}`;
    if (workers > MAX_WORKERS) return `${workers} workers are more than ${MAX_WORKERS}`;
    const processes = controllers + hosts + Math.ceil(workers / 2_000);
    if (processes > MAX_PROCESSES) return `${processes} processes are more than ${MAX_PROCESSES}`;
    const neededMb =
      controllers * 150 + hosts * 100 + (nodes * (workers + routes + services) * 1.2) / 1_024;
    if (neededMb > (totalmem() / 2 ** 20) * MAX_MEMORY_FRACTION)
      return `about ${Math.round(neededMb)} MB are more than half of this machine's memory`;
  }
  return undefined;
};
