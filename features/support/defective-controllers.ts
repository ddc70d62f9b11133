/** Controllers with injected defects, which the invariants of the simulator must detect. */
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
import { REAL_COMPONENTS, type Components } from "../../simulator/simulated-controller.js";

/** Components whose replicated store has some methods replaced by `overrides`. */
const storeWith = (
  overrides: (
    real: Pick<ReplicatedStore, "handleRequest" | "start" | "read" | "propose" | "changeMembers">,
    options: ReplicatedStoreOptions,
  ) => Partial<ReplicatedStore>,
): Components => ({
  ...REAL_COMPONENTS,
  store: (options) => {
    const store = new ReplicatedStore(options);
    // eslint-disable-next-line @typescript-eslint/no-misused-spread -- its methods are fields of the instance
    return Object.assign(store, overrides({ ...store }, options));
  },
});

class PromiseForgettingReplica extends Replica {
  override readonly promisedFor = () => NO_BALLOT;
}

class HistoryForgettingReplica extends Replica {
  override readonly historyOf = () => undefined;
}

/** Lists neither a corrupt file nor the files that were written after it. */
const hideCorruptFiles = (disk: FileSystem): FileSystem => ({
  ...disk,
  list: async (folder) => {
    const names = await disk.list(folder);
    const numberOf = (name: string) => Number(/\d+/.exec(name)?.[0] ?? 0);
    const corrupt = await Promise.all(
      names.map(async (name) => {
        const bytes = (await disk.read(`${folder}/${name}`)) ?? new Uint8Array();
        const isIntact = createHash("sha256")
          .update(bytes.subarray(32))
          .digest()
          .equals(bytes.subarray(0, 32));
        return isIntact || !name.endsWith(".bin") ? Number.POSITIVE_INFINITY : numberOf(name);
      }),
    );
    return names.filter((name) => numberOf(name) < Math.min(...corrupt));
  },
});

/** The defective components by their defect. Each must violate an invariant. */
export const DEFECTIVE_COMPONENTS: Readonly<Record<string, Components>> = {
  "a proposer ignores previously accepted values": storeWith((real) => ({
    handleRequest: async (message) => {
      const reply = await real.handleRequest(message);
      return reply.kind === "promised" && message.kind === "promise"
        ? { ...reply, entries: [] }
        : reply;
    },
  })),
  "an acceptor accepts ballots below its promise": {
    ...REAL_COMPONENTS,
    replica: () => new PromiseForgettingReplica(),
  },
  "the items that were proposed together are forgotten": {
    ...REAL_COMPONENTS,
    replica: () => new HistoryForgettingReplica(),
  },
  "a corrupt file is ignored and older ones are used": {
    ...REAL_COMPONENTS,
    disk: hideCorruptFiles,
  },
  "a wiped controller votes at once": storeWith((real, { replica }) => ({
    start: async (firstRun) => {
      await real.start(firstRun);
      replica.setVoting();
    },
  })),
  "a read does not contact a quorum": storeWith((real, { replica }) => ({
    read: async () => (replica.isVoting ? ok(undefined) : real.read()),
  })),
  "versions committed before the latest one are forgotten": storeWith((real) => ({
    handleRequest: (message) => {
      if (message.kind !== "accept") return real.handleRequest(message);
      const items = asList(message["items"]).map((item) => {
        const [key, register] = asList(item);
        return [key, isRecord(register) ? { ...register, past: [] } : register];
      });
      return real.handleRequest({ ...message, items });
    },
  })),
  "only the first item of a change is proposed": storeWith((real) => ({
    propose: (registers, options) => real.propose(registers.slice(0, 1), options),
  })),
  "a change is accepted without checking its requirements": storeWith((real) => ({
    propose: (registers) => real.propose(registers),
  })),
  "changes of customers are not decided one after another": storeWith((real) => ({
    propose: (registers, { findProblem } = {}) =>
      real.propose(registers, findProblem ? { findProblem } : {}),
  })),
  "terms are not checked": storeWith(() => ({ isSuperseded: () => false })),
  "quorum contact is confirmed without a check": storeWith(() => ({
    confirmQuorum: async () => true,
  })),
  "the voter set only grows": storeWith((real) => ({
    changeMembers: (change, moveMore) =>
      real.changeMembers((members) => [...new Set([...members, ...change(members)])], moveMore),
  })),
  "a wiped controller is never allowed to catch up": storeWith((real) => ({
    handleRequest: async (message) =>
      message.kind === "read" && message["floor"] !== undefined
        ? { kind: "refused", why: "not-counting" }
        : real.handleRequest(message),
  })),
};
