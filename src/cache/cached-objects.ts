/** In-memory cache of objects, and the purges that invalidate them. */
import { LRUCache } from "lru-cache";
import type { Clock } from "../common/clock.js";

/** Identifies an object: its service, and the host and URL that it is requested with. */
export interface ObjectName {
  readonly service: string;
  readonly host: string;
  /** The path with its query string. */
  readonly url: string;
}

/** A complete and validated object, as received from a worker. */
export interface CachedObject extends ObjectName {
  readonly status: number;
  readonly headers: readonly string[];
  readonly etag: string;
  readonly labels: readonly string[];
  readonly body: Buffer;
  /**
   * Time of the last validation, on this process's clock. Invariant: the worker still had this
   * version at this time or later.
   */
  readonly validatedAtUs: number;
}

/** Invalidates the cached objects that match it, either by host and path or by label. */
export interface Purge {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly label: string;
  readonly receivedUs: number;
}

const ENTRY_OVERHEAD_BYTES = 512;

const pathOf = (url: string): string => url.split("?")[0] ?? url;

/** Key of an object in caches, also used for its placement by rendezvous hashing. */
export const cacheKey = ({ service, host, url }: ObjectName): string =>
  `${service}\n${host}\n${url}`;

const coversUrl = (purge: Purge, host: string, url: string): boolean =>
  purge.label === "" && purge.host === host && (purge.path === url || purge.path === pathOf(url));

/**
 * The cached objects of one process. They are kept in memory only, since their age could not be
 * known across a restart. Invariant: an object that matches a purge and was validated before this
 * process received that purge is neither kept nor added.
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

  /** The size of the cached objects in bytes, including an estimated overhead for each. */
  get bytes(): number {
    return this.objects.calculatedSize;
  }

  /** Returns the object with this key, regardless of its age. */
  readonly get = (key: string): CachedObject | undefined => this.objects.get(key);

  /**
   * Adds an object. Returns false if a purge covers it. An object that is too large for the cache
   * or has no entity tag is not kept but remains valid, so the result is true.
   */
  readonly put = (copy: CachedObject): boolean => {
    if (this.coveringPurgeUs(copy) !== undefined) return false;
    if (copy.etag !== "" && copy.body.length <= this.maxObjectBytes)
      this.objects.set(cacheKey(copy), copy);
    return true;
  };

  /** When the latest purge that covers this object was received; undefined if there is none. */
  readonly coveringPurgeUs = (copy: CachedObject): number | undefined => {
    let lastUs: number | undefined;
    this.purges.forEach((purge) => {
      const isCovered =
        purge.label === ""
          ? coversUrl(purge, copy.host, copy.url)
          : copy.labels.includes(purge.label);
      if (isCovered && copy.validatedAtUs <= purge.receivedUs)
        lastUs = Math.max(lastUs ?? 0, purge.receivedUs);
    });
    return lastUs;
  };

  /** When the latest purge of this URL was received; undefined if there is none. */
  readonly lastPurgeUs = (host: string, url: string): number | undefined => {
    let lastUs: number | undefined;
    this.purges.forEach((purge) => {
      if (coversUrl(purge, host, url)) lastUs = Math.max(lastUs ?? 0, purge.receivedUs);
    });
    return lastUs;
  };

  /** Applies a purge; returns false if it is already known. */
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

  /**
   * Forgets a purge. The caller ensures that no object from before the purge can still be in use.
   */
  readonly forgetPurge = (purgeId: string): void => {
    this.purges.delete(purgeId);
  };

  /** Removes every cached object. */
  readonly clear = (): void => this.objects.clear();
}
