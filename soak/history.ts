/** Records of a soak run. All times are in microseconds on one monotonic clock. */

/** A client's request to a gateway and its outcome. */
export interface RequestRecord {
  readonly attemptId: string;
  readonly gateway: string;
  /** Whether the route is moved to another service by each version of the configuration. */
  readonly isProbe: boolean;
  /** Whether the request may be executed more than once. */
  readonly isSafe: boolean;
  readonly sentUs: number;
  readonly endedUs: number;
  /** Undefined if the connection closed before the response was complete. */
  readonly status: number | undefined;
  readonly hasSeal: boolean;
  /** Complete if `status` is set; otherwise what arrived before the connection closed. */
  readonly body: string;
}

/** A client's request with an idempotency key and its outcome. */
export interface KeyedRequestRecord {
  readonly key: string;
  readonly attemptId: string;
  readonly gateway: string;
  readonly sentUs: number;
  readonly endedUs: number;
  /** Undefined if no complete response arrived. */
  readonly status: number | undefined;
  readonly hasSeal: boolean;
  readonly body: string;
}

/** The start of a request's execution by a worker. */
export interface RunRecord {
  readonly attemptId: string;
  readonly service: string;
  readonly atUs: number;
}

/** A change of the probe route, which moves its requests to another service. */
export interface ChangeRecord {
  readonly version: number;
  readonly service: string;
  readonly sentUs: number;
  /** Undefined if no controller acknowledged the change. */
  readonly acknowledgedUs: number | undefined;
}

/** A configuration read from one controller. Only reads answered with status 200 are recorded. */
export interface ReadRecord {
  readonly controller: string;
  readonly startUs: number;
  readonly probeVersion: number;
  readonly routes: ReadonlySet<string>;
}

/** A change that adds many routes at once. */
export interface LargeChangeRecord {
  readonly routes: readonly string[];
  readonly acknowledgedUs: number | undefined;
}

/** The exit of a process. */
export interface ExitRecord {
  readonly process: string;
  readonly atUs: number;
  readonly code: number | null;
  /** When SIGTERM was sent; undefined if it was not. */
  readonly termUs: number | undefined;
  readonly wasKilled: boolean;
}

/** A fault injected into a process, from its begin until the process was up again. */
export interface FaultRecord {
  readonly process: string;
  readonly kind: "term" | "kill" | "stop" | "start" | "wipe";
  readonly fromUs: number;
  readonly toUs: number;
}

/** A period in which the host machine was delayed, as measured by a timer of the test process. */
export interface MachineDelay {
  readonly fromUs: number;
  readonly toUs: number;
}

/** All records of one run. */
export interface History {
  readonly requests: readonly RequestRecord[];
  readonly keyedRequests: readonly KeyedRequestRecord[];
  readonly runs: readonly RunRecord[];
  readonly changes: readonly ChangeRecord[];
  readonly largeChanges: readonly LargeChangeRecord[];
  readonly reads: readonly ReadRecord[];
  readonly exits: readonly ExitRecord[];
  readonly faults: readonly FaultRecord[];
  readonly machineDelays: readonly MachineDelay[];
}

/** Collects the records during a run. */
export class HistoryRecorder implements History {
  readonly requests: RequestRecord[] = [];
  readonly keyedRequests: KeyedRequestRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly changes: ChangeRecord[] = [];
  readonly largeChanges: LargeChangeRecord[] = [];
  readonly reads: ReadRecord[] = [];
  readonly exits: ExitRecord[] = [];
  readonly faults: FaultRecord[] = [];
  readonly machineDelays: MachineDelay[] = [];
}
