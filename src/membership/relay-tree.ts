/**
 * Selects which node relays updates to which; the relays form a tree below each controller. If link
 * bandwidths are known, a node gets the parent that delivers a large update to it soonest.
 * Otherwise the tree is kept shallow, with few children per relay.
 */

/** Number of direct children of a controller whose link bandwidth is unknown. */
export const FAN_OUT = 4;
/**
 * Maximum number of direct children of such a controller when a node's relay has failed; that node
 * then takes precedence over the usual limit.
 */
const MAX_CHILDREN_AFTER_FAILURE = 16;
/** Maximum number of children of a relay before its children become relays too. */
const MAX_RELAY_CHILDREN = 8;
/** Exceeds the cost of any relay that has room. */
const FULL_RELAY_COST = 1_000_000;
/**
 * Maximum number of children of a controller or relay if link bandwidths are known. Each child
 * costs one write per update, however small.
 */
const MAX_CHILDREN = 64;
/** Update size that the tree is optimized for, in megabits on the wire: about 2,000 routes. */
const LARGE_UPDATE_MEGABITS = 0.4;
/** Time that a relay needs to read a large update and forward it, in seconds. */
const RELAY_DELAY_S = 0.2;
/** Bandwidth assumed for a node that does not report its link, as older versions do not. */
const UNKNOWN_LINK_MBPS = 1;

/** A node that has a session with this controller. */
export interface RelayNode {
  readonly node: { readonly relay: string; readonly zone: string; readonly linkMbps: number };
  /** The relay that sends this node updates; empty if the controller sends them directly. */
  readonly parent: string;
}

/** The controller at the root of the tree. */
export interface RelayRoot {
  /** Number of nodes that it sends updates to directly, excluding the one that needs a parent. */
  readonly directChildren: number;
  /** Bandwidth of its link; 0 if unknown. */
  readonly linkMbps: number;
}

/** Input of {@link chooseParent}. */
export interface ParentSearch<Node extends RelayNode> {
  /** The node that needs a parent, one of `nodes`. */
  readonly child: Node;
  /** All nodes with a session here, in order of arrival. */
  readonly nodes: readonly Node[];
  readonly controller: RelayRoot;
  /** The relay that failed the node; empty if none failed. */
  readonly failedRelay: string;
  /** The zone whose nodes must not relay; empty if there is none. */
  readonly drainedZone: string;
}

/** The current tree: nodes by relay address, and the number of children by relay address. */
interface RelayTree<Node> {
  readonly byRelay: ReadonlyMap<string, Node>;
  readonly childCounts: ReadonlyMap<string, number>;
}

const treeOf = <Node extends RelayNode>(nodes: readonly Node[]): RelayTree<Node> => {
  const childCounts = new Map<string, number>();
  nodes.forEach(({ parent }) => childCounts.set(parent, (childCounts.get(parent) ?? 0) + 1));
  return { byRelay: new Map(nodes.map((other) => [other.node.relay, other])), childCounts };
};

/**
 * The path from a node up to the controller, starting with the node itself; undefined if the node
 * is `child` or below it, or has no path to the controller.
 */
const pathTo = <Node extends RelayNode>(
  node: Node,
  child: Node,
  { byRelay }: RelayTree<Node>,
): readonly Node[] | undefined => {
  const path: Node[] = [];
  for (
    let current: Node | undefined = node;
    current && current !== child;
    current = byRelay.get(current.parent)
  ) {
    path.push(current);
    if (current.parent === "") return path;
    if (path.length > byRelay.size) return undefined;
  }
  return undefined;
};

const sendTimeS = (linkMbps: number, children: number): number =>
  (children * LARGE_UPDATE_MEGABITS) / (linkMbps > 0 ? linkMbps : UNKNOWN_LINK_MBPS);

/**
 * Time in seconds until a large update reaches the last child of a relay, with one child added to
 * it. Relays forward a large update while they receive it, so only the longest send on the path
 * counts, plus a delay per relay. A full relay costs more than any relay that has room.
 */
const costByLinks = <Node extends RelayNode>(
  path: readonly Node[],
  { childCounts }: RelayTree<Node>,
): number => {
  const sendTimesS = path.map(({ node }, index) => {
    const children = (childCounts.get(node.relay) ?? 0) + (index === 0 ? 1 : 0);
    return sendTimeS(node.linkMbps, children);
  });
  const isFull = (childCounts.get(path[0]?.node.relay ?? "") ?? 0) >= MAX_CHILDREN;
  return RELAY_DELAY_S * path.length + Math.max(...sendTimesS) + (isFull ? FULL_RELAY_COST : 0);
};

/** Prefers the shallowest relay that has room; among equal depths the one with fewest children. */
const costByCount = (depth: number, children: number): number =>
  children < MAX_RELAY_CHILDREN
    ? depth * MAX_RELAY_CHILDREN + children
    : FULL_RELAY_COST + children;

interface Candidate {
  readonly relay: string;
  readonly cost: number;
}

const cheapestRelay = <Node extends RelayNode>(
  { child, nodes, controller, failedRelay, drainedZone }: ParentSearch<Node>,
  tree: RelayTree<Node>,
): Candidate | undefined => {
  let best: Candidate | undefined;
  nodes.forEach((other) => {
    const { relay, zone } = other.node;
    if (other === child || relay === failedRelay || zone === drainedZone) return;
    const path = pathTo(other, child, tree);
    if (!path) return;
    const children = tree.childCounts.get(relay) ?? 0;
    const cost =
      controller.linkMbps > 0 ? costByLinks(path, tree) : costByCount(path.length - 1, children);
    if (!best || cost < best.cost) best = { relay, cost };
  });
  return best;
};

const canAddDirectChild = (
  { directChildren, linkMbps }: RelayRoot,
  failedRelay: string,
  best: Candidate,
): boolean => {
  if (linkMbps > 0)
    return directChildren < MAX_CHILDREN && sendTimeS(linkMbps, directChildren + 1) <= best.cost;
  return directChildren < (failedRelay === "" ? FAN_OUT : MAX_CHILDREN_AFTER_FAILURE);
};

/** The relay from which a node gets its updates; empty if the controller sends them directly. */
export const chooseParent = <Node extends RelayNode>(search: ParentSearch<Node>): string => {
  const best = cheapestRelay(search, treeOf(search.nodes));
  return !best || canAddDirectChild(search.controller, search.failedRelay, best) ? "" : best.relay;
};
