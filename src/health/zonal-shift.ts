/**
 * Zonal shift: moves traffic away from one zone because of an outlier, for a practice run, on an
 * operator's command or for a maintenance window.
 */
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { ChangeLogger } from "./change-logger.js";
import type { HealthDecisions, ShiftCause, ZonalShift } from "./health-decisions.js";
import {
  describeOutlier,
  findOutlier,
  type Outlier,
  type OutlierSettings,
} from "./outlier-ranking.js";

/** A worker as seen by outlier detection. */
export interface ObservedWorker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Its heartbeats have stopped. */
  readonly isMissing: boolean;
}

/** Dependencies of {@link ZonalShiftController}. */
export interface ZonalShiftOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly changeLog: ChangeLogger;
  readonly settings: OutlierSettings;
  readonly isLeader: () => boolean;
  readonly workers: () => readonly ObservedWorker[];
  readonly decisions: () => HealthDecisions;
  /** Persists the decisions under the leader's term; false on a newer term or a lost quorum. */
  readonly publish: (decisions: HealthDecisions) => Promise<boolean>;
  /** The faults within the sliding window, by worker. */
  readonly faults: () => ReadonlyMap<string, number>;
}

const PRACTICE_INTERVAL_US = 7 * 24 * 3600 * SECOND_US;
const PRACTICE_DURATION_US = 60 * SECOND_US;
/** A missing worker counts as this many faults of its zone. */
const MISSING_WORKER_FAULTS = 10;
/** With fewer zones there is no basis for comparing a zone with the others. */
const MIN_ZONES = 3;

/**
 * Decides on zonal shifts. Shifting one zone at a time and regular practice runs follow "Building on
 * AWS resilience: Innovations for critical success", ARC207.
 */
export class ZonalShiftController {
  private shiftSinceUs: number | undefined;
  private lastPracticeUs = 0;
  private practiceCount = 0;

  constructor(private readonly options: ZonalShiftOptions) {}

  /** Resets the practice interval, which a new leader counts from now. */
  readonly reset = (): void => {
    this.lastPracticeUs = this.options.clock.nowUs();
  };

  /** Sets the shift of a maintenance window, which overrides a practice run; undefined ends it. */
  readonly setShift = (shift: ZonalShift | undefined): Promise<boolean> =>
    this.publish({ ...this.options.decisions(), shift });

  /** Starts a manual shift, or ends it if the zone is ""; false during a maintenance window. */
  readonly shiftManually = async (zone: string): Promise<boolean> => {
    if (this.options.decisions().shift?.cause === "window") return false;
    const shift: ZonalShift | undefined =
      zone === "" ? undefined : { zone, cause: "by hand", reason: "The operator asked for it." };
    return this.publish({ ...this.options.decisions(), shift });
  };

  /** Starts a practice run, which expires by itself; false during a maintenance window. */
  readonly startPractice = async (zone: string): Promise<boolean> =>
    this.options.decisions().shift?.cause !== "window" &&
    (await this.publish({
      ...this.options.decisions(),
      shift: { zone, cause: "practice", reason: "Practice keeps the path exercised." },
    }));

  /** Ends an expired shift; true if there was one. */
  readonly endExpired = async (): Promise<boolean> => {
    const { clock, settings, decisions, log } = this.options;
    const { shift } = decisions();
    if (!shift || !expires(shift.cause)) return false;
    this.shiftSinceUs ??= clock.nowUs();
    const durationUs = shift.cause === "practice" ? PRACTICE_DURATION_US : settings.ejectionUs;
    if (clock.nowUs() - this.shiftSinceUs < durationUs) return false;
    if (await this.publish({ ...decisions(), shift: undefined }))
      log.info("zonal shift ended", { zone: shift.zone });
    return true;
  };

  /** Shifts traffic away from an outlier zone; true if attempted. */
  readonly shiftOutlier = async (): Promise<boolean> => {
    const { decisions, log, changeLog } = this.options;
    const { shift } = decisions();
    const found = this.findOutlierZone();
    if (!found) return false;
    const reason = describeOutlier(found);
    if (shift) {
      if (shift.zone !== found.id)
        changeLog.info("outlier zone not shifted: another zone is shifted already", {
          zone: found.id,
          shiftedZone: shift.zone,
          reason,
        });
      return false;
    }
    const wanted: ZonalShift = { zone: found.id, cause: "outlier", reason };
    if (await this.publish({ ...decisions(), shift: wanted }))
      log.warn("zonal shift started", { zone: found.id, reason });
    return true;
  };

  /** Starts a practice run in the next zone if one is due and no shift is active. */
  readonly startWeeklyPractice = async (): Promise<void> => {
    const { clock, workers, decisions } = this.options;
    if (decisions().shift || clock.nowUs() - this.lastPracticeUs < PRACTICE_INTERVAL_US) return;
    const zones = [...new Set(workers().map((worker) => worker.zone))].sort();
    const zone = zones[this.practiceCount % Math.max(1, zones.length)];
    this.lastPracticeUs = clock.nowUs();
    this.practiceCount += 1;
    if (zone !== undefined && zones.length > 1) await this.startPractice(zone);
  };

  /** The outlier zone, unless its faults come from fewer than half of its workers. */
  private readonly findOutlierZone = (): Outlier | undefined => {
    const { settings, workers } = this.options;
    const all = workers();
    const faults = this.options.faults();
    const weightOf = (worker: ObservedWorker) =>
      (faults.get(worker.id) ?? 0) + (worker.isMissing ? MISSING_WORKER_FAULTS : 0);
    const sums = new Map<string, number>();
    all.forEach((worker) => sums.set(worker.zone, (sums.get(worker.zone) ?? 0) + weightOf(worker)));
    const found = findOutlier(sums, settings.minZoneFaults, settings.alarmShare);
    if (!found || sums.size < MIN_ZONES) return undefined;
    const ofZone = all.filter((worker) => worker.zone === found.id);
    const faulty = ofZone.filter((worker) => weightOf(worker) > 0);
    return faulty.length * 2 < ofZone.length ? undefined : found;
  };

  private readonly publish = async (decisions: HealthDecisions): Promise<boolean> => {
    if (!this.options.isLeader()) return false;
    const published = await this.options.publish(decisions);
    if (published) this.shiftSinceUs = decisions.shift ? this.options.clock.nowUs() : undefined;
    return published;
  };
}

const expires = (cause: ShiftCause): boolean => cause === "outlier" || cause === "practice";
