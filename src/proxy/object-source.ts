/** Interface through which the proxy obtains objects of cached routes. */

/** A request for an object, with the maximum age of a cached copy. */
export interface ObjectRequest {
  readonly service: string;
  readonly host: string;
  /** The path including the query string. */
  readonly url: string;
  readonly cacheForUs: number;
  /** Invariant: at most `cacheForUs`. */
  readonly maxAgeUs: number;
  readonly latencyTargetUs: number;
  /** When the requester stops waiting for a response, in microseconds of the local clock. */
  readonly deadlineUs: number;
}

/**
 * The object is unavailable and no worker ran the request; it may be retried after `retryAfterUs`.
 */
export interface ObjectUnavailable {
  readonly kind: "none";
  readonly reason: "rate" | "full" | "late";
  readonly retryAfterUs: number;
}

/** An object, or the requested range of it. */
export interface ServedObject {
  readonly kind: "served";
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Result of a fetch: the object, or the reason why it is unavailable. */
export type ObjectResult = ServedObject | ObjectUnavailable;

/** Source of objects of cached routes. */
export interface ObjectSource {
  /**
   * Fetches an object.
   *
   * @param range - the value of a `Range` header; undefined for the entire object
   */
  readonly fetch: (request: ObjectRequest, range: string | undefined) => Promise<ObjectResult>;
  /** Requests permission to send one more request to a service with a rate limit. */
  readonly permit: (service: string) => Promise<boolean>;
}
