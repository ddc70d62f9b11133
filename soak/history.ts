/** What a run of the soak records; all times are microseconds on one monotonic clock. */

/** A client's request to a gateway, and how it ended. */
export interface RequestRecord {
  readonly attemptId: string;
  readonly gateway: string;
  /** Whether its route moves from service to service with the versions of the configuration. */
  readonly isProbe: boolean;
  /** Whether it may run more than once. */
  readonly isSafe: boolean;
  readonly sentUs: number;
  readonly endedUs: number;
  /** Undefined where the connection ended first. */
  readonly status: number | undefined;
  readonly hasSeal: boolean;
  /** Complete, as far as the response's length tells. */
  readonly body: string;
}

/** A worker has begun to work on a request. */
export interface RunRecord {
  readonly attemptId: string;
  readonly service: string;
  readonly atUs: number;
}

/** A change of the probe's route; its version says which service gets the requests. */
export interface ChangeRecord {
  readonly version: number;
  readonly service: string;
  readonly sentUs: number;
  /** Undefined where it got no 2xx. */
  readonly acknowledgedUs: number | undefined;
}

/** A reading of the configuration from one controller; others than 200 aren't recorded. */
export interface ReadRecord {
  readonly controller: string;
  readonly startUs: number;
  readonly probeVersion: number;
  readonly routes: ReadonlySet<string>;
}

/** A change that adds many routes. */
export interface LargeChangeRecord {
  readonly routes: readonly string[];
  readonly acknowledgedUs: number | undefined;
}

/** The end of a process. */
export interface ExitRecord {
  readonly process: string;
  readonly atUs: number;
  readonly code: number | null;
  /** When it was asked to end by SIGTERM; undefined where it was not. */
  readonly termUs: number | undefined;
  readonly wasKilled: boolean;
}

/** What was done to a process, from its begin until the process was up again. */
export interface FaultRecord {
  readonly process: string;
  readonly kind: "term" | "kill" | "stop" | "start";
  readonly fromUs: number;
  readonly toUs: number;
}

/** A time in which the machine itself was late, by a plain timer beside the run. */
export interface MachineDelay {
  readonly fromUs: number;
  readonly toUs: number;
}

/** Everything that was recorded of one run. */
export interface History {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly RunRecord[];
  readonly changes: readonly ChangeRecord[];
  readonly largeChanges: readonly LargeChangeRecord[];
  readonly reads: readonly ReadRecord[];
  readonly exits: readonly ExitRecord[];
  readonly faults: readonly FaultRecord[];
  readonly machineDelays: readonly MachineDelay[];
}

/** Collects a history while the run goes on. */
export class HistoryRecorder implements History {
  readonly requests: RequestRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly changes: ChangeRecord[] = [];
  readonly largeChanges: LargeChangeRecord[] = [];
  readonly reads: ReadRecord[] = [];
  readonly exits: ExitRecord[] = [];
  readonly faults: FaultRecord[] = [];
  readonly machineDelays: MachineDelay[] = [];
}
