/** The owners of the keys of sharded services, kept up to date by updates. */
import { asList, asNumber, asString, readList } from "../common/decode.js";
import { SHARDS_PREFIX, type Update } from "../membership/update-store.js";
import { findRow, MAX_SHARD_KEY } from "../sharding/shard-table.js";

/** The owner of the keys from one on, up to the next entry. */
interface ShardOwner {
  readonly from: number;
  readonly worker: string;
}

const readOwner = (value: unknown): ShardOwner => {
  const [from, worker] = asList(value, "owner");
  return { from: asNumber(from), worker: asString(worker) };
};

/** Parses the shard key of a request; undefined if it is not a whole number in range. */
export const parseShardKey = (value: unknown): number | undefined => {
  const key = typeof value === "string" && /^\d{1,5}$/.test(value) ? Number(value) : Number.NaN;
  return key <= MAX_SHARD_KEY ? key : undefined;
};

/** Finds the worker that owns a key. */
export class ShardDirectory {
  private readonly owners = new Map<string, readonly ShardOwner[]>();

  /** Returns the id of the worker that owns the key of a service; undefined if none is known. */
  readonly ownerOf = (service: string, key: number): string | undefined =>
    findRow(this.owners.get(service) ?? [], key)?.worker;

  /** Applies updates of owners; other updates are ignored. */
  readonly applyUpdates = (updates: readonly Update[]): void =>
    updates
      .filter(({ key }) => key.startsWith(SHARDS_PREFIX))
      .forEach(({ key, body }) => {
        this.owners.set(key.slice(SHARDS_PREFIX.length), readList(body, "owners", readOwner));
      });
}
