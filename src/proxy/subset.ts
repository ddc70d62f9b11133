/**
 * Deterministic subsetting by rendezvous hashing (highest random weight; Thaler and Ravishankar
 * 1998): which of a service's workers a node sends to. docs/design.md gives the reasons for the
 * sizes.
 */
import { crc32 } from "node:zlib";

/** A worker as subsetting sees it. */
export interface SubsetCandidate {
  readonly id: string;
  readonly zone: string;
}

/** How many nodes there are; the node itself included. */
export interface NodeCount {
  readonly inZone: number;
  /** In all zones. */
  readonly total: number;
}

/** The workers of one service that a node sends to, each list in the order of rank. */
export interface Subset<W extends SubsetCandidate> {
  /** Workers of the node's own zone. */
  readonly local: readonly W[];
  /** Workers of other zones. */
  readonly remote: readonly W[];
  /** The next in rank of both, used while those before are unhealthy or busy. */
  readonly backup: readonly W[];
  /** How many nodes of the zone send to one local worker, on average. */
  readonly nodesPerWorker: number;
}

/** Up to this number of workers every node sends to all of them. */
const MAX_WORKERS_WITHOUT_SUBSETTING = 16;
/** With fewer local workers than this, a single unhealthy one would be felt. */
const MIN_LOCAL_WORKERS = 6;
/**
 * Each worker is to be in the subset of this many nodes of its zone, so that their uneven traffic
 * evens out.
 */
const NODES_PER_WORKER = 8;
const REMOTE_WORKERS = 3;
const BACKUP_WORKERS = 8;

/**
 * The finalizer of MurmurHash3: crc32 alone ranks ids that differ in one digit alike for many
 * nodes.
 */
const murmurFinalizer = (value: number): number => {
  const once = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  const twice = Math.imul(once ^ (once >>> 13), 0xc2b2ae35);
  return (twice ^ (twice >>> 16)) >>> 0;
};

/**
 * The rendezvous weight of a worker for a node: a pair's weight doesn't depend on who else is
 * there.
 */
const rendezvousWeight = (node: string, worker: string): number =>
  murmurFinalizer(crc32(`${node}\n${worker}`));

/** Rounds up to a power of two, so that one node more or less rarely changes a subset. */
const roundUpToPowerOfTwo = (count: number): number =>
  2 ** Math.ceil(Math.log2(Math.max(1, count)));

/**
 * The workers of one service that a node sends to: a pure function of the node, its zone, the ready
 * workers and the rounded number of nodes. Small subsets keep connections few, and keep a node's
 * knowledge of its workers' load new: with hundreds of workers, a reported load would be long
 * outdated when that worker is next looked at. Invariants: `local` and `remote` are bounded by what
 * even load needs, whatever the number of workers, as long as the nodes grow with them; a worker
 * that comes or goes changes at most one place of each; where there are few workers, all of them
 * are in it.
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
  // A zone with few workers takes the rest of its minimum from elsewhere.
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
