import type { Clock, Timer } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { asRecord, readList, readString, type UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { FaultWindow, findOutlier, type Outlier, type OutlierSettings } from "./outlier-ranking.js";

export interface ObservedWorker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly isMissing: boolean;
}

export interface Ejection {
  readonly worker: string;
  readonly reason: string;
  readonly evidence: UnknownRecord;
}

export interface ZonalShift {
  readonly cell: string;
  readonly why: "outlier" | "practice" | "by hand" | "window";
  readonly reason: string;
  /** The parts of safe and of unsafe requests that go elsewhere; all of them where nothing is said. */
  readonly safe?: number;
  readonly unsafe?: number;
}

/** What the inspection wants of the data plane. Invariant: at most one cell is shifted away from at a time. */
export interface HealthDecisions {
  readonly removals: number;
  readonly ejections: readonly Ejection[];
  readonly shift: ZonalShift | undefined;
}

export const NO_DECISIONS: HealthDecisions = { removals: 0, ejections: [], shift: undefined };

const readShift = (value: unknown): ZonalShift | undefined => {
  if (value === undefined || value === null) return undefined;
  const record = asRecord(value, "shift");
  const why = record["why"];
  const { safe, unsafe } = record;
  return {
    cell: readString(record, "cell"),
    why: why === "practice" || why === "by hand" || why === "window" ? why : "outlier",
    reason: readString(record, "reason"),
    ...(typeof safe === "number" ? { safe } : {}),
    ...(typeof unsafe === "number" ? { unsafe } : {}),
  };
};

export const readHealthDecisions = (value: unknown): HealthDecisions => {
  const record = asRecord(value, "decisions");
  const ejections = readList(record, "ejections", asRecord).map((row) => ({
    worker: readString(row, "worker"),
    reason: readString(row, "reason"),
    evidence: asRecord(row["evidence"], "evidence"),
  }));
  return {
    removals: Number(record["removals"] ?? 0),
    ejections,
    shift: readShift(record["shift"]),
  };
};

export interface OutlierDetectorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: OutlierSettings;
  readonly isLeader: () => boolean;
  readonly term: () => number;
  readonly workers: () => readonly ObservedWorker[];
  readonly decisions: () => HealthDecisions;
  /** Makes decisions durable under the holder's term; false if a newer term or no quorum stood in the way. */
  readonly publish: (decisions: HealthDecisions) => Promise<boolean>;
}

const TICK_US = 5 * SECOND_US;
const PRACTICE_GAP_US = 7 * 24 * 3600 * SECOND_US;
const PRACTICE_US = 60 * SECOND_US;
const MISSING_WEIGHT = 10;

/** The paper's mechanism: rank by faults, alarm on an outlier, take a token, remove one. */
export class OutlierDetector {
  private readonly window: FaultWindow;
  private timer: Timer | undefined;
  private busy = false;
  /** Invariant: set exactly while this one holds the duty. */
  private heldSinceUs: number | undefined;
  private lastRemovalUs: number | undefined;
  private readonly ejectedSinceUs = new Map<string, number>();
  private shiftSinceUs: number | undefined;
  private lastPracticeUs = 0;
  private practised = 0;
  private malformed = 0;
  private lastSaid = "";

  constructor(private readonly options: OutlierDetectorOptions) {
    this.window = new FaultWindow(options.clock, options.settings.windowUs);
  }

  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  readonly stop = (): void => this.timer?.stop();

  readonly receive = (report: Message): void => {
    if (!this.window.receive(report)) this.malformed += 1;
  };

  /** Everything that led to what is decided, for the control query. */
  readonly explain = (): UnknownRecord => {
    const faults = [...this.window.byWorker()]
      .sort((a, b) => b[1] - a[1])
      .slice(0, 20)
      .map(([worker, count]) => ({ worker, faults: count }));
    return {
      holder: this.options.isLeader(),
      term: this.options.term(),
      token: this.hasToken() ? "here" : "spent",
      faults,
      malformedReports: this.malformed,
      decisions: this.options.decisions(),
    };
  };

  readonly tick = async (): Promise<void> => {
    if (this.busy) return;
    this.busy = true;
    try {
      if (this.options.isLeader()) await this.decide();
      else this.heldSinceUs = undefined;
    } finally {
      this.busy = false;
    }
  };

  /** A planned window's shift, which goes before a practice; undefined ends it. */
  readonly setShift = (shift: ZonalShift | undefined): Promise<boolean> =>
    this.publish({ ...this.options.decisions(), shift });

  /** An operator's shift, or its end when no cell is named. */
  readonly shiftManually = async (zone: string): Promise<boolean> => {
    if (this.options.decisions().shift?.why === "window") return false;
    const shift: ZonalShift | undefined =
      zone === ""
        ? undefined
        : { cell: zone, why: "by hand", reason: "The operator asked for it." };
    return this.publish({ ...this.options.decisions(), shift });
  };

  readonly startPractice = async (zone: string): Promise<boolean> =>
    this.options.decisions().shift?.why !== "window" &&
    (await this.publish({
      ...this.options.decisions(),
      shift: { cell: zone, why: "practice", reason: "Practice keeps the path exercised." },
    }));

  private readonly publish = async (decisions: HealthDecisions): Promise<boolean> => {
    if (!this.options.isLeader()) return false;
    const published = await this.options.publish(decisions);
    if (published) this.shiftSinceUs = decisions.shift ? this.options.clock.nowUs() : undefined;
    return published;
  };

  /** The age of a removal isn't known to a new holder, so where one was ever made it starts with the token spent. */
  private readonly hasToken = (): boolean => {
    const { clock, settings: terms, decisions } = this.options;
    const sinceUs = this.lastRemovalUs ?? (decisions().removals > 0 ? this.heldSinceUs : undefined);
    return sinceUs === undefined || clock.nowUs() - sinceUs >= terms.removalIntervalUs;
  };

  private readonly decide = async (): Promise<void> => {
    const { clock } = this.options;
    if (this.heldSinceUs === undefined) {
      this.heldSinceUs = clock.nowUs();
      this.lastPracticeUs = this.heldSinceUs;
      this.lastRemovalUs = undefined;
      this.ejectedSinceUs.clear();
    }
    if (await this.returnSome()) return;
    if (await this.endShift()) return;
    if (await this.ejectWorst()) return;
    if (await this.shiftWorst()) return;
    await this.practiseWeekly();
  };

  private readonly returnSome = async (): Promise<boolean> => {
    const { clock, settings: terms, decisions, workers, log } = this.options;
    const nowUs = clock.nowUs();
    const live = new Set(workers().map((worker) => worker.id));
    const now = decisions();
    now.ejections
      .filter(({ worker }) => !this.ejectedSinceUs.has(worker))
      .forEach(({ worker }) => this.ejectedSinceUs.set(worker, nowUs));
    const kept = now.ejections.filter(
      ({ worker }) =>
        live.has(worker) && nowUs - (this.ejectedSinceUs.get(worker) ?? nowUs) < terms.ejectionUs,
    );
    if (kept.length === now.ejections.length) return false;
    const returned = now.ejections
      .filter((ejection) => !kept.includes(ejection))
      .map(({ worker }) => worker);
    if (await this.options.publish({ ...now, ejections: kept })) {
      returned.forEach((worker) => this.ejectedSinceUs.delete(worker));
      log.info(`Returned ${returned.join(", ")}.`);
    }
    return true;
  };

  private readonly endShift = async (): Promise<boolean> => {
    const { clock, settings: terms, decisions, log } = this.options;
    const { shift } = decisions();
    if (!shift || shift.why === "by hand" || shift.why === "window") return false;
    this.shiftSinceUs ??= clock.nowUs();
    const lastsUs = shift.why === "practice" ? PRACTICE_US : terms.ejectionUs;
    if (clock.nowUs() - this.shiftSinceUs < lastsUs) return false;
    if (await this.publish({ ...decisions(), shift: undefined }))
      log.info(`The shift away from ${shift.cell} is over.`);
    return true;
  };

  private readonly ejectWorst = async (): Promise<boolean> => {
    const { settings: terms, workers, decisions, log, clock, term } = this.options;
    const live = new Map(workers().map((worker) => [worker.id, worker]));
    const now = decisions();
    const ejected = new Set(now.ejections.map(({ worker }) => worker));
    const sums = new Map(
      [...this.window.byWorker()].filter(([id]) => live.has(id) && !ejected.has(id)),
    );
    const found = findOutlier(sums, terms.minFaults, terms.alarmShare);
    const worker = found && live.get(found.id);
    if (!found || !worker || worker.isMissing) return false;
    if (!this.hasToken())
      return this.say(`${found.id} holds ${percent(found)} of the faults, but the token is spent.`);
    const ofService = [...live.values()].filter((other) => other.service === worker.service);
    const out = ofService.filter((other) => ejected.has(other.id) || other.isMissing).length;
    if (out + 1 > ofService.length * terms.maxEjectedShare)
      return this.say(`${found.id} stands out, but ${worker.service} may lose no more workers.`);
    const reason = `${found.id} holds ${found.faults} of ${found.totalFaults} faults (${percent(found)}).`;
    const evidence = {
      faults: found.faults,
      ofFaults: found.totalFaults,
      share: found.share,
      token: "taken",
      term: term(),
    };
    const ejections = [...now.ejections, { worker: found.id, reason, evidence }];
    if (await this.options.publish({ ...now, removals: now.removals + 1, ejections })) {
      this.lastRemovalUs = clock.nowUs();
      this.ejectedSinceUs.set(found.id, clock.nowUs());
      log.warn(`Ejected ${found.id} of ${worker.service}: ${reason}`);
    }
    return true;
  };

  private readonly shiftWorst = async (): Promise<boolean> => {
    const { settings: terms, workers, decisions, log } = this.options;
    const { shift } = decisions();
    const all = workers();
    const faults = this.window.byWorker();
    const weightOf = (worker: ObservedWorker) =>
      (faults.get(worker.id) ?? 0) + (worker.isMissing ? MISSING_WEIGHT : 0);
    const sums = new Map<string, number>();
    all.forEach((worker) => sums.set(worker.zone, (sums.get(worker.zone) ?? 0) + weightOf(worker)));
    const found = findOutlier(sums, terms.minZoneFaults, terms.alarmShare);
    if (!found || sums.size < 3) return false;
    const ofZone = all.filter((worker) => worker.zone === found.id);
    if (ofZone.filter((worker) => weightOf(worker) > 0).length * 2 < ofZone.length) return false;
    const reason = `${found.id} holds ${found.faults} of ${found.totalFaults} faults (${percent(found)}).`;
    if (shift)
      return shift.cell === found.id
        ? false
        : this.say(
            `${reason} It is not shifted away from: ${shift.cell} is, and one cell goes at a time.`,
          );
    if (await this.publish({ ...decisions(), shift: { cell: found.id, why: "outlier", reason } }))
      log.warn(`Shifted away from ${found.id}: ${reason}`);
    return true;
  };

  private readonly practiseWeekly = async (): Promise<void> => {
    const { clock, workers, decisions } = this.options;
    if (decisions().shift || clock.nowUs() - this.lastPracticeUs < PRACTICE_GAP_US) return;
    const zones = [...new Set(workers().map((worker) => worker.zone))].sort();
    const zone = zones[this.practised % Math.max(1, zones.length)];
    this.lastPracticeUs = clock.nowUs();
    this.practised += 1;
    if (zone !== undefined && zones.length > 1) await this.startPractice(zone);
  };

  private readonly say = (sentence: string): boolean => {
    if (sentence !== this.lastSaid) this.options.log.info(sentence);
    this.lastSaid = sentence;
    return false;
  };
}

const percent = (evidence: Outlier): string => `${Math.round(evidence.share * 100)}%`;
