/**
 * Generates the faults of a schedule, within the fault tolerance of the deployment unless the
 * options say otherwise.
 */
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import {
  CATCH_UP_US,
  FAULT_KINDS,
  REPLACEMENT_DELAY_US,
  REPLACEMENT_OVERLAP_US,
  SHUTDOWN_TIMEOUT_US,
  type Deployment,
  type Direction,
  type Event,
  type FaultKind,
  type ScheduleOptions,
} from "./schedule.js";
import type { SeededRandom } from "./seeded-random.js";
import type { DiskFault } from "./simulated-disk.js";

const LAST_FAULT_US = 26 * SECOND_US;
/**
 * A partition that lasts this long at most only delays messages, or loses them if one end is killed
 * meanwhile. It does not make a machine count as lost.
 */
const SHORT_PARTITION_US = 20 * MILLISECOND_US;
const DISK_FAULTS: readonly DiskFault[] = ["full", "refusing", "stalled", "slow"];
const DIRECTIONS: readonly Direction[] = ["both", "from", "to"];
const DISK_LOSING_FAULTS: readonly string[] = ["wipe", "corrupt", "replace", "planned-replace"];

/** The kinds of faults that affect a single machine. */
type MachineFaultKind = Exclude<FaultKind, "noise" | "stop-all">;

/**
 * Generates faults in order of time, with at most as many machines lost at once as the deployment
 * tolerates. All processes may be killed, or lose power, at the same time regardless. Many faults
 * are timed to occur while a change is in flight or just confirmed, and during network noise.
 */
export class FaultGenerator {
  private readonly events: Event[] = [];
  private readonly slots: readonly number[];
  private readonly lostUntilUs: number[];
  private readonly diskLostUntilUs: number[];
  private noisyUntilUs = 0;
  private faultsEndUs = CATCH_UP_US;
  private disksLost = 0;
  /**
   * Until when a planned replacement may still be shutting down. A machine that is killed during
   * its shutdown has not left the voter set and is not replaced, so no "stop-all" occurs before.
   */
  private drainingUntilUs = 0;

  constructor(
    private readonly random: SeededRandom,
    private readonly deployment: Deployment,
    private readonly options: ScheduleOptions,
    /** Ordered by time. */
    private readonly changes: readonly Event[],
  ) {
    const { controllers } = deployment;
    this.slots = Array.from({ length: controllers }, (_none, at) => at);
    this.lostUntilUs = new Array<number>(controllers).fill(CATCH_UP_US);
    this.diskLostUntilUs = new Array<number>(controllers).fill(0);
  }

  readonly generate = (): { readonly events: readonly Event[]; readonly faultsEndUs: number } => {
    const { random, changes } = this;
    // Each schedule favours one kind of fault, so that rare faults coincide in some schedules.
    const drawnKind = random.pick(FAULT_KINDS);
    const frequent = this.options.frequentFault ?? drawnKind;
    const noiseProbability = random.pick([0, 0.2, 0.8]);
    let atUs = CATCH_UP_US;
    for (;;) {
      atUs += random.integer(10 * MILLISECOND_US, 1_200 * MILLISECOND_US);
      const change = random.occurs(0.6)
        ? changes.find((event) => event.kind === "change" && event.atUs > atUs)
        : undefined;
      if (change) atUs = change.atUs + random.integer(0, 60 * MILLISECOND_US);
      if (atUs > LAST_FAULT_US) break;
      const kind = random.occurs(0.4) ? frequent : random.pick(FAULT_KINDS);
      if (kind === "noise" || random.occurs(noiseProbability))
        this.addNoise(Math.max(CATCH_UP_US, atUs - random.integer(0, 500 * MILLISECOND_US)));
      if (kind === "stop-all") this.stopAll(atUs, change);
      else if (kind !== "noise") atUs = this.injectMachineFault(atUs, kind);
    }
    return { events: this.events, faultsEndUs: this.faultsEndUs };
  };

  private readonly isLost = (slot: number, atUs: number): boolean =>
    (this.lostUntilUs[slot] ?? 0) > atUs;

  private readonly isDiskLost = (slot: number, atUs: number): boolean =>
    (this.diskLostUntilUs[slot] ?? 0) > atUs;

  private readonly markLost = (slot: number, untilUs: number, withDisk: boolean): void => {
    this.faultsEndUs = Math.max(this.faultsEndUs, untilUs);
    const backUs = Math.max(untilUs, this.noisyUntilUs) + CATCH_UP_US;
    const lostUntilUs = Math.max(backUs, this.lostUntilUs[slot] ?? 0);
    this.lostUntilUs[slot] = lostUntilUs;
    if (!withDisk) return;
    this.diskLostUntilUs[slot] = lostUntilUs;
    this.disksLost += 1;
  };

  private readonly addNoise = (atUs: number): void => {
    const { random, slots } = this;
    const durationUs = random.integer(200 * MILLISECOND_US, 2_500 * MILLISECOND_US);
    this.noisyUntilUs = Math.max(this.noisyUntilUs, atUs + durationUs);
    this.faultsEndUs = Math.max(this.faultsEndUs, this.noisyUntilUs);
    slots
      .filter((slot) => this.isLost(slot, atUs))
      .forEach((slot) => this.markLost(slot, this.noisyUntilUs, false));
    slots
      .filter((slot) => this.isDiskLost(slot, atUs))
      .forEach((slot) => (this.diskLostUntilUs[slot] = this.lostUntilUs[slot] ?? 0));
    this.events.push({
      atUs,
      kind: "noise",
      durationUs,
      noise: {
        lossProbability: random.fraction() * 0.4,
        delayProbability: random.fraction() * 0.3,
        duplicateProbability: random.fraction() * 0.3,
      },
    });
  };

  /** Adds reads shortly after machines have restarted, when stale data would show. */
  private readonly addReadsAfter = (atUs: number): void => {
    const { random } = this;
    for (let count = 0; count < 3; count += 1)
      this.events.push({
        atUs: atUs + random.integer(1 * MILLISECOND_US, 700 * MILLISECOND_US),
        kind: "read",
        slot: random.integer(0, this.deployment.controllers - 1),
      });
  };

  private readonly stopAll = (atUs: number, change: Event | undefined): void => {
    if (atUs < this.drainingUntilUs) return;
    const { random, slots } = this;
    const byPower = random.occurs(0.6);
    const damaged = this.drawDamagedDisks(atUs);
    const wiped = damaged.filter(() => random.occurs(0.5));
    const corrupted = damaged.filter((slot) => !wiped.includes(slot));
    const downUs = slots.map(() => random.integer(50 * MILLISECOND_US, 1_000 * MILLISECOND_US));
    slots.forEach((slot) =>
      this.markLost(
        slot,
        atUs + (downUs[slot] ?? 0),
        damaged.includes(slot) || this.isDiskLost(slot, atUs),
      ),
    );
    this.events.push({ atUs, kind: "stop-all", byPower, wiped, corrupted, downUs });
    // Sometimes the change in flight or just confirmed has not reached every controller yet.
    if (change && random.occurs(0.7)) {
      const slot = random.pick(slots);
      this.events.push({
        atUs: change.atUs - SHORT_PARTITION_US,
        kind: "partition",
        slot,
        others: slots.filter((other) => other !== slot),
        direction: "both",
        durationUs: atUs - change.atUs + SHORT_PARTITION_US,
      });
    }
    this.addReadsAfter(atUs + Math.min(...downUs));
  };

  /** The slots whose disks are wiped or corrupted in a "stop-all", within the fault tolerance. */
  private readonly drawDamagedDisks = (atUs: number): readonly number[] => {
    const { random, slots } = this;
    const { controllers, withstandMachines } = this.deployment;
    const available = slots.filter((slot) => !this.isLost(slot, atUs));
    const lost = this.options.exceedsTolerance ? this.disksLost : controllers - available.length;
    if (!random.occurs(0.7)) return [];
    return available
      .filter(() => random.occurs(0.5))
      .slice(0, Math.max(0, withstandMachines - lost));
  };

  /**
   * Adds a fault of one machine, or none if no further machine may be lost. Returns the time from
   * which the next fault is drawn.
   */
  private readonly injectMachineFault = (atUs: number, kind: MachineFaultKind): number => {
    const { random, slots } = this;
    const { controllers, withstandMachines } = this.deployment;
    const { exceedsTolerance } = this.options;
    const available = slots.filter((slot) => !this.isLost(slot, atUs));
    if (!exceedsTolerance && controllers - available.length >= withstandMachines) {
      // The next fault occurs as soon as the fault tolerance allows it.
      const descending = [...this.lostUntilUs].sort((one, other) => other - one);
      const freeUs = descending[withstandMachines - 1] ?? 0;
      return Math.max(atUs, freeUs + 1 - 10 * MILLISECOND_US);
    }
    const slot = random.pick(exceedsTolerance ? slots : available);
    const losesDisk = DISK_LOSING_FAULTS.includes(kind);
    if (exceedsTolerance && losesDisk && this.disksLost >= withstandMachines) return atUs;
    const durationUs = random.occurs(0.4)
      ? random.integer(50 * MILLISECOND_US, 500 * MILLISECOND_US)
      : random.integer(500 * MILLISECOND_US, 4 * SECOND_US);
    this.addMachineFault(atUs, kind, slot, durationUs);
    return atUs;
  };

  private readonly addMachineFault = (
    atUs: number,
    kind: MachineFaultKind,
    slot: number,
    durationUs: number,
  ): void => {
    const { events, random } = this;
    const endUs = atUs + durationUs;
    switch (kind) {
      case "kill":
      case "power-loss":
        events.push({ atUs, kind, slot, downUs: durationUs });
        this.markLost(slot, endUs, false);
        break;
      case "wipe":
      case "corrupt":
        events.push({ atUs, kind, slot, downUs: durationUs });
        this.addReadsAfter(endUs);
        this.markLost(slot, endUs, true);
        break;
      case "freeze":
        events.push({ atUs, kind, slot, durationUs });
        this.markLost(slot, endUs, false);
        break;
      case "partition":
        this.addPartition(atUs, slot, durationUs);
        break;
      case "disk-fault": {
        const fault = random.pick(DISK_FAULTS);
        events.push({ atUs, kind, slot, durationUs, fault });
        this.markLost(slot, endUs, false);
        break;
      }
      case "replace":
        events.push({ atUs, kind, slot });
        this.markLost(slot, atUs + REPLACEMENT_DELAY_US, true);
        break;
      case "planned-replace": {
        const removedUs = atUs + REPLACEMENT_OVERLAP_US + SHUTDOWN_TIMEOUT_US;
        events.push({ atUs, kind, slot });
        this.markLost(slot, removedUs, true);
        this.drainingUntilUs = Math.max(this.drainingUntilUs, removedUs);
        break;
      }
    }
  };

  private readonly addPartition = (atUs: number, slot: number, durationUs: number): void => {
    const { random } = this;
    const all = this.slots.filter((other) => other !== slot);
    const others = random.occurs(0.4) ? all.filter(() => random.occurs(0.5)) : all;
    const direction = random.pick(DIRECTIONS);
    this.events.push({ atUs, kind: "partition", slot, durationUs, others, direction });
    this.markLost(slot, atUs + durationUs, false);
  };
}
