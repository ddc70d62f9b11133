/** One replica's table of idempotency keys and purges, with the log that makes it durable. */
import { asRecord, readList, readNumber, type UnknownRecord } from "../common/decode.js";
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import { SegmentLog } from "../storage/segment-log.js";
import {
  KEY_RECORD,
  readKeyClaim,
  readPurge,
  readStoredResponse,
  type Purge,
  type StoredResponse,
  type TableClaimResult,
} from "./key-codec.js";

interface Entry {
  readonly token: string;
  readonly sinceUs: number;
  answer: StoredResponse | undefined;
}

/** What a key table needs to know. */
export interface IdempotencyKeyTableOptions {
  /** Empty on a machine without a disk: then memory is all there is. */
  readonly folder: string;
  readonly clock: Clock;
  /** For how long a key must not run twice, in microseconds. */
  readonly keyWindowUs: number;
  /** The disk space of this controller, of which the table takes a part. */
  readonly diskBytes: number;
}

/**
 * How much longer than the window a claim is kept, for all that clocks and network hops may add.
 */
const MARGIN_FRACTION = 0.1;
const MARGIN_US = 5 * SECOND_US;
/** The part of the disk space that the table may take. */
const DISK_FRACTION = 0.7;
/** For how long a purge is kept, in microseconds. */
export const PURGE_RETENTION_US = 60 * SECOND_US;

/**
 * One controller's own replica of the idempotency keys and of the purges, durable on its disk.
 *
 * Invariants: a key has one token at a time, and another is taken only after that one was released
 * or its time is over; a token is released only by who took it, and only if it has not run; what is
 * said to be taken is synced.
 */
export class IdempotencyKeyTable {
  private readonly entries = new Map<string, Entry>();
  private readonly purgesById = new Map<
    string,
    { readonly purge: Purge; readonly sinceUs: number }
  >();
  private readonly segments: SegmentLog;
  /**
   * Invariant: true exactly if this replica holds all that it must; each segment begins with how
   * that was then.
   */
  private isInitialized = false;
  private readonly retentionUs: number;

  constructor(private readonly options: IdempotencyKeyTableOptions) {
    this.retentionUs = options.keyWindowUs * (1 + MARGIN_FRACTION) + MARGIN_US;
    this.segments = new SegmentLog({
      folder: options.folder,
      clock: options.clock,
      retentionUs: Math.max(this.retentionUs, PURGE_RETENTION_US),
      maxBytes: options.diskBytes * DISK_FRACTION,
      makeHeader: () => ({
        kind: this.isInitialized ? KEY_RECORD.initialized : KEY_RECORD.uninitialized,
      }),
    });
  }

  get size(): number {
    return this.entries.size;
  }

  get sizeBytes(): number {
    return this.segments.sizeBytes;
  }

  /**
   * False where no log was found, or one that never held all it must: what it once held may be
   * lost.
   */
  readonly load = async (): Promise<boolean> => {
    const records = await this.segments.load();
    records?.forEach((record) => this.replay(asRecord(record)));
    return this.isInitialized;
  };

  /**
   * Writes a record by which a later start knows that nothing was lost; false if the disk refuses.
   */
  readonly markInitialized = async (): Promise<boolean> => {
    this.isInitialized = (await this.segments.append({ kind: KEY_RECORD.initialized })).isOk;
    return this.isInitialized;
  };

  /** Waits for the writes that have begun, and closes the log. */
  readonly close = (): Promise<void> => this.segments.close();

  /** The response of a key's run, with or without its body. */
  readonly findResponse = (key: string): StoredResponse | undefined => this.findEntry(key)?.answer;

  /** The token that has a key. */
  readonly findToken = (key: string): string | undefined => this.findEntry(key)?.token;

  /** Claims a key for a token. `full`: the disk refuses, or too little space is left. */
  readonly claim = async (key: string, token: string): Promise<TableClaimResult> => {
    const existing = this.findEntry(key);
    if (existing && existing.token !== token) return "other";
    if (existing) return (await this.segments.flush()).isOk ? "taken" : "full";
    if (this.segments.isNearlyFull) return "full";
    this.entries.set(key, { token, sinceUs: this.options.clock.nowUs(), answer: undefined });
    const appended = await this.segments.append({ kind: KEY_RECORD.claim, key, token });
    if (appended.isErr) this.deleteClaim(key, token);
    return appended.isOk ? "taken" : "full";
  };

  /** Releases a token that has not run. */
  readonly release = (key: string, token: string): void => {
    if (this.deleteClaim(key, token))
      void this.segments.append({ kind: KEY_RECORD.release, key, token });
  };

  /**
   * Stores the response of the key's run; false if another token has the key, or the disk refuses.
   */
  readonly complete = async (
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> => {
    const existing = this.findEntry(key);
    if (existing && existing.token !== token) return false;
    this.storeResponse(key, token, answer);
    return (await this.segments.append({ kind: KEY_RECORD.complete, key, token, ...answer })).isOk;
  };

  /** Stores a purge; false if the disk refuses. */
  readonly addPurge = async (purge: Purge): Promise<boolean> => {
    if (this.purgesById.has(purge.id)) return (await this.segments.flush()).isOk;
    this.purgesById.set(purge.id, { purge, sinceUs: this.options.clock.nowUs() });
    return (await this.segments.append({ kind: KEY_RECORD.purge, ...purge })).isOk;
  };

  readonly purges = (): readonly Purge[] => [...this.purgesById.values()].map(({ purge }) => purge);

  readonly hasPurge = (id: string): boolean => this.purgesById.has(id);

  /** Everything but the bodies, for a replica that lost its own. */
  readonly pack = (): UnknownRecord => {
    const nowUs = this.options.clock.nowUs();
    const keys = [...this.entries].map(([key, { token, sinceUs, answer }]) => ({
      key,
      token,
      ageUs: nowUs - sinceUs,
      ...(answer ? { answer: { status: answer.status, heads: answer.heads } } : {}),
    }));
    return { keys, purges: this.purges() };
  };

  /**
   * Takes what another replica packed; what is here already stays. True once all of it is durable.
   */
  readonly merge = async (packed: UnknownRecord): Promise<boolean> => {
    const nowUs = this.options.clock.nowUs();
    const appends = readList(packed, "keys", asRecord).flatMap((row) => {
      const { key, token } = readKeyClaim(row);
      const answer = readStoredResponse(row["answer"]);
      const existing = this.findEntry(key);
      if (existing && (existing.token !== token || existing.answer || !answer)) return [];
      this.entries.set(key, {
        token,
        sinceUs: existing?.sinceUs ?? nowUs - readNumber(row, "ageUs"),
        answer,
      });
      return [
        this.segments.append(
          answer
            ? { kind: KEY_RECORD.complete, key, token, ...answer }
            : { kind: KEY_RECORD.claim, key, token },
        ),
      ];
    });
    const addedPurges = readList(packed, "purges", readPurge).map((purge) => this.addPurge(purge));
    return (
      (await Promise.all(appends)).every((result) => result.isOk) &&
      (await Promise.all(addedPurges)).every((done) => done)
    );
  };

  /**
   * Removes what has expired; entries are in the order they came. Returns the ids of the purges
   * removed.
   */
  readonly removeExpired = (): readonly string[] => {
    const nowUs = this.options.clock.nowUs();
    for (const [key, entry] of this.entries) {
      if (nowUs - entry.sinceUs <= this.retentionUs) break;
      this.entries.delete(key);
    }
    const expiredIds = [...this.purgesById]
      .filter(([, { sinceUs }]) => nowUs - sinceUs > PURGE_RETENTION_US)
      .map(([id]) => id);
    expiredIds.forEach((id) => this.purgesById.delete(id));
    return expiredIds;
  };

  private readonly findEntry = (key: string): Entry | undefined => {
    const entry = this.entries.get(key);
    return entry && this.options.clock.nowUs() - entry.sinceUs <= this.retentionUs
      ? entry
      : undefined;
  };

  private readonly deleteClaim = (key: string, token: string): boolean => {
    const entry = this.entries.get(key);
    return entry?.token === token && entry.answer === undefined && this.entries.delete(key);
  };

  private readonly storeResponse = (key: string, token: string, answer: StoredResponse): void => {
    const existing = this.findEntry(key);
    if (existing) existing.answer = answer;
    else this.entries.set(key, { token, sinceUs: this.options.clock.nowUs(), answer });
  };

  /**
   * Replays a record found on disk; its time counts from now, since how long the process was gone
   * isn't known.
   */
  private readonly replay = (record: UnknownRecord): void => {
    const nowUs = this.options.clock.nowUs();
    if (record["kind"] === KEY_RECORD.purge) {
      const purge = readPurge(record);
      this.purgesById.set(purge.id, { purge, sinceUs: nowUs });
    }
    if (record["kind"] === KEY_RECORD.initialized || record["kind"] === KEY_RECORD.uninitialized)
      this.isInitialized = record["kind"] === KEY_RECORD.initialized;
    if (typeof record["key"] !== "string") return;
    const { key, token } = readKeyClaim(record);
    if (record["kind"] === KEY_RECORD.claim && !this.entries.has(key))
      this.entries.set(key, { token, sinceUs: nowUs, answer: undefined });
    else if (record["kind"] === KEY_RECORD.release) this.deleteClaim(key, token);
    else if (record["kind"] === KEY_RECORD.complete) {
      const answer = readStoredResponse(record);
      if (answer) this.storeResponse(key, token, answer);
    }
  };
}
