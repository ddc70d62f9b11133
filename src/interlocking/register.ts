import { createHash } from "node:crypto";
import { flag, text, whole, asRec } from "../trackbed/shape.js";

/**
 * A register is one item with a version of its own.
 * Invariant: for a key, the higher (version, digest) always wins, and a register once held is only ever replaced by a
 * higher one. A drop is a register too (a tombstone), so that an older change that comes again has no effect.
 */
export interface Register {
  readonly key: string;
  readonly version: number;
  readonly dropped: boolean;
  /** The item as the operator wrote it, in JSON; empty for a drop. */
  readonly body: string;
  readonly digest: string;
}

export const makeRegister = (key: string, version: number, body: string, dropped = false): Register => ({
  key,
  version,
  dropped,
  body,
  digest: createHash("sha1").update(`${key}\n${version}\n${dropped ? 1 : 0}\n${body}`).digest("base64").slice(0, 16),
});

export const readRegister = (value: unknown): Register => {
  const rec = asRec(value, "register");
  return makeRegister(text(rec, "key"), whole(rec, "version"), text(rec, "body"), flag(rec, "dropped"));
};

/** Registers travel and lie on disk without their digest, which the reader makes anew. */
export const packRegister = (register: Register) => ({
  key: register.key,
  version: register.version,
  body: register.body,
  dropped: register.dropped,
});

export const outranks = (one: Register, other: Register | undefined): boolean =>
  other === undefined || one.version > other.version || (one.version === other.version && one.digest > other.digest);

const BUCKETS = 32;

const bucketOf = (key: string): number => {
  let sum = 7;
  for (let at = 0; at < key.length; at += 1) sum = (sum * 31 + key.charCodeAt(at)) % 1_000_003;
  return sum % BUCKETS;
};

/** The merged state of one signalbox, with digests by bucket so that two copies find what differs cheaply. */
export class Registers {
  private readonly held = new Map<string, Register>();
  /** Invariant: each number is the exclusive-or of the digests of the registers in that bucket. */
  private readonly sums: number[] = new Array<number>(BUCKETS).fill(0);

  readonly get = (key: string): Register | undefined => this.held.get(key);

  readonly all = (): readonly Register[] => [...this.held.values()];

  /** Merges upward; returns what really changed. */
  readonly merge = (registers: readonly Register[]): readonly Register[] => {
    const changed = registers.filter((register) => {
      const before = this.held.get(register.key);
      if (!outranks(register, before)) return false;
      if (before) this.toggle(before);
      this.held.set(register.key, register);
      this.toggle(register);
      return true;
    });
    return changed;
  };

  readonly digest = (): string => this.sums.map((sum) => sum.toString(36)).join(".");

  readonly inBucketsThatDiffer = (otherDigest: string): readonly Register[] => {
    const theirs = otherDigest.split(".");
    const differs = this.sums.map((sum, at) => sum.toString(36) !== theirs[at]);
    return this.all().filter((register) => differs[bucketOf(register.key)]);
  };

  private readonly toggle = (register: Register): void => {
    const at = bucketOf(register.key);
    const sum = Buffer.from(register.digest, "base64").readUInt32BE(0);
    this.sums[at] = ((this.sums[at] ?? 0) ^ sum) >>> 0;
  };
}
