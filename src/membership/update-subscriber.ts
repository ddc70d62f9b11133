import Emittery from "emittery";
import { PendingRequests } from "../transport/pending-requests.js";
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { splitAddress } from "../common/settings.js";
import {
  asList,
  asRecord,
  readBoolean,
  readList,
  readString,
  asString,
  readNumber,
} from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import { connectTo } from "../transport/connect.js";
import type { Connection, KeepAliveTimes, Message } from "../transport/connection.js";
import { WORKER_PREFIX, type UpdateStore } from "./update-store.js";
import type { ClusterSize, ControllerAddress, NodeRole } from "./cluster.js";
import {
  acknowledgementOf,
  MessageKind,
  packAcknowledgement,
  packChildHello,
  packNodeHello,
  readClusterSize,
  readControllers,
} from "./messages.js";
import { FLOW_CONTROL_PROTOCOL } from "./update-feed.js";
import { readPosition, type UpdateLag, type UpdatePosition } from "./update-position.js";

/** Dependencies of {@link UpdateSubscriber}. */
export interface UpdateSubscriberOptions {
  readonly name: string;
  readonly zone: string;
  readonly role: NodeRole;
  readonly linkMbps?: number;
  readonly relay: string;
  readonly seeds: readonly string[];
  readonly peerPort: number;
  readonly clock: Clock;
  readonly times: KeepAliveTimes;
  readonly updates: UpdateStore;
  readonly log: Logger;
  /**
   * Tracks how far this node is behind. If omitted, the node speaks version 1 of the update
   * protocol.
   */
  readonly lag?: UpdateLag;
  /** Answers a query of the controller. */
  readonly answer?: (query: Message) => Message | undefined;
}

/** State of the session with a controller: none, hello sent but not yet answered, or open. */
export type SessionState = "connecting" | "handshaking" | "connected";

const RECONNECT_DELAY_US = 150 * MILLISECOND_US;
const RELAY_CONNECT_TIMEOUT_US = 600 * MILLISECOND_US;
/** Number of controllers that are kept; those in the last announcement take precedence. */
const MAX_KNOWN_CONTROLLERS = 32;
const ATTEMPTS_PER_FALLBACK = 3;

/**
 * Receives the updates of a node. Keeps one session with a controller and gets updates from the
 * controller or from the relay that it assigns. Without a session the node continues with the
 * updates it has.
 */
export class UpdateSubscriber {
  readonly events = new Emittery<{
    clusterSize: ClusterSize;
    /** A snapshot of all updates was received. */
    snapshot: undefined;
    /** All updates up to this position of the controller were received. */
    position: UpdatePosition;
    /** The parent runs an older version that sends no positions. */
    positionUnknown: undefined;
    /** Every purge acknowledged more than this many microseconds ago was received. */
    freshness: number;
    /** No updates are received any more, so children cannot be served. */
    disconnected: undefined;
  }>();
  private state: SessionState = "connecting";
  /**
   * The controllers announced so far, those of the last announcement first. The others are kept
   * because the announcing controller may itself be partitioned.
   */
  private knownControllers: readonly (ControllerAddress & { readonly isAnnounced: boolean })[] = [];
  private seeds: readonly string[];
  private connection: Connection | undefined;
  /** Invariant: set exactly while this node receives its updates from a relay. */
  private relayConnection: Connection | undefined;
  private parent = "";
  private lastAttemptUs = new Map<string, number>();
  private stopping = false;
  /** Number of connection attempts since the last session. */
  private connectAttempts = 0;
  private readonly pendingRequests: PendingRequests;

  constructor(private readonly options: UpdateSubscriberOptions) {
    this.pendingRequests = new PendingRequests(options.clock);
    this.seeds = options.seeds;
  }

  /** Replaces the seeds after the settings file was reloaded. */
  readonly setSeeds = (seeds: readonly string[]): void => {
    this.seeds = seeds;
  };

  /** Whether this node receives updates, so that it may relay them to children. */
  get isUpToDate(): boolean {
    return this.parent === "" ? this.state === "connected" : this.relayConnection !== undefined;
  }

  /** The relay that this node subscribes to; empty if its controller sends the updates directly. */
  get parentRelay(): string {
    return this.parent;
  }

  /** Whether a session with a controller is open. */
  get isConnected(): boolean {
    return this.state === "connected";
  }

  readonly run = async (): Promise<void> => {
    for await (const state of this.states()) this.state = state;
  };

  readonly stop = (): void => {
    this.stopping = true;
    this.connection?.close();
    this.relayConnection?.close();
  };

  readonly report = (message: Message): void => {
    if (this.state === "connected") this.connection?.send(message);
  };

  /**
   * Sends a request to the controller; undefined if there is no session, or if the session ends or
   * the time-out expires before the response.
   */
  readonly request = (message: Message, waitUs: number): Promise<Message | undefined> => {
    return this.state === "connected" && this.connection
      ? this.pendingRequests.request(this.connection.send, message, waitUs)
      : Promise.resolve(undefined);
  };

  private async *states(): AsyncGenerator<SessionState, void, undefined> {
    const { name, zone, relay, role, linkMbps, peerPort, clock, times, log } = this.options;
    while (!this.stopping) {
      yield "connecting";
      const controller = this.chooseController();
      const connection = await connectTo(
        splitAddress(controller).ip,
        peerPort,
        clock,
        times.timeoutUs / 2,
        times,
      );
      if (connection) {
        yield "handshaking";
        this.connection = connection;
        connection.send(
          packNodeHello({
            name,
            zone,
            relay,
            role,
            ...(linkMbps === undefined ? {} : { linkMbps }),
            ...(this.protocol === undefined ? {} : { protocol: this.protocol }),
          }),
        );
        const incoming = connection.incoming();
        const first = await withTimeout(clock, times.timeoutUs, incoming.next(), undefined);
        if (first && !first.done) {
          this.learnControllers(first.value);
          // eslint-disable-next-line max-depth -- each yield is a state; a nested generator would add event loop turns between them
          if (first.value.kind === MessageKind.welcome) {
            log.info("session opened", { controller });
            this.lastAttemptUs.clear();
            this.connectAttempts = 0;
            this.options.lag?.recordConnected();
            yield "connected";
            // eslint-disable-next-line max-depth -- as above
            for await (const message of incoming) this.handleMessage(message, connection);
            this.options.lag?.recordDisconnected();
            log.info("session closed", { controller, reason: connection.closeReason });
          }
        }
        connection.close();
        this.connection = undefined;
        this.pendingRequests.abandonAll();
        yield "connecting";
        this.notifyDisconnected();
      }
      this.lastAttemptUs.set(controller, clock.nowUs());
      // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by `stop` during an await
      if (!this.stopping) await sleep(clock, RECONNECT_DELAY_US);
    }
  }

  /**
   * Chooses the controller of the last announcement that was tried longest ago. Among those not
   * tried since the last session, controllers in the node's own zone come first. Only every third
   * attempt goes to the fallbacks, which are the seeds and the controllers announced earlier: after
   * replacements many of them no longer exist, and each such attempt costs a time-out.
   */
  private readonly chooseController = (): string => {
    this.connectAttempts += 1;
    const announced = this.knownControllers.filter(({ isAnnounced }) => isAnnounced);
    const fallbacks = [
      ...new Set([...this.knownControllers.map(({ id }) => id), ...this.seeds]),
    ].filter((id) => !announced.some((controller) => controller.id === id));
    const isFallbackAttempt =
      announced.length === 0 ||
      (fallbacks.length > 0 && this.connectAttempts % ATTEMPTS_PER_FALLBACK === 0);
    const sameZoneIds = new Set(
      announced.filter(({ zone }) => zone === this.options.zone).map(({ id }) => id),
    );
    const candidates = isFallbackAttempt ? fallbacks : announced.map(({ id }) => id);
    const scores = new Map(
      candidates.map((id) => [
        id,
        (this.lastAttemptUs.get(id) ?? 0) + (sameZoneIds.has(id) ? 0 : 1) + Math.random() * 0.5,
      ]),
    );
    return candidates.sort((a, b) => (scores.get(a) ?? 0) - (scores.get(b) ?? 0))[0] ?? "";
  };

  private readonly learnControllers = (message: Message): void => {
    const announced = readControllers(message).map(({ id, zone }) => ({
      id,
      zone,
      isAnnounced: true,
    }));
    const ids = new Set(announced.map(({ id }) => id));
    const others = this.knownControllers
      .filter(({ id }) => !ids.has(id))
      .map((controller) => ({ ...controller, isAnnounced: false }));
    this.knownControllers = [...announced, ...others].slice(0, MAX_KNOWN_CONTROLLERS);
  };

  /** Emits `disconnected`: a relay that receives no updates itself must not serve children. */
  private readonly notifyDisconnected = (): void => {
    if (!this.isUpToDate) void this.events.emit("disconnected");
  };

  /** The update protocol version that this node speaks; undefined for version 1. */
  private get protocol(): number | undefined {
    return this.options.lag ? FLOW_CONTROL_PROTOCOL : undefined;
  }

  private readonly handleMessage = (message: Message, connection: Connection): void => {
    if (this.pendingRequests.resolve(message)) return;
    if (typeof message["ask"] === "number") {
      this.report({
        ...(this.options.answer?.(message) ?? { kind: MessageKind.unknown }),
        re: message["ask"],
      });
      return;
    }
    switch (message.kind) {
      case MessageKind.controllers:
        this.learnControllers(message);
        return;
      case MessageKind.parent:
        this.changeParent(readString(message, "parent"));
        return;
      case MessageKind.announcement:
        this.handleAnnouncement(message);
        return;
      default:
        this.applyUpdates(message, connection);
    }
  };

  private readonly handleAnnouncement = (message: Message): void => {
    const position = readPosition(message["position"]);
    if (position) this.options.lag?.announce(position);
  };

  private readonly applyUpdates = (message: Message, connection: Connection): void => {
    const { updates } = this.options;
    if (message.kind === MessageKind.clusterSize)
      void this.events.emit("clusterSize", readClusterSize(message));
    if (message.kind === MessageKind.freshness)
      void this.events.emit("freshness", readNumber(message, "ageUs"));
    if (message.kind !== MessageKind.updates) return;
    const acknowledgement = acknowledgementOf(message);
    if (acknowledgement !== undefined) connection.send(packAcknowledgement(acknowledgement));
    const received = asList(message["facts"], "facts");
    updates.merge(received);
    updates.forget(readList(message, "forget", asString));
    if (readBoolean(message, "whole")) {
      if (readBoolean(message, "complete"))
        this.removeAbsentWorkers(new Set(received.map((one) => readString(asRecord(one), "key"))));
      void this.events.emit("snapshot");
    }
    this.recordProgress(message);
  };

  private readonly recordProgress = (updates: Message): void => {
    const position = readPosition(updates["position"]);
    if (readBoolean(updates, "whole")) {
      this.options.lag?.recordSnapshot(position);
      if (!position) void this.events.emit("positionUnknown");
    }
    if (!position) return;
    this.options.lag?.recordPosition(position);
    void this.events.emit("position", position);
  };

  /**
   * Removes the workers that a complete snapshot does not contain. Configuration items need no such
   * removal, since deleted ones remain as tombstones.
   */
  private readonly removeAbsentWorkers = (presentKeys: ReadonlySet<string>): void => {
    const { updates } = this.options;
    updates.forget(
      updates
        .all()
        .map(({ key }) => key)
        .filter((key) => key.startsWith(WORKER_PREFIX) && !presentKeys.has(key)),
    );
  };

  private readonly changeParent = (parent: string): void => {
    this.parent = parent;
    this.options.log.info("parent assigned", { parent });
    this.relayConnection?.close();
    this.relayConnection = undefined;
    if (parent !== "") void this.subscribeToRelay(parent);
  };

  private readonly subscribeToRelay = async (parent: string): Promise<void> => {
    const { clock, times, name } = this.options;
    const { ip, port } = splitAddress(parent);
    const connection = await connectTo(ip, port, clock, RELAY_CONNECT_TIMEOUT_US, times);
    if (connection && this.parent === parent) {
      this.relayConnection = connection;
      connection.send(packChildHello(name, this.protocol));
      for await (const message of connection.incoming()) {
        if (this.parent === parent) this.applyUpdates(message, connection);
      }
      if (this.relayConnection === connection) {
        this.relayConnection = undefined;
        this.notifyDisconnected();
      }
    }
    connection?.close();
    if (this.parent !== parent) return;
    this.options.log.info("relay lost", {
      parent,
      reason: connection?.closeReason ?? "unreachable",
    });
    this.report({ kind: MessageKind.parentLost, parent });
  };
}
