/** Sessions of data plane nodes with this controller, and the sessions reported by its peers. */
import Emittery from "emittery";
import type { Clock } from "../common/clock.js";
import { asRecord, readString } from "../common/decode.js";
import type { Logger } from "../common/logger.js";
import type { Connection, Message } from "../transport/connection.js";
import { asReply, PendingRequests, requestIdOf } from "../transport/pending-requests.js";
import type { ClusterNode, ClusterSize, ControllerAddress, NodeAnswer } from "./cluster.js";
import { clusterSizeOf } from "./cluster-size.js";
import {
  MessageKind,
  packControllers,
  packNodes,
  readAcknowledgement,
  readNode,
  readNodes,
  readProtocol,
} from "./messages.js";
import { chooseParent } from "./relay-tree.js";
import { FLOW_CONTROL_PROTOCOL } from "./update-feed.js";
import { packPosition, type UpdatePosition } from "./update-position.js";
import type { UpdatePublisher } from "./update-publisher.js";

interface Session {
  readonly node: ClusterNode;
  /** Update protocol version that the node supports. */
  readonly protocol: number;
  readonly connection: Connection;
  readonly pendingRequests: PendingRequests;
  /** The relay that sends this node updates; empty if this controller sends them directly. */
  parent: string;
}

/** Dependencies of {@link NodeSessions}. */
export interface NodeSessionsOptions {
  readonly clock: Clock;
  readonly publisher: UpdatePublisher;
  readonly log: Logger;
  /**
   * Whether this controller may serve nodes: it has a configuration, and a majority responded after
   * the call was made.
   */
  readonly mayServe: () => Promise<boolean>;
  /**
   * The zone drained by a maintenance window, or empty. Its nodes do not relay, and its controller
   * only serves nodes of its own zone.
   */
  readonly drainedZone: () => string;
  /** Bandwidth of this machine's link; 0 or omitted if unknown. */
  readonly linkMbps?: number;
  /** This controller's own zone. */
  readonly zone: string;
  readonly controllers: () => readonly ControllerAddress[];
  /** Handles a request that a node sent over its session. */
  readonly answer: (message: Message, node: string) => Promise<Message>;
}

/**
 * Nodes with a session here, and nodes with a session at a peer. Invariant: a node is a member
 * exactly while it has a session here or at a peer whose link is connected.
 */
export class NodeSessions {
  /**
   * `report`: a message from a node that expects no reply. The other events signal which part of
   * the membership changed.
   */
  readonly events = new Emittery<{
    report: Message;
    localChanged: undefined;
    peersChanged: undefined;
  }>();
  private readonly sessions = new Map<string, Session>();
  private readonly peerNodes = new Map<string, readonly ClusterNode[]>();

  constructor(private readonly options: NodeSessionsOptions) {
    options.publisher.events.on("announced", this.announceUpdates);
  }

  /** Number of nodes with a session here. */
  get size(): number {
    return this.sessions.size;
  }

  /**
   * Serves one node's session until its connection ends.
   *
   * @throws DecodeError if the hello is malformed
   */
  readonly serve = async (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    const node = readNode(hello["node"]);
    const protocol = readProtocol(asRecord(hello["node"], "node"));
    if (!(await this.options.mayServe()) || this.isOutsideDrainedZone(node)) {
      connection.send(packControllers(MessageKind.rejected, this.options.controllers()));
      return connection.finish();
    }
    if (connection.isClosed) return;
    const session: Session = {
      node,
      protocol,
      connection,
      pendingRequests: new PendingRequests(this.options.clock),
      parent: "",
    };
    this.openSession(session);
    for await (const message of incoming) this.handleMessage(session, message);
    this.removeSession(session);
  };

  /** Closes every session so that the nodes connect to a controller that has a majority. */
  readonly closeAll = (): void => this.sessions.forEach((session) => session.connection.close());

  /** Moves the nodes of other zones off the relays and the controller of the drained zone. */
  readonly evacuateDrainedZone = (): void => {
    const drained = this.options.drainedZone();
    this.sessions.forEach((session) => {
      if (this.isOutsideDrainedZone(session.node)) session.connection.close();
      else if (session.node.zone !== drained && this.hasParentIn(session, drained))
        this.assignParent(session, session.parent);
    });
  };

  /** Sends every node the list of connected controllers. */
  readonly announceControllers = (): void =>
    this.sessions.forEach((session) =>
      session.connection.send(packControllers(MessageKind.controllers, this.options.controllers())),
    );

  /**
   * Sends a query to every node with a session here; a node that does not respond in time is listed
   * without an answer.
   */
  readonly queryAll = (query: Message, timeoutUs: number): Promise<readonly NodeAnswer[]> =>
    Promise.all(
      [...this.sessions.values()].map(async ({ node, connection, pendingRequests }) => ({
        node: node.name,
        zone: node.zone,
        answer: await pendingRequests.request(connection.send, query, timeoutUs),
      })),
    );

  /** Packs the nodes with a session here, for peers. */
  readonly packNodes = (): Message =>
    packNodes([...this.sessions.values()].map((session) => session.node));

  /** Replaces the nodes that have a session with a peer. */
  readonly applyPeerSessions = (from: string, message: Message): void => {
    this.peerNodes.set(from, readNodes(message));
    void this.events.emit("peersChanged");
  };

  /** Removes the nodes of a peer whose link was lost. */
  readonly removePeer = (from: string): void => {
    if (this.peerNodes.delete(from)) void this.events.emit("peersChanged");
  };

  /** All members, here and at peers. */
  readonly nodes = (): readonly ClusterNode[] => {
    const all = new Map<string, ClusterNode>();
    [
      ...[...this.sessions.values()].map((session) => session.node),
      ...[...this.peerNodes.values()].flat(),
    ].forEach((node) => all.set(node.name, node));
    return [...all.values()];
  };

  readonly clusterSize = (): ClusterSize => clusterSizeOf(this.nodes());

  /**
   * Announces time-bound updates to nodes that receive updates through a relay or have updates
   * queued, so that these nodes can detect that they are behind.
   */
  private readonly announceUpdates = (position: UpdatePosition): void => {
    const { publisher } = this.options;
    const message: Message = { kind: MessageKind.announcement, position: packPosition(position) };
    this.sessions.forEach(({ protocol, parent, connection }) => {
      const hasDelayedUpdates = parent !== "" || publisher.isBacklogged(connection);
      if (protocol >= FLOW_CONTROL_PROTOCOL && hasDelayedUpdates) connection.send(message);
    });
  };

  private readonly openSession = (session: Session): void => {
    const { node, connection } = session;
    this.sessions.get(node.name)?.connection.close();
    this.sessions.set(node.name, session);
    this.options.log.info("node joined", { node: node.name });
    connection.send(packControllers(MessageKind.welcome, this.options.controllers()));
    this.assignParent(session, "");
    void this.events.emit("localChanged");
  };

  private readonly handleMessage = (session: Session, message: Message): void => {
    if (session.pendingRequests.resolve(message)) return;
    const requestId = requestIdOf(message);
    if (requestId !== undefined) void this.answerNode(session, message, requestId);
    else if (message.kind === MessageKind.acknowledgement)
      this.options.publisher.acknowledge(session.connection, readAcknowledgement(message));
    else if (message.kind === MessageKind.parentLost)
      this.assignParent(session, readString(message, "parent"));
    else void this.events.emit("report", { ...message, node: session.node.name });
  };

  private readonly removeSession = (session: Session): void => {
    const { node, connection } = session;
    this.options.publisher.removeChild(connection);
    session.pendingRequests.abandonAll();
    // A later session of the same node may have replaced this one.
    if (this.sessions.get(node.name) !== session) return;
    this.sessions.delete(node.name);
    this.options.log.info("node left", { node: node.name, reason: connection.closeReason });
    [...this.sessions.values()]
      .filter((other) => other.parent === node.relay)
      .forEach((other) => this.assignParent(other, node.relay));
    void this.events.emit("localChanged");
  };

  /**
   * Whether this controller's zone is drained and the node is in another zone, so that it must not
   * be served here.
   */
  private readonly isOutsideDrainedZone = (node: ClusterNode): boolean => {
    const drained = this.options.drainedZone();
    return drained !== "" && drained === this.options.zone && node.zone !== drained;
  };

  private readonly hasParentIn = (session: Session, zone: string): boolean =>
    [...this.sessions.values()].some(
      ({ node }) => node.relay === session.parent && node.zone === zone,
    );

  private readonly answerNode = async (
    session: Session,
    message: Message,
    requestId: number,
  ): Promise<void> => {
    const { answer, log } = this.options;
    try {
      session.connection.send(asReply(await answer(message, session.node.name), requestId));
    } catch (error) {
      log.warn("node request failed", { node: session.node.name, kind: message.kind, err: error });
    }
  };

  /**
   * Assigns a node its parent in the relay tree, either initially or after `failedRelay` failed. An
   * empty `failedRelay` means that no relay failed.
   */
  private readonly assignParent = (session: Session, failedRelay: string): void => {
    const { publisher, drainedZone, linkMbps } = this.options;
    publisher.removeChild(session.connection);
    session.parent = chooseParent({
      child: session,
      nodes: [...this.sessions.values()],
      controller: { directChildren: publisher.size, linkMbps: linkMbps ?? 0 },
      failedRelay,
      drainedZone: drainedZone(),
    });
    session.connection.send({ kind: MessageKind.parent, parent: session.parent });
    if (session.parent === "") publisher.addChild(session.connection, session.protocol);
  };
}
