/**
 * Which node relays updates to which: a tree below each controller, kept shallow and with few
 * children a relay.
 */

/** How many children a controller sends updates to itself, as long as none has lost its relay. */
export const FAN_OUT = 4;
/** How many it sends updates to at most: a node whose relay failed comes back to it first. */
const MAX_DIRECT_CHILDREN = 16;
/** How many children a relay has before those below it become relays too. */
const MAX_RELAY_CHILDREN = 8;
/** Above the cost of any relay that has room. */
const FULL_RELAY_COST = 1_000_000;

/** What the tree knows of a node that has a session with this controller. */
export interface RelayNode {
  readonly node: { readonly relay: string; readonly zone: string };
  /** The relay that sends this node updates; empty when the controller does so itself. */
  readonly parent: string;
}

/**
 * How far below the controller a node is; undefined if it is below the one that looks for a parent,
 * or below nobody.
 */
const depthBelow = <Node extends RelayNode>(
  node: Node,
  seeker: Node,
  byRelay: ReadonlyMap<string, Node>,
): number | undefined => {
  let at: Node | undefined = node;
  for (let depth = 0; at && at !== seeker && depth <= byRelay.size; depth += 1) {
    if (at.parent === "") return depth;
    at = byRelay.get(at.parent);
  }
  return undefined;
};

/** The shallowest relay that has room, and among those the one with the fewest children. */
const cheapestRelay = <Node extends RelayNode>(
  seeker: Node,
  nodes: readonly Node[],
  failedRelay: string,
  drainedZone: string,
): Node | undefined => {
  const children = new Map<string, number>();
  nodes.forEach(({ parent }) => children.set(parent, (children.get(parent) ?? 0) + 1));
  const byRelay = new Map(nodes.map((other) => [other.node.relay, other]));
  let best: Node | undefined;
  let bestCost = Infinity;
  nodes.forEach((other) => {
    const { relay, zone } = other.node;
    if (other === seeker || relay === failedRelay || zone === drainedZone) return;
    const depth = depthBelow(other, seeker, byRelay);
    if (depth === undefined) return;
    const count = children.get(relay) ?? 0;
    const cost =
      count < MAX_RELAY_CHILDREN ? depth * MAX_RELAY_CHILDREN + count : FULL_RELAY_COST + count;
    if (cost >= bestCost) return;
    best = other;
    bestCost = cost;
  });
  return best;
};

/**
 * The relay that a node is to get its updates from; empty where the controller sends them itself,
 * which it does while it has room.
 *
 * @param seeker - the node that needs a parent, one of `nodes`
 * @param nodes - all nodes with a session here, in the order in which they came
 * @param directChildren - how many nodes the controller sends updates to itself, without the seeker
 * @param failedRelay - the relay that the node has lost; empty where it has lost none
 * @param drainedZone - the zone whose nodes relay nothing; empty where there is none
 */
export const chooseParent = <Node extends RelayNode>(
  seeker: Node,
  nodes: readonly Node[],
  directChildren: number,
  failedRelay: string,
  drainedZone: string,
): string => {
  const best = cheapestRelay(seeker, nodes, failedRelay, drainedZone);
  const room = failedRelay === "" ? FAN_OUT : MAX_DIRECT_CHILDREN;
  return directChildren < room || !best ? "" : best.node.relay;
};
