/**
 * Deterministic subsetting by rendezvous hashing (highest random weight; Thaler and Ravishankar
 * 1998): selects the workers of a service to which a node sends requests. docs/design.md explains
 * the sizes.
 */
import { rendezvousWeight } from "../common/rendezvous.js";

/** The properties of a worker that subsetting uses. */
export interface SubsetCandidate {
  readonly id: string;
  readonly zone: string;
}

/** The number of nodes, including the local one. */
export interface NodeCount {
  readonly inZone: number;
  /** In all zones. */
  readonly total: number;
}

/** The workers of one service to which a node sends requests. Each list is ordered by rank. */
export interface Subset<W extends SubsetCandidate> {
  /** Workers in the node's zone. */
  readonly local: readonly W[];
  /** Workers in other zones. */
  readonly remote: readonly W[];
  /**
   * The next workers in rank of both lists, used while the preceding ones are unhealthy or busy.
   */
  readonly backup: readonly W[];
  /** Average number of nodes in the zone that send requests to one local worker. */
  readonly nodesPerWorker: number;
}

/** Up to this number of workers, every node uses all of them. */
const MAX_WORKERS_WITHOUT_SUBSETTING = 16;
/** With fewer local workers than this, a single unhealthy worker would have a noticeable effect. */
const MIN_LOCAL_WORKERS = 6;
/**
 * Target number of nodes in the zone whose subsets contain a given worker, so that differences in
 * their traffic even out.
 */
const NODES_PER_WORKER = 8;
const REMOTE_WORKERS = 3;
const BACKUP_WORKERS = 8;

/** Rounds up to a power of two, so that adding or removing one node rarely changes a subset. */
const roundUpToPowerOfTwo = (count: number): number =>
  2 ** Math.ceil(Math.log2(Math.max(1, count)));

/**
 * Selects the workers of one service to which a node sends requests. The result is a pure function
 * of the node, its zone, the ready workers and the rounded number of nodes. Small subsets limit the
 * number of connections, and keep a node's load information current: with hundreds of workers, a
 * reported load would be outdated by the time the worker is considered again. Invariants: the sizes
 * of `local` and `remote` are bounded by what an even load requires, regardless of the number of
 * workers, as long as the number of nodes grows with it; adding or removing a worker changes at
 * most one entry of each list; a small set of workers is used in full.
 */
export const subsetOf = <W extends SubsetCandidate>(
  node: string,
  zone: string,
  workers: readonly W[],
  nodes: NodeCount,
): Subset<W> => {
  const ranked = workers
    .map((worker) => ({ worker, weight: rendezvousWeight(node, worker.id) }))
    .sort((a, b) => b.weight - a.weight || (a.worker.id < b.worker.id ? -1 : 1));
  const inZone = ranked.filter(({ worker }) => worker.zone === zone).map(({ worker }) => worker);
  const others = ranked.filter(({ worker }) => worker.zone !== zone).map(({ worker }) => worker);
  if (workers.length <= MAX_WORKERS_WITHOUT_SUBSETTING)
    return { local: inZone, remote: others, backup: [], nodesPerWorker: nodes.inZone };
  const local = inZone.slice(
    0,
    Math.max(
      MIN_LOCAL_WORKERS,
      Math.ceil((NODES_PER_WORKER * inZone.length) / roundUpToPowerOfTwo(nodes.inZone)),
    ),
  );
  // A zone with few workers fills up its minimum with remote workers.
  const remote = others.slice(0, REMOTE_WORKERS + Math.max(0, MIN_LOCAL_WORKERS - local.length));
  return {
    local,
    remote,
    backup: [
      ...inZone.slice(local.length, local.length + BACKUP_WORKERS),
      ...others.slice(remote.length, remote.length + BACKUP_WORKERS),
    ],
    nodesPerWorker: (nodes.inZone * local.length) / Math.max(1, inZone.length),
  };
};
