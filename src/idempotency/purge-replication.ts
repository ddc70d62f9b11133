/** Replication of purges over the voter set: a purge is stored at a quorum, and read from one. */
import { randomUUID } from "node:crypto";
import { readBoolean, readList } from "../common/decode.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packPurgeRow,
  readPurgeRow,
  readStored,
  type Purge,
  type PurgeRow,
} from "./key-codec.js";
import type { IdempotencyKeyTable } from "./key-table.js";
import type { ReadQuorum } from "./read-quorum.js";
import { CLAIM_TIMEOUT_US } from "./timeouts.js";

/** Dependencies of {@link PurgeReplication}. */
export interface PurgeReplicationOptions {
  readonly table: IdempotencyKeyTable;
  readonly store: ReplicatedStore;
  readonly readQuorum: ReadQuorum;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  /** Whether this replica counts in quorums. */
  readonly isVoting: () => boolean;
  /** Called for each purge that is new to this replica. */
  readonly onPurge: (purge: Purge) => void;
}

/** Stores purges at a quorum and reads them from one. */
export class PurgeReplication {
  constructor(private readonly options: PurgeReplicationOptions) {}

  /** Reports every purge of this replica to `onPurge`. */
  readonly publishAll = (): void =>
    this.options.table.purges().forEach((purge) => this.options.onPurge(purge));

  /** Makes a purge durable at a quorum; false if no quorum stored it in time. */
  readonly add = async (target: Omit<Purge, "id">): Promise<boolean> => {
    const { store } = this.options;
    const purge: Purge = { ...target, id: randomUUID() };
    const stored = await store.callQuorum(
      { kind: KEY_MESSAGE.addPurge, ...purge },
      readStored,
      () => this.addLocally({ purge, ageUs: 0 }),
      CLAIM_TIMEOUT_US,
    );
    return stored.isOk;
  };

  /**
   * Reads the purges stored by a read quorum; true if every purge acknowledged before the call is
   * now known here.
   */
  readonly read = async (): Promise<boolean> => {
    const { table, store, request, readQuorum } = this.options;
    const ids = table.purges().map(({ id }) => id);
    const merges: Promise<boolean>[] = [];
    const message = store.withVoterSet({ kind: KEY_MESSAGE.readPurges, ids });
    const read = await readQuorum.gather(async (id) => {
      const reply = await request(id, message, CLAIM_TIMEOUT_US);
      if (!reply || !readBoolean(reply, "counts")) return false;
      merges.push(...readList(reply, "purges", readPurgeRow).map(this.addLocally));
      return true;
    });
    await Promise.all(merges);
    return read;
  };

  /** Responds with the purges that the requester does not know. */
  readonly respond = (knownIds: readonly string[]): Message => {
    const known = new Set(knownIds);
    return {
      kind: KEY_MESSAGE.response,
      counts: this.options.isVoting(),
      purges: this.options.table
        .purgeRows()
        .filter(({ purge }) => !known.has(purge.id))
        .map(packPurgeRow),
    };
  };

  /** Stores a purge at this replica; true if it is durable and this replica counts. */
  readonly addLocally = async (row: PurgeRow): Promise<boolean> => {
    const { table, onPurge, isVoting } = this.options;
    const isNew = !table.hasPurge(row.purge.id);
    const stored = table.addPurge(row);
    if (isNew && table.hasPurge(row.purge.id)) onPurge(row.purge);
    return (await stored) && isVoting();
  };
}
