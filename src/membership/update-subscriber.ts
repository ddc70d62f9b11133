import Emittery from "emittery";
import { PendingRequests } from "../transport/pending-requests.js";
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { splitAddress } from "../common/settings.js";
import {
  asList,
  asRecord,
  readFlag,
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
import { MessageKind, packNodeHello, readClusterSize, readControllers } from "./messages.js";

/** What a node's subscription to updates is made with. */
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
  /** Answers what a signalbox asks this node. */
  readonly answer?: (question: Message) => Message | undefined;
}

/** State of the session with a controller: none yet, hello sent and not answered, or open. */
export type SessionState = "looking" | "greeting" | "standing";

const LOOK_AGAIN_US = 150 * MILLISECOND_US;
const RELAY_WAIT_US = 600 * MILLISECOND_US;
/** How many signalboxes are remembered, those told last first. */
const MOST_BOXES = 32;
const OTHERS_EVERY = 3;

/**
 * A pointsman's way to the news: one session with a signalbox, and the news from it or from the
 * relay it names. Cut off, it goes on with the board as it is.
 */
export class UpdateSubscriber {
  readonly events = new Emittery<{
    clusterSize: ClusterSize;
    /** A snapshot of all updates came. */
    snapshot: undefined;
    /** Every purge acknowledged before so many microseconds ago has come. */
    freshness: number;
    /** Updates stopped coming, so children can't be served. */
    disconnected: undefined;
  }>();
  private state: SessionState = "looking";
  /**
   * Every signalbox that was told of, those told last first; who is no longer told of is kept
   * behind, since a teller may be cut off.
   */
  private boxes: readonly (ControllerAddress & { readonly isTold: boolean })[] = [];
  private seeds: readonly string[];
  private connection: Connection | undefined;
  /** Invariant: set exactly while a relay feeds this node. */
  private relayConnection: Connection | undefined;
  private parent = "";
  private tried = new Map<string, number>();
  private stopping = false;
  /** How often a signalbox was looked for since the last session. */
  private looks = 0;
  private readonly pendingRequests: PendingRequests;

  constructor(private readonly options: UpdateSubscriberOptions) {
    this.pendingRequests = new PendingRequests(options.clock);
    this.seeds = options.seeds;
  }

  /** Takes the seeds of a settings file that was read again. */
  readonly renewSeeds = (seeds: readonly string[]): void => {
    this.seeds = seeds;
  };

  /** Whether the news comes in, so that children may be fed. */
  get isUpToDate(): boolean {
    return this.parent === "" ? this.state === "standing" : this.relayConnection !== undefined;
  }

  /** The relay that is to feed this node; empty where its signalbox does. */
  get parentRelay(): string {
    return this.parent;
  }

  /** Whether a session with a signalbox stands. */
  get isConnected(): boolean {
    return this.state === "standing";
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
    if (this.state === "standing") this.connection?.send(message);
  };

  /** Asks the signalbox; undefined when the session ends or the wait is over first. */
  readonly request = (message: Message, waitUs: number): Promise<Message | undefined> => {
    return this.state === "standing" && this.connection
      ? this.pendingRequests.request(this.connection.send, message, waitUs)
      : Promise.resolve(undefined);
  };

  private async *states(): AsyncGenerator<SessionState, void, undefined> {
    const {
      name,
      zone,
      relay,
      role,
      linkMbps,
      peerPort: signalPort,
      clock,
      times,
      log,
    } = this.options;
    while (!this.stopping) {
      yield "looking";
      const controller = this.choose();
      const connection = await connectTo(
        splitAddress(controller).ip,
        signalPort,
        clock,
        times.timeoutUs / 2,
        times,
      );
      if (connection) {
        yield "greeting";
        this.connection = connection;
        connection.send(
          packNodeHello({
            name,
            zone,
            relay,
            role,
            ...(linkMbps === undefined ? {} : { linkMbps }),
          }),
        );
        const incoming = connection.incoming();
        const first = await withTimeout(clock, times.timeoutUs, incoming.next(), undefined);
        if (first && !first.done) {
          this.learnBoxes(first.value);
          // eslint-disable-next-line max-depth -- each yield is a state; a nested generator would add turns between them
          if (first.value.kind === MessageKind.welcome) {
            log.info("session opened", { controller });
            this.tried.clear();
            this.looks = 0;
            yield "standing";
            // eslint-disable-next-line max-depth -- as above
            for await (const message of incoming) this.take(message);
            log.info("session closed", { controller });
          }
        }
        connection.close();
        this.connection = undefined;
        this.pendingRequests.abandonAll();
        yield "looking";
        this.sayUnfed();
      }
      this.tried.set(controller, clock.nowUs());
      // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by `stop` during an await
      if (!this.stopping) await sleep(clock, LOOK_AGAIN_US);
    }
  }

  /**
   * Of the signalboxes told last, that of the own cell first, else the one whose failure is longest
   * ago. Every third look goes to the others, seeds and those told before: after replacements many
   * of these are gone, and each costs a wait.
   */
  private readonly choose = (): string => {
    this.looks += 1;
    const told = this.boxes.filter(({ isTold }) => isTold);
    const others = [...new Set([...this.boxes.map(({ id }) => id), ...this.seeds])].filter(
      (id) => !told.some((controller) => controller.id === id),
    );
    const isOthersTurn =
      told.length === 0 || (others.length > 0 && this.looks % OTHERS_EVERY === 0);
    const near = new Set(told.filter(({ zone }) => zone === this.options.zone).map(({ id }) => id));
    const pool = isOthersTurn ? others : told.map(({ id }) => id);
    const scores = new Map(
      pool.map((id) => [
        id,
        (this.tried.get(id) ?? 0) + (near.has(id) ? 0 : 1) + Math.random() * 0.5,
      ]),
    );
    return pool.sort((a, b) => (scores.get(a) ?? 0) - (scores.get(b) ?? 0))[0] ?? "";
  };

  private readonly learnBoxes = (message: Message): void => {
    const told = readControllers(message).map(({ id, zone }) => ({ id, zone, isTold: true }));
    const ids = new Set(told.map(({ id }) => id));
    const others = this.boxes
      .filter(({ id }) => !ids.has(id))
      .map((controller) => ({ ...controller, isTold: false }));
    this.boxes = [...told, ...others].slice(0, MOST_BOXES);
  };

  /** Without news of its own a relay feeds nobody. */
  private readonly sayUnfed = (): void => {
    if (!this.isUpToDate) void this.events.emit("disconnected");
  };

  private readonly take = (message: Message): void => {
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
        this.learnBoxes(message);
        return;
      case MessageKind.parent:
        this.follow(readString(message, "parent"));
        return;
      default:
        this.takeNews(message);
    }
  };

  private readonly takeNews = (message: Message): void => {
    const { updates } = this.options;
    if (message.kind === MessageKind.clusterSize)
      void this.events.emit("clusterSize", readClusterSize(message));
    if (message.kind === MessageKind.freshness)
      void this.events.emit("freshness", readNumber(message, "ageUs"));
    if (message.kind !== MessageKind.updates) return;
    const facts = asList(message["facts"], "facts");
    updates.merge(facts);
    updates.forget(readList(message, "forget", asString));
    if (readFlag(message, "whole")) {
      if (readFlag(message, "complete"))
        this.forgetUntold(new Set(facts.map((fact) => readString(asRecord(fact), "key"))));
      void this.events.emit("snapshot");
    }
  };

  /**
   * A complete telling names every worker there is; plan items never vanish, since drops stay as
   * tombstones.
   */
  private readonly forgetUntold = (told: ReadonlySet<string>): void => {
    const { updates } = this.options;
    updates.forget(
      updates
        .all()
        .map((fact) => fact.key)
        .filter((key) => key.startsWith(WORKER_PREFIX) && !told.has(key)),
    );
  };

  private readonly follow = (parent: string): void => {
    this.parent = parent;
    this.relayConnection?.close();
    this.relayConnection = undefined;
    if (parent !== "") void this.feedFrom(parent);
  };

  private readonly feedFrom = async (parent: string): Promise<void> => {
    const { clock, times, name } = this.options;
    const { ip, port } = splitAddress(parent);
    const connection = await connectTo(ip, port, clock, RELAY_WAIT_US, times);
    if (connection && this.parent === parent) {
      this.relayConnection = connection;
      connection.send({ kind: MessageKind.childHello, name });
      for await (const message of connection.incoming()) {
        if (this.parent === parent) this.takeNews(message);
      }
      if (this.relayConnection === connection) {
        this.relayConnection = undefined;
        this.sayUnfed();
      }
    }
    connection?.close();
    if (this.parent === parent) this.report({ kind: MessageKind.parentLost, parent });
  };
}
