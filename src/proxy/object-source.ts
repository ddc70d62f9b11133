/** The port through which the proxy gets objects of cached routes. */

/** An object that is asked for, and how old a cached one may be. */
export interface ObjectRequest {
  readonly service: string;
  readonly host: string;
  /** The path with its query. */
  readonly url: string;
  readonly cacheForUs: number;
  /** Invariant: at most `cacheForUs`. */
  readonly maxAgeUs: number;
  readonly latencyTargetUs: number;
  /** Until when a response is of use, on this process's clock. */
  readonly deadlineUs: number;
}

/** No worker ran the request; the object may be asked for again after the given time. */
export interface ObjectUnavailable {
  readonly kind: "none";
  readonly reason: "rate" | "full" | "late";
  readonly retryAfterUs: number;
}

/** An object, or the part of it that was asked for. */
export interface ServedObject {
  readonly kind: "served";
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What came of a fetch: the object, or why there is none. */
export type ObjectResult = ServedObject | ObjectUnavailable;

/** Where the proxy gets objects of cached routes from. */
export interface ObjectSource {
  /**
   * Fetches an object.
   *
   * @param range - the value of a `Range` header; undefined for all of the object
   */
  readonly fetch: (request: ObjectRequest, range: string | undefined) => Promise<ObjectResult>;
  /** Whether one more request may go to a service with a rate limit. */
  readonly permit: (service: string) => Promise<boolean>;
}
