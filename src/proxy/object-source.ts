/** An object that is asked for, and how old a copy of it may be. */
export interface ObjectRequest {
  readonly service: string;
  readonly host: string;
  /** The path with its query. */
  readonly url: string;
  readonly cacheForUs: number;
  /** Invariant: at most `cacheForUs`. */
  readonly maxAgeUs: number;
  readonly latencyTargetUs: number;
  /** Until when an answer is of use, on this process's clock. */
  readonly deadlineUs: number;
}

/** Nobody ran it, and it may be asked for again after a while. */
export interface ObjectUnavailable {
  readonly kind: "none";
  readonly reason: "rate" | "full" | "late";
  readonly retryAfterUs: number;
}

export type ObjectResult =
  | {
      readonly kind: "served";
      readonly status: number;
      readonly heads: readonly string[];
      readonly body: Buffer;
    }
  | ObjectUnavailable;

/** Where the front gets objects of cached routes from. */
export interface ObjectSource {
  readonly fetch: (want: ObjectRequest, range: string | undefined) => Promise<ObjectResult>;
  /** Whether one more request may go to a service with a bound on its rate. */
  readonly permit: (service: string) => Promise<boolean>;
}
