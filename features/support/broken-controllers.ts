import { createHash } from "node:crypto";
import { ok } from "true-myth/result";
import { NO_BALLOT } from "../../src/consensus/ballot.js";
import { Replica } from "../../src/consensus/replica.js";
import type { FileSystem } from "../../src/storage/file-system.js";
import {
  ReplicatedStore,
  type ReplicatedStoreOptions,
} from "../../src/consensus/replicated-store.js";
import { asList, isRecord } from "../../src/common/decode.js";
import { REAL_PARTS, type Parts } from "../../simulator/simulated-controller.js";

/** A ledger in which some methods are replaced, given the real one's. */
const ledgerWith = (
  broken: (
    real: Pick<ReplicatedStore, "handleRequest" | "start" | "read" | "propose" | "changeMembers">,
    options: ReplicatedStoreOptions,
  ) => Partial<ReplicatedStore>,
): Parts => ({
  ...REAL_PARTS,
  store: (options) => {
    const store = new ReplicatedStore(options);
    return Object.assign(store, broken({ ...store }, options));
  },
});

class NoPromises extends Replica {
  override readonly promisedFor = () => NO_BALLOT;
}

/** Shows no file that is spoiled, and none that came after it. */
const passingOverSpoiled = (disk: FileSystem): FileSystem => ({
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
    handleRequest: async (message) => {
      const reply = await real.handleRequest(message);
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
  "a wiped one counts at once": ledgerWith((real, { replica: copy }) => ({
    start: async (firstRun) => {
      await real.start(firstRun);
      copy.setVoting();
    },
  })),
  "a read asks nobody": ledgerWith((real, { replica: copy }) => ({
    read: async () => (copy.isVoting ? ok(undefined) : real.read()),
  })),
  "what was agreed under earlier numbers is forgotten": ledgerWith((real) => ({
    handleRequest: (message) => {
      if (message.kind !== "accept") return real.handleRequest(message);
      const items = asList(message["items"]).map((item) => {
        const [key, register] = asList(item);
        return [key, isRecord(register) ? { ...register, past: [] } : register];
      });
      return real.handleRequest({ ...message, items });
    },
  })),
  "only the first item of an order is offered": ledgerWith((real) => ({
    propose: (call, problemOf) => real.propose(call.slice(0, 1), problemOf),
  })),
  "an order is taken without a look at what it names": ledgerWith((real) => ({
    propose: (call) => real.propose(call),
  })),
  "a term is not looked at": ledgerWith(() => ({ isSuperseded: () => false })),
  "contact is taken for granted": ledgerWith(() => ({ confirmQuorum: async () => true })),
  "the roster only grows": ledgerWith((real) => ({
    changeMembers: (change, moveMore) =>
      real.changeMembers((members) => [...new Set([...members, ...change(members)])], moveMore),
  })),
  "nobody lets a wiped one catch up": ledgerWith((real) => ({
    handleRequest: async (message) =>
      message.kind === "read" && message["floor"] !== undefined
        ? { kind: "refused", why: "not-counting" }
        : real.handleRequest(message),
  })),
};
