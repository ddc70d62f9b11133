/** An object that is asked for, and how old a copy of it may be. */
export interface ObjectWant {
  readonly service: string;
  readonly host: string;
  /** The path with its query. */
  readonly url: string;
  readonly cacheForUs: number;
  /** Invariant: at most `cacheForUs`. */
  readonly mostAgeUs: number;
  readonly latencyTargetUs: number;
  /** Until when an answer is of use, on this process's clock. */
  readonly untilUs: number;
}

/** Nobody ran it, and it may be asked for again after a while. */
export interface ObjectRefusal {
  readonly kind: "none";
  readonly why: "rate" | "full" | "late";
  readonly comeBackUs: number;
}

export type ObjectResult =
  | {
      readonly kind: "served";
      readonly status: number;
      readonly heads: readonly string[];
      readonly body: Buffer;
    }
  | ObjectRefusal;

/** Where the front gets objects of cached routes from. */
export interface ObjectSource {
  readonly fetch: (want: ObjectWant, range: string | undefined) => Promise<ObjectResult>;
  /** Whether one more request may go to a service with a bound on its rate. */
  readonly permit: (service: string) => Promise<boolean>;
}
