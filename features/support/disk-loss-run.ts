/** Seeded runs in which controllers lose their disks one after the other. */
import { SeededRandom } from "../../simulator/seeded-random.js";
import type { KeyClaimResult } from "../../src/idempotency/key-replication.js";
import { ReplicaCluster } from "./replica-cluster.js";

/** Sizes of the clusters that a run may have. */
const CLUSTERS = [
  { controllers: 3, withstand: 1 },
  { controllers: 4, withstand: 2 },
  { controllers: 5, withstand: 2 },
  { controllers: 8, withstand: 2 },
] as const;
/** Time that the pages give a returned machine. */
export const CATCH_UP_US = 6_000_000;
const DISK_BYTES = 8_000_000;
const ROUNDS = 5;
const MAX_NEW_KEYS = 6;
const MAX_BODY_BYTES = 9_000;

/** What a run found. */
export interface DiskLossResult {
  readonly storedCount: number;
  /** Descriptions of repeats that did not get the stored response. */
  readonly violations: readonly string[];
}

/** The body of a key's response, as a function of the key. */
const bodyOf = (key: string, bytes: number): Buffer => Buffer.alloc(bytes, `body of ${key};`);

/**
 * One run: in each round some responses are stored, disks are lost as far as may be lost at once,
 * at the same moment or during the repair of the first, and after the time to catch up every
 * response must be returned.
 */
export class DiskLossRun {
  private readonly random: SeededRandom;
  private readonly cluster: ReplicaCluster;
  private readonly withstand: number;
  private readonly bodies = new Map<string, Buffer>();
  private readonly violations: string[] = [];

  constructor(seed: number, hasRepair: boolean) {
    this.random = new SeededRandom(seed);
    const { controllers, withstand } = this.random.pick(CLUSTERS);
    const ids = Array.from({ length: controllers }, (_, at) => `b${at + 1}`);
    this.withstand = withstand;
    this.cluster = new ReplicaCluster(ids, withstand, DISK_BYTES);
    this.cluster.repairsResponses = hasRepair;
  }

  readonly run = async (): Promise<DiskLossResult> => {
    const { cluster } = this;
    try {
      await cluster.startAll();
      await cluster.makeVoters(cluster.ids);
      await cluster.runBackground(CATCH_UP_US);
      for (let round = 0; round < ROUNDS; round += 1) {
        await this.storeResponses(round);
        await this.loseDisks(round);
        await cluster.runBackground(CATCH_UP_US);
        await this.repeatAll(round);
      }
      return { storedCount: this.bodies.size, violations: this.violations };
    } finally {
      await cluster.removeAll();
    }
  };

  private readonly storeResponses = async (round: number): Promise<void> => {
    const count = this.random.integer(1, MAX_NEW_KEYS);
    for (let at = 0; at < count; at += 1) await this.storeResponse(`k-${round}-${at}`);
  };

  private readonly storeResponse = async (key: string): Promise<void> => {
    const { cluster } = this;
    const { keys } = cluster.member(this.random.pick([...cluster.running.keys()]));
    const body = bodyOf(key, this.random.integer(0, MAX_BODY_BYTES));
    const claimed = await cluster.withClock(keys.claim(key, "first"));
    if (claimed.kind !== "won") return;
    const answer = { status: 200, heads: ["Yewreel-Server-Seal", key], body };
    if (await cluster.withClock(keys.responses.store(key, "first", answer)))
      this.bodies.set(key, body);
  };

  private readonly loseDisks = async (round: number): Promise<void> => {
    const { cluster, random } = this;
    const left = [...cluster.ids];
    const count = random.integer(1, this.withstand);
    for (let at = 0; at < count; at += 1) {
      const id = random.pick(left);
      left.splice(left.indexOf(id), 1);
      const keepsDisk = random.occurs(0.2);
      await (keepsDisk ? cluster.kill(id) : cluster.wipe(id));
      if (random.occurs(0.5)) await this.storeResponse(`k-${round}-amid-${at}`);
      if (random.occurs(0.5)) await cluster.runBackground(random.integer(0, CATCH_UP_US / 2));
    }
    for (const id of cluster.ids) if (!cluster.running.has(id)) await cluster.start(id, false);
    if (random.occurs(0.5)) await this.storeResponse(`k-${round}-after`);
  };

  private readonly repeatAll = async (round: number): Promise<void> => {
    const { cluster } = this;
    for (const [key, body] of this.bodies) {
      const id = this.random.pick(cluster.ids);
      const repeat = `repeat-${round}`;
      const result = await cluster.withClock(cluster.member(id).keys.claim(key, repeat));
      if (!isResponse(result, body))
        this.violations.push(`round ${round}: ${key} through ${id}: ${result.kind}`);
    }
  };
}

const isResponse = (result: KeyClaimResult, body: Buffer): boolean =>
  result.kind === "done" && Buffer.compare(Buffer.from(result.answer.body ?? []), body) === 0;
