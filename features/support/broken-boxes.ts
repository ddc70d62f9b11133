import { createHash } from "node:crypto";
import { ok } from "true-myth/result";
import { NO_BALLOT } from "../../src/consensus/ballot.js";
import { Copy } from "../../src/consensus/replica.js";
import type { Disk } from "../../src/storage/file-system.js";
import { Ledger, type LedgerOptions } from "../../src/consensus/replicated-store.js";
import { asList, isRec } from "../../src/common/decode.js";
import { REAL_PARTS, type Parts } from "../../simulator/box.js";

/** A ledger in which some methods are replaced, given the real one's. */
const ledgerWith = (
  broken: (
    real: Pick<Ledger, "answer" | "start" | "read" | "offer" | "changeMembers">,
    options: LedgerOptions,
  ) => Partial<Ledger>,
): Parts => ({
  ...REAL_PARTS,
  ledger: (options) => {
    const ledger = new Ledger(options);
    return Object.assign(ledger, broken({ ...ledger }, options));
  },
});

class NoPromises extends Copy {
  override readonly promisedFor = () => NO_BALLOT;
}

/** Shows no file that is spoiled, and none that came after it. */
const passingOverSpoiled = (disk: Disk): Disk => ({
  ...disk,
  list: async (folder) => {
    const names = await disk.list(folder);
    const numberOf = (name: string) => Number(/\d+/.exec(name)?.[0] ?? 0);
    const spoiled = await Promise.all(
      names.map(async (name) => {
        const bytes = (await disk.read(`${folder}/${name}`)) ?? new Uint8Array();
        const isWhole = createHash("sha256")
          .update(bytes.subarray(32))
          .digest()
          .equals(bytes.subarray(0, 32));
        return isWhole || !name.endsWith(".bin") ? Number.POSITIVE_INFINITY : numberOf(name);
      }),
    );
    return names.filter((name) => numberOf(name) < Math.min(...spoiled));
  },
});

/** Boxes that are broken on purpose, by what is wrong with them; each is there for a check to find. */
export const BROKEN: Readonly<Record<string, Parts>> = {
  "a proposer passes over what was accepted before": ledgerWith((real) => ({
    answer: async (message) => {
      const reply = await real.answer(message);
      return reply.kind === "promised" && message.kind === "promise"
        ? { ...reply, entries: [] }
        : reply;
    },
  })),
  "an acceptor accepts what it promised not to": { ...REAL_PARTS, copy: () => new NoPromises() },
  "a spoiled file is passed over for what was before it": {
    ...REAL_PARTS,
    disk: passingOverSpoiled,
  },
  "a wiped one counts at once": ledgerWith((real, { copy }) => ({
    start: async (firstRun) => {
      await real.start(firstRun);
      copy.setCounting();
    },
  })),
  "a read asks nobody": ledgerWith((real, { copy }) => ({
    read: async () => (copy.isCounting ? ok(undefined) : real.read()),
  })),
  "what was agreed under earlier numbers is forgotten": ledgerWith((real) => ({
    answer: (message) => {
      if (message.kind !== "accept") return real.answer(message);
      const items = asList(message["items"]).map((item) => {
        const [key, register] = asList(item);
        return [key, isRec(register) ? { ...register, past: [] } : register];
      });
      return real.answer({ ...message, items });
    },
  })),
  "only the first item of an order is offered": ledgerWith((real) => ({
    offer: (call, problemOf) => real.offer(call.slice(0, 1), problemOf),
  })),
  "an order is taken without a look at what it names": ledgerWith((real) => ({
    offer: (call) => real.offer(call),
  })),
  "a term is not looked at": ledgerWith(() => ({ isOvertaken: () => false })),
  "contact is taken for granted": ledgerWith(() => ({ contact: async () => true })),
  "the roster only grows": ledgerWith((real) => ({
    changeMembers: (change, moveMore) =>
      real.changeMembers((members) => [...new Set([...members, ...change(members)])], moveMore),
  })),
  "nobody lets a wiped one catch up": ledgerWith((real) => ({
    answer: async (message) =>
      message.kind === "read" && message["floor"] !== undefined
        ? { kind: "refused", why: "not-counting" }
        : real.answer(message),
  })),
};
