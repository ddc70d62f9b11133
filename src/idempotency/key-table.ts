import type { Clock } from "../common/clock.js";
import {
  asRecord,
  isRecord,
  readList,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import { SegmentLog } from "../storage/segment-log.js";

/** What the first run of a key was answered with. Without a body it is kept elsewhere, or was too large to keep. */
export interface StoredResponse {
  readonly status: number;
  readonly heads: readonly string[];
  readonly body: Uint8Array | undefined;
}

interface Entry {
  readonly token: string;
  readonly sinceUs: number;
  answer: StoredResponse | undefined;
}

export interface Purge {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly label: string;
}

export type TableClaimResult = "taken" | "other" | "full";

export interface IdempotencyKeyTableOptions {
  readonly folder: string;
  readonly clock: Clock;
  readonly keyWindowUs: number;
  readonly diskBytes: number;
}

/** How much longer than the window a claim is kept, for all that clocks and hops may add. */
const MARGIN_PART = 0.1;
const MARGIN_US = 5 * SECOND_US;
const ROOM_PART = 0.7;
export const PURGE_RETENTION_US = 60 * SECOND_US;

export const readStoredResponse = (value: unknown): StoredResponse | undefined => {
  if (!isRecord(value)) return undefined;
  const body = value["body"];
  return {
    status: readNumber(value, "status"),
    heads: readList(value, "heads", asString),
    body: body instanceof Uint8Array ? body : undefined,
  };
};

export const readPurge = (value: unknown): Purge => {
  const record = asRecord(value, "purge");
  return {
    id: readString(record, "id"),
    host: readString(record, "host"),
    path: readString(record, "path"),
    label: readString(record, "label"),
  };
};

/**
 * One signalbox's own copy of the operation keys and of the purges, safe on its disk.
 * Invariants: a key has one token at a time, and another is taken only after that one was freed or its time is over;
 * a token is freed only by who took it, and only if it has not run; what is said to be taken is synced.
 */
export class IdempotencyKeyTable {
  private readonly entries = new Map<string, Entry>();
  private readonly held = new Map<string, { readonly purge: Purge; readonly sinceUs: number }>();
  private readonly segments: SegmentLog;
  /** Invariant: true exactly if this copy holds all that it must; each segment begins with how that was then. */
  private hasBegun = false;
  private readonly keepUs: number;

  constructor(private readonly options: IdempotencyKeyTableOptions) {
    this.keepUs = options.keyWindowUs * (1 + MARGIN_PART) + MARGIN_US;
    this.segments = new SegmentLog({
      folder: options.folder,
      clock: options.clock,
      retentionUs: Math.max(this.keepUs, PURGE_RETENTION_US),
      maxBytes: options.diskBytes * ROOM_PART,
      makeHeader: () => ({ kind: this.hasBegun ? "begun" : "unbegun" }),
    });
  }

  get size(): number {
    return this.entries.size;
  }

  get sizeBytes(): number {
    return this.segments.sizeBytes;
  }

  /** False where no log was found, or one that never held all it must: what it once held may be lost. */
  readonly load = async (): Promise<boolean> => {
    const records = await this.segments.load();
    records?.forEach((record) => this.replay(asRecord(record)));
    return this.hasBegun;
  };

  /** Leaves a mark on the disk, so that a later start knows that nothing was lost. */
  readonly markInitialized = async (): Promise<boolean> => {
    this.hasBegun = (await this.segments.append({ kind: "begun" })).isOk;
    return this.hasBegun;
  };

  readonly close = (): Promise<void> => this.segments.close();

  readonly findResponse = (key: string): StoredResponse | undefined => this.entry(key)?.answer;

  readonly findToken = (key: string): string | undefined => this.entry(key)?.token;

  readonly claim = async (key: string, token: string): Promise<TableClaimResult> => {
    const before = this.entry(key);
    if (before && before.token !== token) return "other";
    if (before) return (await this.segments.flush()).isOk ? "taken" : "full";
    if (this.segments.isNearlyFull) return "full";
    this.entries.set(key, { token, sinceUs: this.options.clock.nowUs(), answer: undefined });
    const kept = await this.segments.append({ kind: "claim", key, token });
    if (kept.isErr) this.forget(key, token);
    return kept.isOk ? "taken" : "full";
  };

  readonly release = (key: string, token: string): void => {
    if (this.forget(key, token)) void this.segments.append({ kind: "free", key, token });
  };

  /** Keeps the answer of the key's run; false if another token has the key, or the disk refuses. */
  readonly complete = async (
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> => {
    const before = this.entry(key);
    if (before && before.token !== token) return false;
    this.take(key, token, answer);
    return (await this.segments.append({ kind: "done", key, token, ...answer })).isOk;
  };

  readonly addPurge = async (purge: Purge): Promise<boolean> => {
    if (this.held.has(purge.id)) return (await this.segments.flush()).isOk;
    this.held.set(purge.id, { purge, sinceUs: this.options.clock.nowUs() });
    return (await this.segments.append({ kind: "purge", ...purge })).isOk;
  };

  readonly purges = (): readonly Purge[] => [...this.held.values()].map(({ purge }) => purge);

  readonly hasPurge = (id: string): boolean => this.held.has(id);

  /** Everything but the bodies, for a copy that lost its own. */
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

  /** Takes what a colleague packed; what is held here already stays. */
  readonly merge = async (packed: UnknownRecord): Promise<boolean> => {
    const nowUs = this.options.clock.nowUs();
    const kept = readList(packed, "keys", asRecord).flatMap((row) => {
      const key = readString(row, "key");
      const token = readString(row, "token");
      const answer = readStoredResponse(row["answer"]);
      const before = this.entry(key);
      if (before && (before.token !== token || before.answer || !answer)) return [];
      this.entries.set(key, {
        token,
        sinceUs: before?.sinceUs ?? nowUs - readNumber(row, "ageUs"),
        answer,
      });
      return [
        this.segments.append(
          answer ? { kind: "done", key, token, ...answer } : { kind: "claim", key, token },
        ),
      ];
    });
    const noted = readList(packed, "purges", readPurge).map((purge) => this.addPurge(purge));
    return (
      (await Promise.all(kept)).every((result) => result.isOk) &&
      (await Promise.all(noted)).every((done) => done)
    );
  };

  /** Forgets what is over; entries lie in the order they came. Returns the purges forgotten. */
  readonly removeExpired = (): readonly string[] => {
    const nowUs = this.options.clock.nowUs();
    for (const [key, entry] of this.entries) {
      if (nowUs - entry.sinceUs <= this.keepUs) break;
      this.entries.delete(key);
    }
    const old = [...this.held]
      .filter(([, { sinceUs }]) => nowUs - sinceUs > PURGE_RETENTION_US)
      .map(([id]) => id);
    old.forEach((id) => this.held.delete(id));
    return old;
  };

  private readonly entry = (key: string): Entry | undefined => {
    const entry = this.entries.get(key);
    return entry && this.options.clock.nowUs() - entry.sinceUs <= this.keepUs ? entry : undefined;
  };

  private readonly forget = (key: string, token: string): boolean => {
    const entry = this.entries.get(key);
    return entry?.token === token && entry.answer === undefined && this.entries.delete(key);
  };

  private readonly take = (key: string, token: string, answer: StoredResponse): void => {
    const before = this.entry(key);
    if (before) before.answer = answer;
    else this.entries.set(key, { token, sinceUs: this.options.clock.nowUs(), answer });
  };

  /** A record found on disk; its time counts from now on, since how long the process was gone isn't known. */
  private readonly replay = (record: UnknownRecord): void => {
    const nowUs = this.options.clock.nowUs();
    if (record["kind"] === "purge") {
      const purge = readPurge(record);
      this.held.set(purge.id, { purge, sinceUs: nowUs });
    }
    if (record["kind"] === "begun" || record["kind"] === "unbegun")
      this.hasBegun = record["kind"] === "begun";
    if (typeof record["key"] !== "string") return;
    const key = readString(record, "key");
    const token = readString(record, "token");
    if (record["kind"] === "claim" && !this.entries.has(key))
      this.entries.set(key, { token, sinceUs: nowUs, answer: undefined });
    else if (record["kind"] === "free") this.forget(key, token);
    else if (record["kind"] === "done") {
      const answer = readStoredResponse(record);
      if (answer) this.take(key, token, answer);
    }
  };
}
