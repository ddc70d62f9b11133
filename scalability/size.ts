/** The size of a run: the number of processes and objects, and the duration of the measurement. */
import { totalmem } from "node:os";
import type { UnknownRecord } from "../src/common/decode.js";

/** Limits that keep a run from overloading the machine. */
const MAX_PROCESSES = 300;
const MAX_NODES = 10_000;
const MAX_WORKERS = 30_000;
const MAX_MEMORY_FRACTION = 0.5;

/** Size of a run. */
export interface Size {
  readonly nodes: number;
  readonly workers: number;
  readonly routes: number;
  readonly services: number;
  readonly controllers: number;
  /** Number of processes that the light nodes share. */
  readonly hosts: number;
  /** Duration of the idle measurement. */
  readonly seconds: number;
  /** Time between the joining of the nodes and the idle measurement. */
  readonly settleSeconds: number;
}

/**
 * Formats a size for a result file. The field names must not change, so that tables can include
 * earlier results.
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

/** Returns why the sizes are invalid or too large for the machine; undefined if they can be run. */
export const findProblem = (sizes: readonly Size[]): string | undefined => {
  for (const { nodes, workers, routes, services, controllers, hosts } of sizes) {
    const invalid = Object.entries({
      nodes,
      routes,
      services,
      controllers,
      hosts,
    }).find(([, value]) => !Number.isSafeInteger(value) || value < 1);
    if (invalid) return `${invalid[0]} must be a positive integer`;
    if (!Number.isSafeInteger(workers) || workers < 0)
      return "workers must be a non-negative integer";
    if (nodes > MAX_NODES) return `${nodes} nodes are more than the limit of ${MAX_NODES}`;
    if (workers > MAX_WORKERS)
      return `${workers} workers are more than the limit of ${MAX_WORKERS}`;
    const processes = controllers + hosts + Math.ceil(workers / 2_000);
    if (processes > MAX_PROCESSES)
      return `${processes} processes are more than the limit of ${MAX_PROCESSES}`;
    const neededMb =
      controllers * 150 + hosts * 100 + (nodes * (workers + routes + services) * 1.2) / 1_024;
    if (neededMb > (totalmem() / 2 ** 20) * MAX_MEMORY_FRACTION)
      return `about ${Math.round(neededMb)} MB needed, more than half of this machine's memory`;
  }
  return undefined;
};
