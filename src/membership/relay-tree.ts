/**
 * Which node relays updates to which: a tree below each controller. Where the rates of the links are
 * known, every node gets the parent that has a large update at it soonest; else the tree is kept
 * shallow and with few children a relay.
 */

/** How many children a controller whose link isn't known sends updates to itself. */
export const FAN_OUT = 4;
/** How many it sends updates to at most where a node's relay has failed: that one comes first. */
const MAX_CHILDREN_AFTER_FAILURE = 16;
/** How many children a relay has before those below it become relays too. */
const MAX_RELAY_CHILDREN = 8;
/** Above the cost of any relay that has room. */
const FULL_RELAY_COST = 1_000_000;
/**
 * How many children a controller or relay has at most where links are known: each costs it a write
 * for every update, however small.
 */
const MAX_CHILDREN = 64;
/** What the tree is laid out for: an update of some 2,000 routes, in megabits on the wire. */
const LARGE_UPDATE_MEGABITS = 0.4;
/** What a relay takes to read a large update and pass it on, in seconds. */
const RELAY_DELAY_S = 0.2;
/** Assumed of a node that doesn't give the rate of its link, as older versions don't. */
const UNKNOWN_LINK_MBPS = 1;

/** What the tree knows of a node that has a session with this controller. */
export interface RelayNode {
  readonly node: { readonly relay: string; readonly zone: string; readonly linkMbps: number };
  /** The relay that sends this node updates; empty when the controller does so itself. */
  readonly parent: string;
}

/** What the tree knows of the controller at its top. */
export interface RelayRoot {
  /** How many nodes it sends updates to itself, without the one that looks for a parent. */
  readonly directChildren: number;
  /** The rate of its link; 0 where it isn't known. */
  readonly linkMbps: number;
}

/** What a parent is chosen for, and among which. */
export interface ParentSearch<Node extends RelayNode> {
  /** The node that needs a parent, one of `nodes`. */
  readonly child: Node;
  /** All nodes with a session here, in the order in which they came. */
  readonly nodes: readonly Node[];
  readonly controller: RelayRoot;
  /** The relay that the node has lost; empty where it has lost none. */
  readonly failedRelay: string;
  /** The zone whose nodes relay nothing; empty where there is none. */
  readonly drainedZone: string;
}

/** The tree as it is: who relays, and to how many. */
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
 * The relays between the controller and a node, the node itself first; undefined if it is below the
 * one that looks for a parent, or below nobody.
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
 * How long a relay takes to have a large update at its last child, one more than now, in seconds.
 * Relays pass a large update on while it comes in, so of the sends on the path only the longest
 * counts, and beside it a delay for each relay. A relay without room costs more than any that has
 * some.
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

/** The shallowest relay that has room costs least, and among those the one with fewest children. */
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

/**
 * The relay that a node is to get its updates from; empty where the controller sends them itself.
 */
export const chooseParent = <Node extends RelayNode>(search: ParentSearch<Node>): string => {
  const best = cheapestRelay(search, treeOf(search.nodes));
  return !best || canAddDirectChild(search.controller, search.failedRelay, best) ? "" : best.relay;
};
