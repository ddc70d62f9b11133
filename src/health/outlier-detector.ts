/**
 * Outlier detection on the leader: ranks workers by faults, detects an outlier, takes a token and
 * ejects one worker. The mechanism follows "Building on AWS resilience: Innovations for critical
 * success", ARC207.
 */
import type { Clock, Timer } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { Message } from "../transport/connection.js";
import { ChangeLogger } from "./change-logger.js";
import { packHealthDecisions } from "./decisions-codec.js";
import { FaultWindow } from "./fault-window.js";
import type { Ejection, HealthDecisions } from "./health-decisions.js";
import {
  describeOutlier,
  findOutlier,
  type Outlier,
  type OutlierSettings,
} from "./outlier-ranking.js";
import { RemovalTokenBucket } from "./removal-token-bucket.js";
import { ZonalShiftController, type ObservedWorker } from "./zonal-shift.js";

/** Dependencies of {@link OutlierDetector}. */
export interface OutlierDetectorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: OutlierSettings;
  readonly isLeader: () => boolean;
  readonly term: () => number;
  readonly workers: () => readonly ObservedWorker[];
  readonly decisions: () => HealthDecisions;
  /** Persists the decisions under the leader's term; false on a newer term or a lost quorum. */
  readonly publish: (decisions: HealthDecisions) => Promise<boolean>;
}

const TICK_US = 5 * SECOND_US;
/** Maximum number of workers listed in a response to an operator. */
const MAX_LISTED_WORKERS = 20;

/** Aggregates the nodes' fault reports; on the leader, takes at most one action per tick. */
export class OutlierDetector {
  /** Decides on zonal shifts, after the ejections in each tick. */
  readonly zonalShift: ZonalShiftController;
  private readonly window: FaultWindow;
  private readonly tokens: RemovalTokenBucket;
  private readonly changeLog: ChangeLogger;
  private readonly ejectedSinceUs = new Map<string, number>();
  private timer: Timer | undefined;
  private isTicking = false;
  private wasLeader = false;
  private malformedReports = 0;

  constructor(private readonly options: OutlierDetectorOptions) {
    const { clock, settings, log } = options;
    this.window = new FaultWindow(clock, settings.windowUs);
    this.tokens = new RemovalTokenBucket(clock, settings.removalIntervalUs);
    this.changeLog = new ChangeLogger(log);
    this.zonalShift = new ZonalShiftController({
      clock,
      log,
      settings,
      changeLog: this.changeLog,
      isLeader: options.isLeader,
      workers: options.workers,
      decisions: options.decisions,
      publish: options.publish,
      faults: this.window.byWorker,
    });
  }

  /** Starts the periodic evaluation. */
  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  /** Stops the periodic evaluation. */
  readonly stop = (): void => this.timer?.stop();

  /** Aggregates a node's report; a malformed one only increments `malformedReports`. */
  readonly receive = (report: Message): void => {
    if (!this.window.receive(report)) this.malformedReports += 1;
  };

  /** The decisions and their basis, in the form returned to operators. */
  readonly explain = (): UnknownRecord => {
    const { isLeader, term, decisions } = this.options;
    const faults = [...this.window.byWorker()]
      .sort((a, b) => b[1] - a[1])
      .slice(0, MAX_LISTED_WORKERS)
      .map(([worker, count]) => ({ worker, faults: count }));
    return {
      holder: isLeader(),
      term: term(),
      token: this.hasToken() ? "here" : "spent",
      faults,
      malformedReports: this.malformedReports,
      decisions: packHealthDecisions(decisions()),
    };
  };

  /** Decides once on the leader; skipped while a decision is in progress. */
  readonly tick = async (): Promise<void> => {
    if (this.isTicking) return;
    this.isTicking = true;
    try {
      if (this.options.isLeader()) await this.decide();
      else {
        this.wasLeader = false;
        this.tokens.endLeadership();
      }
    } finally {
      this.isTicking = false;
    }
  };

  private readonly hasToken = (): boolean =>
    this.tokens.hasToken(this.options.decisions().removals);

  private readonly decide = async (): Promise<void> => {
    if (!this.wasLeader) {
      this.wasLeader = true;
      this.zonalShift.reset();
      this.tokens.beginLeadership();
      this.ejectedSinceUs.clear();
    }
    if (await this.endEjections()) return;
    if (await this.zonalShift.endExpired()) return;
    if (await this.ejectOutlier()) return;
    if (await this.zonalShift.shiftOutlier()) return;
    await this.zonalShift.startWeeklyPractice();
  };

  /** Ends the ejections that have expired or whose worker has left; true if there were any. */
  private readonly endEjections = async (): Promise<boolean> => {
    const { clock, settings, decisions, workers, publish, log } = this.options;
    const nowUs = clock.nowUs();
    const present = new Set(workers().map((worker) => worker.id));
    const now = decisions();
    now.ejections
      .filter(({ worker }) => !this.ejectedSinceUs.has(worker))
      .forEach(({ worker }) => this.ejectedSinceUs.set(worker, nowUs));
    const remaining = now.ejections.filter(
      ({ worker }) =>
        present.has(worker) &&
        nowUs - (this.ejectedSinceUs.get(worker) ?? nowUs) < settings.ejectionUs,
    );
    if (remaining.length === now.ejections.length) return false;
    const ended = now.ejections
      .filter((ejection) => !remaining.includes(ejection))
      .map(({ worker }) => worker);
    if (await publish({ ...now, ejections: remaining })) {
      ended.forEach((worker) => this.ejectedSinceUs.delete(worker));
      log.info("ejections ended", { workers: ended });
    }
    return true;
  };

  /** Ejects the outlier, if a token is available and the cap allows it; true if attempted. */
  private readonly ejectOutlier = async (): Promise<boolean> => {
    const { workers, decisions, publish, log, clock, term } = this.options;
    const present = new Map(workers().map((worker) => [worker.id, worker]));
    const now = decisions();
    const ejected = new Set(now.ejections.map(({ worker }) => worker));
    const found = this.findOutlierWorker(present, ejected);
    const worker = found && present.get(found.id);
    if (!found || !worker || worker.isMissing) return false;
    if (!this.mayEject(found, worker, [...present.values()], ejected)) return false;
    const reason = describeOutlier(found);
    const ejection = toEjection(found, reason, term());
    const ejections = [...now.ejections, ejection];
    if (await publish({ ...now, removals: now.removals + 1, ejections })) {
      this.tokens.take();
      this.ejectedSinceUs.set(found.id, clock.nowUs());
      log.warn("worker ejected", { worker: found.id, service: worker.service, reason });
    }
    return true;
  };

  private readonly findOutlierWorker = (
    present: ReadonlyMap<string, ObservedWorker>,
    ejected: ReadonlySet<string>,
  ): Outlier | undefined => {
    const { minFaults, alarmShare } = this.options.settings;
    const sums = new Map(
      [...this.window.byWorker()].filter(([id]) => present.has(id) && !ejected.has(id)),
    );
    return findOutlier(sums, minFaults, alarmShare);
  };

  private readonly mayEject = (
    found: Outlier,
    worker: ObservedWorker,
    all: readonly ObservedWorker[],
    ejected: ReadonlySet<string>,
  ): boolean => {
    if (!this.hasToken()) {
      this.changeLog.info("outlier not ejected: token spent", {
        worker: found.id,
        share: found.share,
      });
      return false;
    }
    const ofService = all.filter((other) => other.service === worker.service);
    const unavailable = ofService.filter((other) => ejected.has(other.id) || other.isMissing);
    if (unavailable.length + 1 <= ofService.length * this.options.settings.maxEjectedShare)
      return true;
    this.changeLog.info("outlier not ejected: too few workers left", {
      worker: found.id,
      service: worker.service,
    });
    return false;
  };
}

const toEjection = (found: Outlier, reason: string, term: number): Ejection => ({
  worker: found.id,
  reason,
  evidence: {
    faults: found.faults,
    ofFaults: found.totalFaults,
    share: found.share,
    token: "taken",
    term,
  },
});
