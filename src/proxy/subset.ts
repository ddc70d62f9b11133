import { crc32 } from "node:zlib";

/** A worker as subsetting sees it. */
export interface SubsetCandidate {
  readonly id: string;
  readonly zone: string;
}

/** How many nodes there are in a node's cell, and in all; itself included. */
export interface NodeCount {
  readonly inZone: number;
  readonly total: number;
}

export interface Subset<W extends SubsetCandidate> {
  /** Workers of the node's own cell, the first in rank first. */
  readonly local: readonly W[];
  /** Workers of other cells. */
  readonly remote: readonly W[];
  /** The next in rank of both, used while those before are ill or busy. */
  readonly backup: readonly W[];
  /** How many nodes send to one near worker, on average. */
  readonly nodesPerWorker: number;
}

/** Up to so many workers a service is used whole by every node. */
const FEW = 16;
/** The least part of a subset in the own cell: with fewer, one worker that is ill is felt. */
const NEAR_LEAST = 6;
/** Each worker is to be held by so many nodes of its cell, so that their uneven traffic evens out at it. */
const HOLDERS = 8;
const FAR = 3;
const SPARE = 8;

/** Mixes what crc32 leaves alike: ids that differ in one digit only would else rank alike for many nodes. */
const mix = (value: number): number => {
  const once = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  const twice = Math.imul(once ^ (once >>> 13), 0xc2b2ae35);
  return (twice ^ (twice >>> 16)) >>> 0;
};

/** How much a node wants a worker (rendezvous hashing): whoever comes or goes moves no other pair. */
const rankOf = (node: string, worker: string): number => mix(crc32(`${node}\n${worker}`));

/** A count between two powers of two stands for the upper one, so that a node more or less changes no subset. */
const roundUp = (count: number): number => 2 ** Math.ceil(Math.log2(Math.max(1, count)));

/**
 * The workers of one service that a node sends to: a pure function of the node, its cell, the ready workers and the
 * rounded count of nodes. Small subsets keep connections few, and let each node know its workers' usage: with all of
 * hundreds, what an answer told of a worker is long old when that worker is next looked at.
 * Invariants: `near` and `far` are bounded by what evenness needs, whatever the number of workers, as long as nodes
 * grow with them; a worker that comes or goes changes at most one place of each; all workers where there are few.
 */
export const subsetOf = <W extends SubsetCandidate>(
  node: string,
  zone: string,
  workers: readonly W[],
  nodes: NodeCount,
): Subset<W> => {
  const ranked = workers
    .map((worker) => ({ worker, rank: rankOf(node, worker.id) }))
    .sort((a, b) => b.rank - a.rank || (a.worker.id < b.worker.id ? -1 : 1));
  const own = ranked.filter(({ worker }) => worker.zone === zone).map(({ worker }) => worker);
  const others = ranked.filter(({ worker }) => worker.zone !== zone).map(({ worker }) => worker);
  if (workers.length <= FEW)
    return { local: own, remote: others, backup: [], nodesPerWorker: nodes.inZone };
  const near = own.slice(
    0,
    Math.max(NEAR_LEAST, Math.ceil((HOLDERS * own.length) / roundUp(nodes.inZone))),
  );
  // A cell with few workers of its own takes the rest of its share from elsewhere.
  const far = others.slice(0, FAR + Math.max(0, NEAR_LEAST - near.length));
  return {
    local: near,
    remote: far,
    backup: [
      ...own.slice(near.length, near.length + SPARE),
      ...others.slice(far.length, far.length + SPARE),
    ],
    nodesPerWorker: (nodes.inZone * near.length) / Math.max(1, own.length),
  };
};
