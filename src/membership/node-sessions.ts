import Emittery from "emittery";
import { PendingRequests } from "../transport/pending-requests.js";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import {
  asRecord,
  readList,
  readString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";
import type { Message, Connection } from "../transport/connection.js";
import type { ClusterSize, UpdatePublisher } from "./update-publisher.js";

export type NodeRole = "pointsman" | "depot";

/** A depot as the crew is told of it. */
export interface CacheAddress {
  readonly address: string;
  readonly cell: string;
}

interface Node {
  readonly name: string;
  readonly role: NodeRole;
  readonly linkMbps: number;
  readonly cell: string;
  readonly relay: string;
}

interface Session {
  readonly node: Node;
  readonly connection: Connection;
  readonly pendingRequests: PendingRequests;
  /** The relay that feeds this node; empty when the signalbox feeds it itself. */
  parent: string;
}

/** What one node answered, or undefined where it didn't in time. */
export interface NodeAnswer {
  readonly node: string;
  readonly cell: string;
  readonly answer: UnknownRecord | undefined;
}

/** How many children a signalbox feeds itself, as long as none has lost its relay. */
export const FAN_OUT = 4;
/** How many it feeds at most: one whose relay failed comes back to it first. */
const DIRECT_MOST = 16;
/** Beyond any cost of a relay that has room. */
const MOST_COST = 1_000_000;
/** How many children a relay feeds before those below it become relays too. */
const RELAY_MOST = 8;

const readNode = (value: unknown): Node => {
  const record = asRecord(value, "node");
  return {
    name: readString(record, "name"),
    cell: readString(record, "cell"),
    relay: readString(record, "relay"),
    role: record["role"] === "depot" ? "depot" : "pointsman",
    linkMbps: typeof record["linkMbps"] === "number" ? record["linkMbps"] : 0,
  };
};

export interface NodeSessionsOptions {
  readonly clock: Clock;
  readonly publisher: UpdatePublisher;
  readonly log: Logger;
  /** Whether this signalbox may feed: it has a plan to give, and a majority was heard after the call. */
  readonly isFit: () => Promise<boolean>;
  /** The cell that a planned window empties: it feeds nobody, and its signalbox serves its own nodes only. */
  readonly emptiedCell: () => string;
  readonly cell: string;
  readonly boxes: () => readonly UnknownRecord[];
  /** Answers what a node asks over its session. */
  readonly answer: (message: Message, node: string) => Promise<Message>;
}

/**
 * The sessions of pointsmen with this signalbox, and those that colleagues tell of.
 * Invariant: a node is a member exactly while a session of it stands here or at a colleague whose link stands.
 */
export class NodeSessions {
  readonly events = new Emittery<{ report: Message; own: undefined; changed: undefined }>();
  private readonly own = new Map<string, Session>();
  private readonly told = new Map<string, readonly Node[]>();

  constructor(private readonly options: NodeSessionsOptions) {}

  readonly serve = async (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    const node = readNode(hello["node"]);
    if (!(await this.options.isFit()) || this.isElsewhere(node)) {
      connection.send({ kind: "adrift", boxes: this.options.boxes() });
      return connection.finish();
    }
    if (connection.isClosed) return;
    const session: Session = {
      node,
      connection,
      pendingRequests: new PendingRequests(this.options.clock),
      parent: "",
    };
    this.own.get(node.name)?.connection.close();
    this.own.set(node.name, session);
    this.options.log.info(`${node.name} joined.`);
    connection.send({ kind: "welcome", boxes: this.options.boxes() });
    this.assign(session, "");
    void this.events.emit("own");
    for await (const message of incoming) {
      if (session.pendingRequests.settle(message)) continue;
      if (typeof message["ask"] === "number")
        void this.answerNode(session, message, message["ask"]);
      else if (message.kind === "lost-news") this.assign(session, readString(message, "parent"));
      else void this.events.emit("report", { ...message, node: node.name });
    }
    this.options.publisher.removeChild(connection);
    session.pendingRequests.drop();
    if (this.own.get(node.name) !== session) return;
    this.own.delete(node.name);
    this.options.log.info(`${node.name} left.`);
    [...this.own.values()]
      .filter((other) => other.parent === node.relay)
      .forEach((other) => this.assign(other, node.relay));
    void this.events.emit("own");
  };

  /** Ends every session, so that the pointsmen look for a signalbox that has a majority. */
  readonly closeAll = (): void => this.own.forEach((session) => session.connection.close());

  /** Moves everybody off the relays and the signalbox of the emptied cell. */
  readonly leaveEmptied = (): void => {
    const emptied = this.options.emptiedCell();
    this.own.forEach((session) => {
      if (this.isElsewhere(session.node)) session.connection.close();
      else if (
        session.node.cell !== emptied &&
        [...this.own.values()].some(
          ({ node }) => node.relay === session.parent && node.cell === emptied,
        )
      )
        this.assign(session, session.parent);
    });
  };

  readonly announceControllers = (): void =>
    this.own.forEach((session) =>
      session.connection.send({ kind: "boxes", boxes: this.options.boxes() }),
    );

  /** Asks every node with a session here; who doesn't answer in time is named without an answer. */
  readonly askAll = (question: Message, waitUs: number): Promise<readonly NodeAnswer[]> =>
    Promise.all(
      [...this.own.values()].map(async ({ node, connection, pendingRequests: asks }) => ({
        node: node.name,
        cell: node.cell,
        answer: await asks.ask(connection.send, question, waitUs),
      })),
    );

  readonly pack = (): Message => ({
    kind: "sessions",
    nodes: [...this.own.values()].map((session) => ({ ...session.node })),
  });

  readonly applyPeerSessions = (from: string, message: Message): void => {
    this.told.set(from, readList(message, "nodes", readNode));
    void this.events.emit("changed");
  };

  readonly forget = (from: string): void => {
    if (this.told.delete(from)) void this.events.emit("changed");
  };

  readonly nodes = (): readonly Node[] => {
    const all = new Map<string, Node>();
    [
      ...[...this.own.values()].map((session) => session.node),
      ...[...this.told.values()].flat(),
    ].forEach((node) => all.set(node.name, node));
    return [...all.values()];
  };

  readonly clusterSize = (): ClusterSize => {
    const zones: Record<string, number> = {};
    const all = this.nodes();
    const nodes = all.filter(({ role }) => role === "pointsman");
    const depots = all
      .filter(({ role }) => role === "depot")
      .map(({ relay, cell: zone }) => ({ address: relay, cell: zone }));
    nodes.forEach((node) => {
      zones[node.cell] = (zones[node.cell] ?? 0) + 1;
    });
    const halls = depots.length > 0 ? hallsOf(nodes) : [];
    return {
      pointsmen: nodes.length,
      cells: zones,
      ...(halls.length > 0 ? { halls } : {}),
      ...(depots.length > 0 ? { depots } : {}),
    };
  };

  private readonly isElsewhere = (node: Node): boolean => {
    const emptied = this.options.emptiedCell();
    return emptied !== "" && emptied === this.options.cell && node.cell !== emptied;
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
    this.own.forEach(({ parent }) => children.set(parent, (children.get(parent) ?? 0) + 1));
    const byRelay = new Map([...this.own.values()].map((other) => [other.node.relay, other]));
    const emptied = this.options.emptiedCell();
    let best: Session | undefined;
    let bestCost = Infinity;
    this.own.forEach((other) => {
      if (other === session || other.node.relay === failed || other.node.cell === emptied) return;
      const depth = this.depthBelow(other, session, byRelay);
      if (depth === undefined) return;
      const count = children.get(other.node.relay) ?? 0;
      const cost = count < RELAY_MOST ? depth * RELAY_MOST + count : MOST_COST + count;
      if (cost >= bestCost) return;
      best = other;
      bestCost = cost;
    });
    session.parent =
      publisher.size < (failed === "" ? FAN_OUT : DIRECT_MOST) || !best ? "" : best.node.relay;
    session.connection.send({ kind: "parent", parent: session.parent });
    if (session.parent === "") publisher.addChild(session.connection);
  };
}

/** How much wider than the usual link of its cell one must be for its node to give large objects out to the others. */
const HALL_TIMES = 4;

/** In each cell the first node whose link is far wider than the usual one there, where there is such a node. */
const hallsOf = (nodes: readonly Node[]): readonly CacheAddress[] => {
  const byCell = new Map<string, Node[]>();
  nodes.forEach((node) => byCell.set(node.cell, [...(byCell.get(node.cell) ?? []), node]));
  return [...byCell].flatMap(([zone, all]) => {
    const widths = all.map(({ linkMbps }) => linkMbps).sort((a, b) => a - b);
    const usual = widths[Math.floor(widths.length / 2)] ?? 0;
    const wide = all
      .filter(({ linkMbps }) => usual > 0 && linkMbps >= usual * HALL_TIMES)
      .sort((a, b) => (a.name < b.name ? -1 : 1))[0];
    return wide ? [{ address: wide.relay, cell: zone }] : [];
  });
};

export const readClusterSize = (message: Message): ClusterSize => {
  const zones = asRecord(message["cells"], "cells");
  const places = (field: string) =>
    readList(message, field, (value) => ({
      address: readString(asRecord(value), "address"),
      cell: readString(asRecord(value), "cell"),
    }));
  const [depots, halls] = [places("depots"), places("halls")];
  return {
    ...(halls.length > 0 ? { halls } : {}),
    ...(depots.length > 0 ? { depots } : {}),
    pointsmen: readNumber(message, "pointsmen"),
    cells: Object.fromEntries(Object.keys(zones).map((zone) => [zone, readNumber(zones, zone)])),
  };
};
