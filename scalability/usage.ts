/** What the processes of a run used and sent between two measurements. */
import { asRecord, readNumber, type UnknownRecord } from "../src/common/decode.js";

export interface Usage {
  readonly cpuUs: number;
  readonly rssMb: number;
  readonly heapMb: number;
  readonly sent: Readonly<Record<string, { readonly frames: number; readonly bytes: number }>>;
}

const readFrameCounts = (replies: UnknownRecord): Map<string, { frames: number; bytes: number }> =>
  new Map(
    Object.entries(asRecord(replies["sent"])).map(([kind, counts]) => [
      kind,
      {
        frames: readNumber(asRecord(counts), "frames"),
        bytes: readNumber(asRecord(counts), "bytes"),
      },
    ]),
  );

/** What processes did between two measurements, all in all; memory as it is at the second. */
export const usageBetween = (
  before: readonly UnknownRecord[],
  after: readonly UnknownRecord[],
): Usage => {
  const sent: Record<string, { frames: number; bytes: number }> = {};
  let cpuUs = 0;
  after.forEach((now, at) => {
    const was = before[at];
    cpuUs += readNumber(now, "cpuUs") - (was ? readNumber(was, "cpuUs") : 0);
    const earlier = was
      ? readFrameCounts(was)
      : new Map<string, { frames: number; bytes: number }>();
    readFrameCounts(now).forEach(({ frames, bytes }, kind) => {
      const sum = sent[kind] ?? { frames: 0, bytes: 0 };
      const rise = {
        frames: sum.frames + frames - (earlier.get(kind)?.frames ?? 0),
        bytes: sum.bytes + bytes - (earlier.get(kind)?.bytes ?? 0),
      };
      if (rise.frames > 0) sent[kind] = rise;
    });
  });
  const max = (field: string) => Math.max(...after.map((now) => readNumber(now, field)));
  return { cpuUs, rssMb: max("rssMb"), heapMb: max("heapMb"), sent };
};
