/**
 * Decides the next table of a sharded service from its present one and its workers. Pure functions;
 * what is decided is in force only once it was committed.
 */
import { MAX_SHARD_KEY, sizeOf, type ShardRow, type ShardTable } from "./shard-table.js";

/** A worker that can own ranges. */
export interface ShardWorker {
  readonly id: string;
  /** Concurrent requests; the share of the keys is in proportion to it. */
  readonly capacity: number;
  /** Number of the last call known from it. */
  readonly callCount: number;
}

/** Facts about the rows of a table, known to the leader. */
export interface ReleaseState {
  /** Returns the handover token, or "" if there is none, of a row that its owner has released. */
  readonly releasedToken: (row: ShardRow) => string | undefined;
  /** Whether every lease on the row has surely expired. */
  readonly hasExpired: (row: ShardRow) => boolean;
}

/** At most this part of the workers takes over ranges from loaded ones at a time. */
const MAX_MOVING_SHARE = 0.1;

/** The first table: ranges in proportion to the capacities, in the order of the workers. */
export const planInitialTable = (workers: readonly ShardWorker[]): ShardTable => {
  const total = workers.reduce((sum, { capacity }) => sum + capacity, 0);
  let before = 0;
  return workers.flatMap(({ id, capacity, callCount }): ShardRow[] => {
    const from = Math.round((before / total) * (MAX_SHARD_KEY + 1));
    before += capacity;
    const to = Math.round((before / total) * (MAX_SHARD_KEY + 1)) - 1;
    const row = { from, to, worker: id, fence: 1, handover: "", isReleasing: false, next: "" };
    return to < from ? [] : [{ ...row, assignedAtCall: callCount }];
  });
};

/** Keys owned, or about to be, in relation to the capacity. */
class OwnedKeys {
  private readonly keys = new Map<string, number>();

  constructor(
    table: ShardTable,
    private readonly workers: ReadonlyMap<string, ShardWorker>,
  ) {
    workers.forEach(({ id }) => this.keys.set(id, 0));
    table.forEach((row) => this.add(row.isReleasing ? row.next : row.worker, sizeOf(row)));
  }

  readonly add = (worker: string, keys: number): void => {
    const owned = this.keys.get(worker);
    if (owned !== undefined) this.keys.set(worker, owned + keys);
  };

  readonly of = (worker: string): number => this.keys.get(worker) ?? 0;

  readonly loadOf = (worker: string): number =>
    this.of(worker) / Math.max(1, this.workers.get(worker)?.capacity ?? 1);

  readonly leastLoaded = (): string | undefined =>
    [...this.keys.keys()].reduce<string | undefined>(
      (least, id) => (least === undefined || this.loadOf(id) < this.loadOf(least) ? id : least),
      undefined,
    );
}

const toWorkerMap = (workers: readonly ShardWorker[]): ReadonlyMap<string, ShardWorker> =>
  new Map(workers.map((worker) => [worker.id, worker]));

/** Rows of workers that can own none any more have to be released. */
const releaseFromLeaving = (
  table: ShardTable,
  workers: ReadonlyMap<string, ShardWorker>,
): ShardTable =>
  table.map((row) =>
    row.isReleasing || workers.has(row.worker) ? row : { ...row, isReleasing: true, next: "" },
  );

/** Rows that were released, or whose leases have expired, get their next owner. */
const reassignReleased = (
  table: ShardTable,
  workers: ReadonlyMap<string, ShardWorker>,
  state: ReleaseState,
): ShardTable => {
  const owned = new OwnedKeys(table, workers);
  return table.map((row) => {
    if (!row.isReleasing) return row;
    const handover = state.releasedToken(row);
    if (handover === undefined && !state.hasExpired(row)) return row;
    const isNextKnown = workers.has(row.next);
    const worker = workers.get(isNextKnown ? row.next : (owned.leastLoaded() ?? ""));
    if (!worker) return row;
    if (!isNextKnown) owned.add(worker.id, sizeOf(row));
    return {
      from: row.from,
      to: row.to,
      worker: worker.id,
      fence: row.fence + 1,
      handover: handover ?? "",
      isReleasing: false,
      next: "",
      assignedAtCall: worker.callCount,
    };
  });
};

/** Splits off the upper half of a row for another worker. */
const splitFor = (row: ShardRow, next: string): readonly ShardRow[] => {
  const middle = row.from + Math.ceil(sizeOf(row) / 2);
  return [
    { ...row, to: middle - 1 },
    { ...row, from: middle, isReleasing: true, next },
  ];
};

/** A settled row of the worker with the most keys, if that is more than its share. */
const findOverloadedRow = (table: ShardTable, owned: OwnedKeys, meanLoad: number) =>
  table
    .filter((row) => !row.isReleasing && sizeOf(row) > 1 && owned.loadOf(row.worker) > meanLoad)
    .reduce<ShardRow | undefined>(
      (largest, row) =>
        !largest || owned.loadOf(row.worker) > owned.loadOf(largest.worker) ? row : largest,
      undefined,
    );

/** Workers without keys take over half a range of the most loaded ones, a few at a time. */
const rebalance = (table: ShardTable, workers: ReadonlyMap<string, ShardWorker>): ShardTable => {
  const owned = new OwnedKeys(table, workers);
  const maxMoving = Math.max(1, Math.floor(workers.size * MAX_MOVING_SHARE));
  const moving = table.filter((row) => row.isReleasing && row.next !== "").length;
  const capacity = [...workers.values()].reduce((sum, worker) => sum + worker.capacity, 0);
  const meanLoad = (MAX_SHARD_KEY + 1) / Math.max(1, capacity);
  const idle = [...workers.keys()].filter((id) => owned.of(id) === 0);
  let next = table;
  for (const id of idle.slice(0, Math.max(0, maxMoving - moving))) {
    const row = findOverloadedRow(next, owned, meanLoad);
    if (!row) break;
    const parts = splitFor(row, id);
    owned.add(row.worker, -sizeOf(parts[1] ?? row));
    owned.add(id, sizeOf(parts[1] ?? row));
    next = next.flatMap((other) => (other === row ? parts : [other]));
  }
  return next;
};

/** Joins neighbouring rows that are equal in all but their range. */
const mergeNeighbours = (table: ShardTable): ShardTable =>
  table.reduce<readonly ShardRow[]>((merged, row) => {
    const last = merged.at(-1);
    const isJoined =
      last !== undefined &&
      !last.isReleasing &&
      !row.isReleasing &&
      last.worker === row.worker &&
      last.fence === row.fence &&
      last.handover === row.handover &&
      last.assignedAtCall === row.assignedAtCall;
    return isJoined ? [...merged.slice(0, -1), { ...last, to: row.to }] : [...merged, row];
  }, []);

/**
 * Returns the next table; the same one if nothing changes.
 *
 * @param workers - the workers that are ready
 */
export const planNextTable = (
  table: ShardTable,
  workers: readonly ShardWorker[],
  state: ReleaseState,
): ShardTable => {
  if (workers.length === 0) return table;
  if (table.length === 0) return planInitialTable(workers);
  const byId = toWorkerMap(workers);
  const released = releaseFromLeaving(table, byId);
  return mergeNeighbours(rebalance(reassignReleased(released, byId, state), byId));
};
