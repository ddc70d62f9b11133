/** The cached objects of one process, and the purges that end them. */
import { LRUCache } from "lru-cache";
import type { Clock } from "../common/clock.js";

/** What an object is known by. */
export interface ObjectName {
  readonly service: string;
  readonly host: string;
  /** The path with its query. */
  readonly url: string;
}

/** An object as a worker gave it, complete and checked. */
export interface CachedObject extends ObjectName {
  readonly status: number;
  readonly headers: readonly string[];
  readonly etag: string;
  readonly labels: readonly string[];
  readonly body: Buffer;
  /**
   * Invariant: no later than the moment, on this process's clock, at which the worker still had
   * this version.
   */
  readonly validatedAtUs: number;
}

/** Ends the cached objects that it names, by address or by label. */
export interface Purge {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly label: string;
  readonly receivedUs: number;
}

const ENTRY_OVERHEAD_BYTES = 512;

const pathOf = (url: string): string => url.split("?")[0] ?? url;

/** The key of an object in caches and in consistent placement. */
export const cacheKey = ({ service, host, url }: ObjectName): string =>
  `${service}\n${host}\n${url}`;

const purgesUrl = (purge: Purge, host: string, url: string): boolean =>
  purge.label === "" && purge.host === host && (purge.path === url || purge.path === pathOf(url));

/**
 * The cached objects of one process, in memory alone, since their age could not be known across a
 * restart. Invariant: none is kept, or taken, that a purge names and that was validated before this
 * process received the purge.
 */
export class CachedObjects {
  private readonly objects: LRUCache<string, CachedObject>;
  private readonly purges = new Map<string, Purge>();
  droppedByPurges = 0;

  constructor(
    private readonly clock: Clock,
    maxBytes: number,
    private readonly maxObjectBytes = maxBytes / 4,
  ) {
    this.objects = new LRUCache<string, CachedObject>({
      maxSize: Math.max(1, Math.floor(maxBytes)),
      sizeCalculation: (copy) => copy.body.length + ENTRY_OVERHEAD_BYTES,
    });
  }

  /** The number of cached objects. */
  get size(): number {
    return this.objects.size;
  }

  /** Their size in bytes, with an estimate of the overhead. */
  get bytes(): number {
    return this.objects.calculatedSize;
  }

  /** The object of a key, whatever its age. */
  readonly get = (key: string): CachedObject | undefined => this.objects.get(key);

  /**
   * False if a purge covers the object. One too large for the cache is not kept, but still valid.
   */
  readonly put = (copy: CachedObject): boolean => {
    if (this.coveringPurgeUs(copy) !== undefined) return false;
    if (copy.etag !== "" && copy.body.length <= this.maxObjectBytes)
      this.objects.set(cacheKey(copy), copy);
    return true;
  };

  /** When the last purge was received that covers this object; undefined without one. */
  readonly coveringPurgeUs = (copy: CachedObject): number | undefined => {
    let lastUs: number | undefined;
    this.purges.forEach((purge) => {
      const names =
        purge.label === ""
          ? purgesUrl(purge, copy.host, copy.url)
          : copy.labels.includes(purge.label);
      if (names && copy.validatedAtUs <= purge.receivedUs)
        lastUs = Math.max(lastUs ?? 0, purge.receivedUs);
    });
    return lastUs;
  };

  /** When the last purge was received that names this address; undefined without one. */
  readonly lastPurgeUs = (host: string, url: string): number | undefined => {
    let lastUs: number | undefined;
    this.purges.forEach((purge) => {
      if (purgesUrl(purge, host, url)) lastUs = Math.max(lastUs ?? 0, purge.receivedUs);
    });
    return lastUs;
  };

  /** Applies a purge; false if it is known already. */
  readonly purge = (purge: Omit<Purge, "receivedUs">): boolean => {
    if (this.purges.has(purge.id)) return false;
    this.purges.set(purge.id, { ...purge, receivedUs: this.clock.nowUs() });
    this.objects.forEach((copy, key) => {
      if (this.coveringPurgeUs(copy) === undefined) return;
      this.objects.delete(key);
      this.droppedByPurges += 1;
    });
    return true;
  };

  /** Forgets a purge that no object from before it can outlast. */
  readonly forgetPurge = (purgeId: string): void => {
    this.purges.delete(purgeId);
  };

  /** Drops every cached object. */
  readonly clear = (): void => this.objects.clear();
}
