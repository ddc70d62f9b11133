/** Seeded runs in which controllers lose their disks one after the other. */
import { SeededRandom } from "../../simulator/seeded-random.js";
import { KEY_MESSAGE } from "../../src/idempotency/key-codec.js";
import type { KeyClaimResult } from "../../src/idempotency/key-replication.js";
import { makeRegister } from "../../src/consensus/register.js";
import { KEY_WINDOW_US, ReplicaCluster, type ClusterMember } from "./replica-cluster.js";

/** Sizes of the clusters that a run may have. */
const CLUSTERS = [
  { controllers: 3, withstand: 1 },
  { controllers: 4, withstand: 2 },
  { controllers: 5, withstand: 2 },
  { controllers: 8, withstand: 2 },
] as const;
/** Time that the pages give a returned machine. */
export const CATCH_UP_US = 6_000_000;
/** A run ends before what it stored is older than the window of a key. */
const MAX_ROUND_US = 3 * CATCH_UP_US;
const DISK_BYTES = 8_000_000;
const ROUNDS = 6;
const MAX_NEW_KEYS = 6;
const LOSSY_US = 1_500_000;
const REPAIR_MESSAGE_KINDS: ReadonlySet<string> = new Set([
  KEY_MESSAGE.listResponses,
  KEY_MESSAGE.readResponses,
]);
const MAX_BODY_BYTES = 9_000;

/** What a run found. */
export interface DiskLossResult {
  readonly storedCount: number;
  /** Descriptions of acknowledged state that was not there. */
  readonly violations: readonly string[];
}

/** The state that was acknowledged in a run, and must be there until its end. */
interface Acknowledged {
  /** Bodies of stored responses by key. */
  readonly bodies: Map<string, Buffer>;
  /** Keys whose operation was claimed and may still run. */
  readonly openClaims: string[];
  /** Digests of committed registers by key. */
  readonly registers: Map<string, string>;
  /** Labels of purges. */
  readonly purges: string[];
  /** When the first of it was acknowledged. */
  sinceUs: number;
}

/** The body of a key's response, as a function of the key. */
const bodyOf = (key: string, bytes: number): Buffer => Buffer.alloc(bytes, `body of ${key};`);

/**
 * One run: in each round some state is acknowledged (responses, claims, registers, purges), disks
 * are lost as far as may be lost at once, at the same moment or during the repair of the first, and
 * after the time to catch up a random controller must know all that was acknowledged.
 */
export class DiskLossRun {
  private readonly random: SeededRandom;
  private readonly cluster: ReplicaCluster;
  private readonly withstand: number;
  private readonly acknowledged: Acknowledged = {
    bodies: new Map(),
    openClaims: [],
    registers: new Map(),
    purges: [],
    sinceUs: 0,
  };
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
      this.acknowledged.sinceUs = cluster.clock.nowUs();
      for (let round = 0; round < ROUNDS && this.isWithinWindow(MAX_ROUND_US); round += 1) {
        await this.acknowledgeState(round);
        await this.loseDisks(round);
        await cluster.runBackground(CATCH_UP_US);
        if (!this.isWithinWindow(0)) break;
        await this.checkResponses(round);
        await this.checkOtherState(round);
      }
      return { storedCount: this.acknowledged.bodies.size, violations: this.violations };
    } finally {
      await cluster.removeAll();
    }
  };

  /** Whether all that was acknowledged must still be there after this time. */
  private readonly isWithinWindow = (durationUs: number): boolean =>
    this.cluster.clock.nowUs() + durationUs < this.acknowledged.sinceUs + KEY_WINDOW_US;

  private readonly acknowledgeState = async (round: number): Promise<void> => {
    const { random } = this;
    const count = random.integer(1, MAX_NEW_KEYS);
    for (let at = 0; at < count; at += 1) await this.storeResponse(`k-${round}-${at}`);
    await this.claimWithoutResponse(`open-${round}`);
    await this.commitRegister(`route/${random.integer(1, 3)}`, round + 1);
    await this.addPurge(`label-${round}`);
  };

  /** A running controller, chosen at random. */
  private readonly anyMember = (): ClusterMember =>
    this.cluster.member(this.random.pick([...this.cluster.running.keys()]));

  private readonly claimWithoutResponse = async (key: string): Promise<void> => {
    const result = await this.cluster.withClock(this.anyMember().keys.claim(key, "first"));
    if (result.kind === "won") this.acknowledged.openClaims.push(key);
  };

  private readonly commitRegister = async (key: string, version: number): Promise<void> => {
    const register = makeRegister(key, version, `{"version":${version}}`);
    const committed = await this.cluster.withClock(this.anyMember().store.propose([register]));
    if (committed.isOk) this.acknowledged.registers.set(key, register.digest);
  };

  private readonly addPurge = async (label: string): Promise<void> => {
    const added = this.anyMember().keys.purges.add({ host: "", path: "", label });
    if (await this.cluster.withClock(added)) this.acknowledged.purges.push(label);
  };

  private readonly storeResponse = async (key: string): Promise<void> => {
    const { cluster } = this;
    const { keys } = this.anyMember();
    const body = bodyOf(key, this.random.integer(0, MAX_BODY_BYTES));
    const claimed = await cluster.withClock(keys.claim(key, "first"));
    if (claimed.kind !== "won") return;
    const answer = { status: 200, heads: ["Yewreel-Server-Seal", key], body };
    if (await cluster.withClock(keys.responses.store(key, "first", answer)))
      this.acknowledged.bodies.set(key, body);
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
    await this.loseRepairMessages();
    if (random.occurs(0.5)) await this.storeResponse(`k-${round}-after`);
  };

  /** Loses some of the messages by which the returned controllers copy responses. */
  private readonly loseRepairMessages = async (): Promise<void> => {
    const { cluster, random } = this;
    const lostShare = random.pick([0, 0, 0.2, 0.6]);
    cluster.dropsMessage = (_, { kind }) =>
      REPAIR_MESSAGE_KINDS.has(kind) && random.occurs(lostShare);
    await cluster.runBackground(LOSSY_US);
    cluster.dropsMessage = () => false;
  };

  private readonly checkResponses = async (round: number): Promise<void> => {
    for (const [key, body] of this.acknowledged.bodies) {
      const { id, keys } = this.anyMember();
      const result = await this.cluster.withClock(keys.claim(key, `repeat-${round}`));
      if (!isResponse(result, body))
        this.violations.push(`round ${round}: ${key} through ${id}: ${result.kind}`);
    }
  };

  private readonly checkOtherState = async (round: number): Promise<void> => {
    const { openClaims, registers, purges } = this.acknowledged;
    const { id, keys, keyTable, store } = this.anyMember();
    const report = (what: string) => this.violations.push(`round ${round}: ${what} at ${id}`);
    for (const key of openClaims) {
      const result = await this.cluster.withClock(keys.claim(key, `repeat-${round}`));
      if (result.kind !== "working") report(`claim of ${key} is ${result.kind}`);
    }
    const isRead = (await this.cluster.withClock(store.read())).isOk;
    registers.forEach((digest, key) => {
      if (!isRead || store.get(key)?.digest !== digest) report(`${key} is not as committed`);
    });
    const arePurgesRead = await this.cluster.withClock(keys.purges.read());
    const labels = new Set(keyTable.purges().map(({ label }) => label));
    purges.forEach((label) => {
      if (!arePurgesRead || !labels.has(label)) report(`purge of ${label} is unknown`);
    });
  };
}

const isResponse = (result: KeyClaimResult, body: Buffer): boolean =>
  result.kind === "done" && Buffer.compare(Buffer.from(result.answer.body ?? []), body) === 0;
