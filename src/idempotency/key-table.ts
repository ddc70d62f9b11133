/** One replica's table of idempotency keys and purges, with the log that persists it. */
import { asRecord, readList, type UnknownRecord } from "../common/decode.js";
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import { ChangeLog } from "./change-log.js";
import { SegmentLog } from "../storage/segment-log.js";
import {
  KEY_RECORD,
  readKeyRow,
  readKeyClaim,
  readPurge,
  readPurgeRow,
  readStoredResponse,
  type KeyRow,
  type Purge,
  type PurgeRow,
  type StoredResponse,
  type TableClaimResult,
} from "./key-codec.js";

interface Entry {
  readonly token: string;
  sinceUs: number;
  answer: StoredResponse | undefined;
  /** Position of the entry's latest change in the change log. */
  changedAt: number;
}

/** Options of {@link IdempotencyKeyTable}. */
export interface IdempotencyKeyTableOptions {
  /**
   * Folder of the log; empty on a machine without a disk, where the table is only kept in memory.
   */
  readonly folder: string;
  readonly clock: Clock;
  /** Period within which a key must not run twice, in microseconds. */
  readonly keyWindowUs: number;
  /** Disk space of this controller, a fraction of which the table may use. */
  readonly diskBytes: number;
}

/** A claim is retained longer than the key window, to allow for clock drift and network delays. */
const MARGIN_FRACTION = 0.1;
const MARGIN_US = 5 * SECOND_US;
/** Fraction of the disk space that the table may use. */
const DISK_FRACTION = 0.7;
/** Retention period of a purge, in microseconds. */
export const PURGE_RETENTION_US = 60 * SECOND_US;

/**
 * One controller's replica of the idempotency keys and purges, persisted on its disk.
 *
 * Invariants: a key has one token at a time, and accepts another only after that one was released
 * or has expired; a token is released only by its owner, and only if its operation has not run; a
 * claim is reported as taken only after it was synced to disk.
 */
export class IdempotencyKeyTable {
  /** The keys in the order of their changes, for replicas that copy them. */
  readonly changes = new ChangeLog();
  private readonly entries = new Map<string, Entry>();
  private readonly purgesById = new Map<
    string,
    { readonly purge: Purge; readonly sinceUs: number }
  >();
  private readonly segments: SegmentLog;
  /**
   * Invariant: true exactly if this replica holds all data that it must. The header of each segment
   * records the value at the time the segment was created.
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

  /** Period within which a key must not run twice, in microseconds. */
  get keyWindowUs(): number {
    return this.options.keyWindowUs;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Number of keys whose response is known here, with its body and without. */
  get responseCounts(): { readonly withBody: number; readonly withoutBody: number } {
    const answers = [...this.entries.values()].flatMap(({ answer }) => answer ?? []);
    const withBody = answers.filter(({ body }) => body !== undefined).length;
    return { withBody, withoutBody: answers.length - withBody };
  }

  /** Whether too little disk space is left for new claims and for copies of other replicas. */
  get isNearlyFull(): boolean {
    return this.segments.isNearlyFull;
  }

  get sizeBytes(): number {
    return this.segments.sizeBytes;
  }

  /**
   * Loads the log. Returns false if there is none, or if it never held all required data: data that
   * this replica once stored may then be lost.
   */
  readonly load = async (): Promise<boolean> => {
    const records = await this.segments.load();
    records?.forEach((record) => this.replay(asRecord(record)));
    return this.isInitialized;
  };

  /** Writes a record that tells a later start that no data was lost; false if the write failed. */
  readonly markInitialized = async (): Promise<boolean> => {
    this.isInitialized = (await this.segments.append({ kind: KEY_RECORD.initialized })).isOk;
    return this.isInitialized;
  };

  /** Resolves to true once everything recorded before the call is durable. */
  readonly persisted = async (): Promise<boolean> => (await this.segments.flush()).isOk;

  /** Waits for pending writes and closes the log. */
  readonly close = (): Promise<void> => this.segments.close();

  /** The response of a key's run, with or without its body; undefined if there is none. */
  readonly findResponse = (key: string): StoredResponse | undefined => this.findEntry(key)?.answer;

  /** The token that holds a key. */
  readonly findToken = (key: string): string | undefined => this.findEntry(key)?.token;

  /** Claims a key for a token. `full`: the write failed, or too little space is left. */
  readonly claim = async (key: string, token: string): Promise<TableClaimResult> => {
    const existing = this.findEntry(key);
    if (existing && existing.token !== token) return "other";
    if (existing) return (await this.persisted()) ? "taken" : "full";
    if (this.isNearlyFull) return "full";
    this.put(key, token, this.options.clock.nowUs(), undefined);
    const appended = await this.segments.append({ kind: KEY_RECORD.claim, key, token });
    if (appended.isErr) this.deleteClaim(key, token);
    return appended.isOk ? "taken" : "full";
  };

  /** Releases a token whose operation has not run; false if the write failed. */
  readonly release = async (key: string, token: string): Promise<boolean> => {
    if (!this.deleteClaim(key, token)) return this.persisted();
    return (await this.segments.append({ kind: KEY_RECORD.release, key, token })).isOk;
  };

  /**
   * Stores the response of a key's run; false if another token has run or the write failed. A claim
   * of another token without a response is replaced: since a quorum took this token, the other one
   * has not won and never will.
   */
  readonly complete = async (
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> => {
    const existing = this.findEntry(key);
    if (existing?.answer && existing.token !== token) return false;
    this.storeResponse(key, token, answer);
    return (await this.segments.append({ kind: KEY_RECORD.complete, key, token, ...answer })).isOk;
  };

  /**
   * Stores a purge of a given age, and keeps the higher of two ages; false if the write failed. One
   * older than the retention period is not stored.
   */
  readonly addPurge = async ({ purge, ageUs }: PurgeRow): Promise<boolean> => {
    if (ageUs > PURGE_RETENTION_US) return true;
    const sinceUs = this.options.clock.nowUs() - ageUs;
    const known = this.purgesById.get(purge.id);
    this.purgesById.set(purge.id, { purge, sinceUs: Math.min(sinceUs, known?.sinceUs ?? sinceUs) });
    if (known) return this.persisted();
    return (await this.segments.append({ kind: KEY_RECORD.purge, ...purge })).isOk;
  };

  readonly purges = (): readonly Purge[] => [...this.purgesById.values()].map(({ purge }) => purge);

  readonly purgeRows = (): readonly PurgeRow[] => {
    const nowUs = this.options.clock.nowUs();
    return [...this.purgesById.values()].map(({ purge, sinceUs }) => ({
      purge,
      ageUs: nowUs - sinceUs,
    }));
  };

  readonly hasPurge = (id: string): boolean => this.purgesById.has(id);

  /** Packs the table without response bodies, for a replica that lost its table. */
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

  /** The row of a key for another replica; undefined if the key is unknown or has expired. */
  readonly row = (key: string): KeyRow | undefined => {
    const entry = this.findEntry(key);
    if (!entry) return undefined;
    const { token, sinceUs, answer } = entry;
    return { key, token, ageUs: this.options.clock.nowUs() - sinceUs, answer };
  };

  /** Whether a change is the latest one of its key. */
  readonly isLatestChange = (key: string, position: number): boolean =>
    this.entries.get(key)?.changedAt === position;

  /** Merges the packed table of another replica. True if all of the data is durable. */
  readonly merge = async (packed: UnknownRecord): Promise<boolean> => {
    const restored = this.restore(readList(packed, "keys", readKeyRow));
    const addedPurges = readList(packed, "purges", readPurgeRow).map(this.addPurge);
    return (await restored) && (await Promise.all(addedPurges)).every((done) => done);
  };

  /**
   * Adds rows of another replica. Existing entries are kept, but get the response and the body that
   * they lack, and the higher of the two ages: no replica learns of a claim before it is made. True
   * if all of the data is durable.
   */
  readonly restore = async (rows: readonly KeyRow[]): Promise<boolean> => {
    const appends = rows.flatMap((row) => (this.restoreRow(row) ? [this.appendRow(row)] : []));
    return (await Promise.all(appends)).every((result) => result.isOk);
  };

  /**
   * Removes expired entries and purges, relying on entries being in order of insertion. Returns the
   * ids of the removed purges.
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
    this.changes.removeBefore(nowUs - this.retentionUs);
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

  private readonly put = (
    key: string,
    token: string,
    sinceUs: number,
    answer: StoredResponse | undefined,
  ): void => {
    const changedAt = this.changes.append(key, this.options.clock.nowUs());
    this.entries.set(key, { token, sinceUs, answer, changedAt });
  };

  /** Stores a response; a body that is already held is kept if the response comes without it. */
  private readonly storeResponse = (key: string, token: string, answer: StoredResponse): void => {
    const existing = this.findEntry(key);
    const isSameToken = existing?.token === token;
    this.put(
      key,
      token,
      isSameToken ? existing.sinceUs : this.options.clock.nowUs(),
      isSameToken && !answer.body && existing.answer?.body ? existing.answer : answer,
    );
  };

  /** Adds a row in memory; false if it tells nothing new. */
  private readonly restoreRow = ({ key, token, ageUs, answer }: KeyRow): boolean => {
    if (ageUs > this.retentionUs) return false;
    const sinceUs = this.options.clock.nowUs() - ageUs;
    const existing = this.findEntry(key);
    if (!existing) {
      this.put(key, token, sinceUs, answer);
      return true;
    }
    if (existing.token !== token && (existing.answer || !answer)) return false;
    existing.sinceUs = Math.min(existing.sinceUs, sinceUs);
    const isNew = answer && (!existing.answer || (answer.body && !existing.answer.body));
    if (!isNew) return false;
    this.put(key, token, existing.sinceUs, answer);
    return true;
  };

  private readonly appendRow = ({ key, token, answer }: KeyRow) =>
    this.segments.append(
      answer
        ? { kind: KEY_RECORD.complete, key, token, ...answer }
        : { kind: KEY_RECORD.claim, key, token },
    );

  /**
   * Replays a record found on disk. Its age counts from now, since it is unknown how long the
   * process was down.
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
      this.put(key, token, nowUs, undefined);
    else if (record["kind"] === KEY_RECORD.release) this.deleteClaim(key, token);
    else if (record["kind"] === KEY_RECORD.complete) {
      const answer = readStoredResponse(record);
      if (answer) this.storeResponse(key, token, answer);
    }
  };
}
