import { LRUCache } from "lru-cache";
import type { Clock } from "../common/clock.js";

/** What an object is known by. */
export interface ObjectName {
  readonly service: string;
  readonly host: string;
  /** The path with its query. */
  readonly url: string;
}

/** An object as a worker gave it, whole and checked. */
export interface CachedObject extends ObjectName {
  readonly status: number;
  readonly heads: readonly string[];
  readonly etag: string;
  readonly labels: readonly string[];
  readonly body: Buffer;
  /** Invariant: no later than the moment, on this process's clock, at which the worker still had this version. */
  readonly bornUs: number;
}

/** What ends the copies it names. */
export interface Purge {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly label: string;
  readonly receivedUs: number;
}

const OVERHEAD_BYTES = 512;

const pathOf = (url: string): string => url.split("?")[0] ?? url;

export const keyOf = ({ service, host, url }: ObjectName): string => `${service}\n${host}\n${url}`;

const namesUrl = (purge: Purge, host: string, url: string): boolean =>
  purge.label === "" && purge.host === host && (purge.path === url || purge.path === pathOf(url));

/**
 * The copies one process keeps, in memory alone, since their age could not be known across a restart.
 * Invariant: none is kept, or taken, that a purge names and that was born before this process learned of the purge.
 */
export class CachedObjects {
  private readonly objects: LRUCache<string, CachedObject>;
  private readonly purges = new Map<string, Purge>();
  droppedByPurges = 0;

  constructor(
    private readonly clock: Clock,
    roomBytes: number,
    private readonly mostBytes = roomBytes / 4,
  ) {
    this.objects = new LRUCache<string, CachedObject>({
      maxSize: Math.max(1, Math.floor(roomBytes)),
      sizeCalculation: (copy) => copy.body.length + OVERHEAD_BYTES,
    });
  }

  get size(): number {
    return this.objects.size;
  }

  get bytes(): number {
    return this.objects.calculatedSize;
  }

  readonly get = (key: string): CachedObject | undefined => this.objects.get(key);

  /** False if a purge covers it. One too large for the room is not kept, but still good. */
  readonly put = (copy: CachedObject): boolean => {
    if (this.coveringPurgeUs(copy) !== undefined) return false;
    if (copy.etag !== "" && copy.body.length <= this.mostBytes) this.objects.set(keyOf(copy), copy);
    return true;
  };

  /** When the last purge was learned that ends this copy, or undefined. */
  readonly coveringPurgeUs = (copy: CachedObject): number | undefined => {
    let lastUs: number | undefined;
    this.purges.forEach((purge) => {
      const names =
        purge.label === ""
          ? namesUrl(purge, copy.host, copy.url)
          : copy.labels.includes(purge.label);
      if (names && copy.bornUs <= purge.receivedUs)
        lastUs = Math.max(lastUs ?? 0, purge.receivedUs);
    });
    return lastUs;
  };

  /** When the last purge was learned that names this address. */
  readonly lastPurgeUs = (host: string, url: string): number | undefined => {
    let lastUs: number | undefined;
    this.purges.forEach((purge) => {
      if (namesUrl(purge, host, url)) lastUs = Math.max(lastUs ?? 0, purge.receivedUs);
    });
    return lastUs;
  };

  /** False if it is known already. */
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

  readonly forgetPurge = (purgeId: string): void => {
    this.purges.delete(purgeId);
  };

  readonly clear = (): void => this.objects.clear();
}
