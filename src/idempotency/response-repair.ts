/**
 * Repair of response bodies: copies to this replica the bodies that it must hold and lacks, because
 * its disk was lost, it was down when they were stored, or the voter set has changed.
 */
import { Batcher } from "../common/batcher.js";
import { asString, readList } from "../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { messageOf } from "../common/errors.js";
import type { Logger } from "../common/logger.js";
import type { Clock } from "../common/clock.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packListResponses,
  readKeyRow,
  readPageEnd,
  TABLE_START,
  type TablePosition,
} from "./key-codec.js";
import { PAGE_BYTES } from "./key-table-source.js";
import type { IdempotencyKeyTable } from "./key-table.js";
import { targetMembers } from "./response-placement.js";
import { REPAIR_TIMEOUT_US } from "./timeouts.js";
import { TransferRate, transferBytesPerS } from "./transfer-rate.js";

/** Dependencies of {@link ResponseRepair}. */
export interface ResponseRepairOptions {
  readonly self: string;
  readonly table: IdempotencyKeyTable;
  readonly store: ReplicatedStore;
  readonly clock: Clock;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly isConnected: (id: string) => boolean;
  /** Rate of this machine's link; 0 if unknown. */
  readonly linkMbps: number;
  readonly logger: Logger;
}

/** Maximum number of responses requested at once. */
const MAX_REQUESTED_KEYS = 32;
/** Period of rounds while members are unread or bodies are missing. */
const ACTIVE_PERIOD_US = 300 * MILLISECOND_US;
const IDLE_PERIOD_US = 1 * SECOND_US;

/** What another member has that this replica lacks. */
interface Source {
  position: TablePosition;
  /** Keys whose bodies the member holds and this replica lacks, the latest response last. */
  readonly wanted: string[];
}

/**
 * Pulls missing bodies from the other members.
 *
 * Each round reads from every connected member the keys stored there since the last round, as far
 * as this replica must hold their bodies, and fetches the missing ones, the latest first. A failed
 * fetch makes the next round read everything anew; so does a change of the voter set. Invariant:
 * once a round has succeeded with a member, each body that the member held at its beginning and
 * that belongs here is durable here.
 */
export class ResponseRepair {
  private readonly sources = new Map<string, Source>();
  private readonly missing = new Set<string>();
  private readonly requested = new Set<string>();
  private readonly rate: TransferRate;
  private readonly rounds: Batcher<undefined, ReadonlySet<string>>;
  private mustReadAll = true;
  private voterSetNumber = 0;
  private nextRoundUs = 0;
  private copied = 0;

  constructor(private readonly options: ResponseRepairOptions) {
    this.rate = new TransferRate(options.clock, transferBytesPerS(options.linkMbps));
    this.rounds = new Batcher(() => this.runRound());
  }

  /** Number of bodies that this replica must hold and is known to lack. */
  get missingCount(): number {
    return this.missing.size;
  }

  /** Number of bodies copied to this replica since the start of the process. */
  get copiedCount(): number {
    return this.copied;
  }

  /** Runs a round that begins after the call. Returns the members with which it succeeded. */
  readonly run = (): Promise<ReadonlySet<string>> => this.rounds.add(undefined);

  /** Runs a round if one is due and none is running. */
  readonly runIfDue = (): void => {
    if (this.rounds.isIdle && this.options.clock.nowUs() >= this.nextRoundUs) void this.run();
  };

  private readonly runRound = async (): Promise<ReadonlySet<string>> => {
    const { self, store, clock, isConnected, logger } = this.options;
    const startedUs = clock.nowUs();
    const others = store.members().filter((id) => id !== self);
    const connected = store.isMember() ? others.filter(isConnected) : [];
    this.forgetIfNeeded();
    const copiedBefore = this.copied;
    const isCopied = await Promise.all(connected.map(this.copyFrom));
    const succeeded = new Set(connected.filter((_, at) => isCopied[at]));
    const isIdle = succeeded.size === others.length && this.missing.size === 0;
    this.nextRoundUs = clock.nowUs() + (isIdle ? IDLE_PERIOD_US : ACTIVE_PERIOD_US);
    if (this.copied > copiedBefore)
      logger.info("response bodies copied from other members", {
        copied: this.copied - copiedBefore,
        missing: this.missing.size,
        members: succeeded.size,
        durationUs: clock.nowUs() - startedUs,
      });
    return succeeded;
  };

  /** Makes this round read everything if the positions may no longer tell what is missing. */
  private readonly forgetIfNeeded = (): void => {
    const { number } = this.options.store.voterSet();
    if (!this.mustReadAll && number === this.voterSetNumber) return;
    this.voterSetNumber = number;
    this.mustReadAll = false;
    this.sources.clear();
    this.missing.clear();
    this.requested.clear();
  };

  /** Lists and fetches what a member has; false if it did not respond or the disk failed. */
  private readonly copyFrom = async (id: string): Promise<boolean> => {
    try {
      return (await this.listFrom(id)) && (await this.fetchFrom(id));
    } catch (error) {
      this.mustReadAll = true;
      this.options.logger.warn("response bodies could not be copied", {
        member: id,
        error: messageOf(error),
      });
      return false;
    }
  };

  /** Reads the keys that a member has stored since the last round; false if it does not respond. */
  private readonly listFrom = async (id: string): Promise<boolean> => {
    const { self, store, request, table } = this.options;
    const source = this.sources.get(id) ?? { position: TABLE_START, wanted: [] };
    this.sources.set(id, source);
    const members = targetMembers(store);
    for (;;) {
      const message = packListResponses({ position: source.position, holder: self, members });
      const reply = await request(id, message, REPAIR_TIMEOUT_US);
      if (!reply) return false;
      readList(reply, "keys", asString).forEach((key) => {
        if (table.findResponse(key)?.body) return;
        this.missing.add(key);
        source.wanted.push(key);
      });
      const end = readPageEnd(reply);
      source.position = end.position;
      if (end.isLast) return true;
    }
  };

  /** Fetches the wanted bodies of a member; false if it or the disk failed. */
  private readonly fetchFrom = async (id: string): Promise<boolean> => {
    const { request, table } = this.options;
    const wanted = this.sources.get(id)?.wanted ?? [];
    for (;;) {
      if (wanted.length > 0 && table.isNearlyFull) return false;
      const keys = this.takeKeys(wanted);
      if (keys.length === 0) return true;
      await this.rate.reserve(PAGE_BYTES);
      const reply = await request(id, { kind: KEY_MESSAGE.readResponses, keys }, REPAIR_TIMEOUT_US);
      if (!reply || !(await this.storePage(reply, keys, wanted))) {
        // Other members may have passed over these keys as requested.
        this.mustReadAll = true;
        return false;
      }
    }
  };

  /** Takes the latest keys that are still missing and not requested from another member. */
  private readonly takeKeys = (wanted: string[]): readonly string[] => {
    const keys: string[] = [];
    while (keys.length < MAX_REQUESTED_KEYS) {
      const key = wanted.pop();
      if (key === undefined) break;
      if (!this.missing.has(key) || this.requested.has(key)) continue;
      this.requested.add(key);
      keys.push(key);
    }
    return keys;
  };

  /** Stores the received responses, and wants again what the page had no room for. */
  private readonly storePage = async (
    reply: Message,
    keys: readonly string[],
    wanted: string[],
  ): Promise<boolean> => {
    const { table } = this.options;
    const rows = readList(reply, "keys", readKeyRow);
    const receivedBytes = rows.reduce((sum, { answer }) => sum + (answer?.body?.length ?? 0), 0);
    this.rate.giveBack(PAGE_BYTES - receivedBytes);
    if (!(await table.restore(rows))) return false;
    const settled = new Set([
      ...rows.map(({ key }) => key),
      ...readList(reply, "absent", asString),
    ]);
    settled.forEach((key) => this.missing.delete(key));
    this.copied += rows.length;
    keys.forEach((key) => this.requested.delete(key));
    wanted.push(...keys.filter((key) => !settled.has(key)).reverse());
    return true;
  };
}
