import Emittery from "emittery";
import { PendingRequests } from "../transport/pending-requests.js";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { readString } from "../common/decode.js";
import type { Message, Connection } from "../transport/connection.js";
import type {
  CacheAddress,
  ClusterNode,
  ClusterSize,
  ControllerAddress,
  NodeAnswer,
} from "./cluster.js";
import { MessageKind, packControllers, packNodes, readNode, readNodes } from "./messages.js";
import type { UpdatePublisher } from "./update-publisher.js";

interface Session {
  readonly node: ClusterNode;
  readonly connection: Connection;
  readonly pendingRequests: PendingRequests;
  /** The relay that feeds this node; empty when the signalbox feeds it itself. */
  parent: string;
}

/** How many children a signalbox feeds itself, as long as none has lost its relay. */
export const FAN_OUT = 4;
/** How many it feeds at most: one whose relay failed comes back to it first. */
const MAX_DIRECT_CHILDREN = 16;
/** Beyond any cost of a relay that has room. */
const FULL_RELAY_COST = 1_000_000;
/** How many children a relay feeds before those below it become relays too. */
const MAX_RELAY_CHILDREN = 8;

export interface NodeSessionsOptions {
  readonly clock: Clock;
  readonly publisher: UpdatePublisher;
  readonly log: Logger;
  /** Whether this signalbox may feed: it has a plan to give, and a majority was heard after the call. */
  readonly mayServe: () => Promise<boolean>;
  /** The cell that a planned window empties: it feeds nobody, and its signalbox serves its own nodes only. */
  readonly drainedZone: () => string;
  readonly zone: string;
  readonly controllers: () => readonly ControllerAddress[];
  /** Answers what a node asks over its session. */
  readonly answer: (message: Message, node: string) => Promise<Message>;
}

/**
 * The sessions of pointsmen with this signalbox, and those that colleagues tell of.
 * Invariant: a node is a member exactly while a session of it stands here or at a colleague whose link stands.
 */
export class NodeSessions {
  readonly events = new Emittery<{ report: Message; own: undefined; changed: undefined }>();
  private readonly sessions = new Map<string, Session>();
  private readonly peerNodes = new Map<string, readonly ClusterNode[]>();

  constructor(private readonly options: NodeSessionsOptions) {}

  readonly serve = async (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    const node = readNode(hello["node"]);
    if (!(await this.options.mayServe()) || this.isElsewhere(node)) {
      connection.send(packControllers(MessageKind.rejected, this.options.controllers()));
      return connection.finish();
    }
    if (connection.isClosed) return;
    const session: Session = {
      node,
      connection,
      pendingRequests: new PendingRequests(this.options.clock),
      parent: "",
    };
    this.sessions.get(node.name)?.connection.close();
    this.sessions.set(node.name, session);
    this.options.log.info(`${node.name} joined.`);
    connection.send(packControllers(MessageKind.welcome, this.options.controllers()));
    this.assign(session, "");
    void this.events.emit("own");
    for await (const message of incoming) {
      if (session.pendingRequests.settle(message)) continue;
      if (typeof message["ask"] === "number")
        void this.answerNode(session, message, message["ask"]);
      else if (message.kind === MessageKind.parentLost)
        this.assign(session, readString(message, "parent"));
      else void this.events.emit("report", { ...message, node: node.name });
    }
    this.options.publisher.removeChild(connection);
    session.pendingRequests.drop();
    if (this.sessions.get(node.name) !== session) return;
    this.sessions.delete(node.name);
    this.options.log.info(`${node.name} left.`);
    [...this.sessions.values()]
      .filter((other) => other.parent === node.relay)
      .forEach((other) => this.assign(other, node.relay));
    void this.events.emit("own");
  };

  /** Ends every session, so that the pointsmen look for a signalbox that has a majority. */
  readonly closeAll = (): void => this.sessions.forEach((session) => session.connection.close());

  /** Moves everybody off the relays and the signalbox of the emptied cell. */
  readonly leaveDrainedZone = (): void => {
    const emptied = this.options.drainedZone();
    this.sessions.forEach((session) => {
      if (this.isElsewhere(session.node)) session.connection.close();
      else if (
        session.node.zone !== emptied &&
        [...this.sessions.values()].some(
          ({ node }) => node.relay === session.parent && node.zone === emptied,
        )
      )
        this.assign(session, session.parent);
    });
  };

  readonly announceControllers = (): void =>
    this.sessions.forEach((session) =>
      session.connection.send(packControllers(MessageKind.controllers, this.options.controllers())),
    );

  /** Asks every node with a session here; who doesn't answer in time is named without an answer. */
  readonly askAll = (question: Message, waitUs: number): Promise<readonly NodeAnswer[]> =>
    Promise.all(
      [...this.sessions.values()].map(async ({ node, connection, pendingRequests: asks }) => ({
        node: node.name,
        zone: node.zone,
        answer: await asks.ask(connection.send, question, waitUs),
      })),
    );

  readonly pack = (): Message =>
    packNodes([...this.sessions.values()].map((session) => session.node));

  readonly applyPeerSessions = (from: string, message: Message): void => {
    this.peerNodes.set(from, readNodes(message));
    void this.events.emit("changed");
  };

  readonly forget = (from: string): void => {
    if (this.peerNodes.delete(from)) void this.events.emit("changed");
  };

  readonly nodes = (): readonly ClusterNode[] => {
    const all = new Map<string, ClusterNode>();
    [
      ...[...this.sessions.values()].map((session) => session.node),
      ...[...this.peerNodes.values()].flat(),
    ].forEach((node) => all.set(node.name, node));
    return [...all.values()];
  };

  readonly clusterSize = (): ClusterSize => {
    const zones: Record<string, number> = {};
    const all = this.nodes();
    const nodes = all.filter(({ role }) => role === "gateway");
    const caches = all
      .filter(({ role }) => role === "cache")
      .map(({ relay, zone }) => ({ address: relay, zone }));
    nodes.forEach((node) => {
      zones[node.zone] = (zones[node.zone] ?? 0) + 1;
    });
    const zoneDistributors = caches.length > 0 ? distributorsOf(nodes) : [];
    return {
      gateways: nodes.length,
      zones,
      ...(zoneDistributors.length > 0 ? { zoneDistributors } : {}),
      ...(caches.length > 0 ? { caches } : {}),
    };
  };

  private readonly isElsewhere = (node: ClusterNode): boolean => {
    const emptied = this.options.drainedZone();
    return emptied !== "" && emptied === this.options.zone && node.zone !== emptied;
  };

  private readonly answerNode = async (
    session: Session,
    message: Message,
    ask: number,
  ): Promise<void> => {
    try {
      session.connection.send({
        ...(await this.options.answer(message, session.node.name)),
        re: ask,
      });
    } catch (error) {
      this.options.log.warn(`A question of ${session.node.name} failed: ${String(error)}.`);
    }
  };

  /** How far below this signalbox a node is fed; undefined if it hangs below the one that looks for a parent, or on none. */
  private readonly depthBelow = (
    session: Session,
    seeker: Session,
    byRelay: ReadonlyMap<string, Session>,
  ): number | undefined => {
    let at: Session | undefined = session;
    for (let depth = 0; at && at !== seeker && depth <= byRelay.size; depth += 1) {
      if (at.parent === "") return depth;
      at = byRelay.get(at.parent);
    }
    return undefined;
  };

  /** Feeds the node here while there is room, else below the shallowest relay that has room, and there the one with the fewest children. */
  private readonly assign = (session: Session, failed: string): void => {
    const { publisher } = this.options;
    publisher.removeChild(session.connection);
    const children = new Map<string, number>();
    this.sessions.forEach(({ parent }) => children.set(parent, (children.get(parent) ?? 0) + 1));
    const byRelay = new Map([...this.sessions.values()].map((other) => [other.node.relay, other]));
    const emptied = this.options.drainedZone();
    let best: Session | undefined;
    let bestCost = Infinity;
    this.sessions.forEach((other) => {
      if (other === session || other.node.relay === failed || other.node.zone === emptied) return;
      const depth = this.depthBelow(other, session, byRelay);
      if (depth === undefined) return;
      const count = children.get(other.node.relay) ?? 0;
      const cost =
        count < MAX_RELAY_CHILDREN ? depth * MAX_RELAY_CHILDREN + count : FULL_RELAY_COST + count;
      if (cost >= bestCost) return;
      best = other;
      bestCost = cost;
    });
    session.parent =
      publisher.size < (failed === "" ? FAN_OUT : MAX_DIRECT_CHILDREN) || !best
        ? ""
        : best.node.relay;
    session.connection.send({ kind: MessageKind.parent, parent: session.parent });
    if (session.parent === "") publisher.addChild(session.connection);
  };
}

/** How much wider than the usual link of its cell one must be for its node to give large objects out to the others. */
const DISTRIBUTOR_LINK_FACTOR = 4;

/** In each cell the first node whose link is far wider than the usual one there, where there is such a node. */
const distributorsOf = (nodes: readonly ClusterNode[]): readonly CacheAddress[] => {
  const byCell = new Map<string, ClusterNode[]>();
  nodes.forEach((node) => byCell.set(node.zone, [...(byCell.get(node.zone) ?? []), node]));
  return [...byCell].flatMap(([zone, all]) => {
    const widths = all.map(({ linkMbps }) => linkMbps).sort((a, b) => a - b);
    const usual = widths[Math.floor(widths.length / 2)] ?? 0;
    const wide = all
      .filter(({ linkMbps }) => usual > 0 && linkMbps >= usual * DISTRIBUTOR_LINK_FACTOR)
      .sort((a, b) => (a.name < b.name ? -1 : 1))[0];
    return wide ? [{ address: wide.relay, zone }] : [];
  });
};
