/** Resource usage and traffic of processes between two measurements. */
import { asRecord, readNumber, type UnknownRecord } from "../src/common/decode.js";

/** Totals over several processes; memory is the maximum of them. */
export interface Usage {
  readonly cpuUs: number;
  readonly rssMb: number;
  readonly heapMb: number;
  readonly sent: Readonly<Record<string, { readonly frames: number; readonly bytes: number }>>;
}

const readFrameCounts = (reply: UnknownRecord): Map<string, { frames: number; bytes: number }> =>
  new Map(
    Object.entries(asRecord(reply["sent"])).map(([kind, counts]) => [
      kind,
      {
        frames: readNumber(asRecord(counts), "frames"),
        bytes: readNumber(asRecord(counts), "bytes"),
      },
    ]),
  );

/**
 * Sums CPU time and sent frames between two measurements over all processes. Memory is taken from
 * the second measurement.
 */
export const usageBetween = (
  before: readonly UnknownRecord[],
  after: readonly UnknownRecord[],
): Usage => {
  const sent: Record<string, { frames: number; bytes: number }> = {};
  let cpuUs = 0;
  after.forEach((current, at) => {
    const previous = before[at];
    cpuUs += readNumber(current, "cpuUs") - (previous ? readNumber(previous, "cpuUs") : 0);
    const previousCounts = previous
      ? readFrameCounts(previous)
      : new Map<string, { frames: number; bytes: number }>();
    readFrameCounts(current).forEach(({ frames, bytes }, kind) => {
      const sum = sent[kind] ?? { frames: 0, bytes: 0 };
      const total = {
        frames: sum.frames + frames - (previousCounts.get(kind)?.frames ?? 0),
        bytes: sum.bytes + bytes - (previousCounts.get(kind)?.bytes ?? 0),
      };
      if (total.frames > 0) sent[kind] = total;
    });
  });
  const max = (field: string) => Math.max(...after.map((current) => readNumber(current, field)));
  return { cpuUs, rssMb: max("rssMb"), heapMb: max("heapMb"), sent };
};
