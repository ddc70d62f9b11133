import Emittery from "emittery";
import type { Clock, Timer } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { Connection, Message } from "../transport/connection.js";
import {
  CONFIG_PREFIX,
  CUSTOMER_PREFIX,
  EVACUATION_PREFIX,
  WORKER_PREFIX,
  type Update,
  type UpdateStore,
} from "./update-store.js";
import type { ClusterSize } from "./cluster.js";
import { MessageKind, packClusterSize, withAcknowledgement } from "./messages.js";
import { UpdateFeeds, type UpdateFrame } from "./update-feed.js";
import { packPosition, type UpdatePosition } from "./update-position.js";

const FLUSH_DELAY_US = 4 * MILLISECOND_US;
/** Bounds the time for which reading, applying and forwarding a frame blocks the event loop. */
const MAX_UPDATES_PER_FRAME = 256;
/** Frames with more updates than this are large and subject to flow control. */
const MAX_SMALL_UPDATES = 16;
/** Children that join within this time of each other share a snapshot that is packed once. */
const SNAPSHOT_REUSE_US = 50 * MILLISECOND_US;
/** Maximum time for which updates may occupy the link, so that keep-alives arrive in time. */
const WINDOW_US = 400 * MILLISECOND_US;
const MIN_WINDOW_BYTES = 64 * 1024;
const DEFAULT_WINDOW_BYTES = 1024 * 1024;
const BYTES_PER_MEGABIT = 125_000;

/**
 * Whether an update must take effect within a time bound once it was acknowledged. Applies to
 * configuration, to evacuations, and to workers that are leaving or have left.
 */
const isTimeBound = ({ key, body }: Update): boolean =>
  key.startsWith(CONFIG_PREFIX) ||
  key.startsWith(CUSTOMER_PREFIX) ||
  key.startsWith(EVACUATION_PREFIX) ||
  (key.startsWith(WORKER_PREFIX) && (body["state"] === "draining" || body["state"] === "gone"));

/** Options of {@link UpdatePublisher}. */
export interface UpdatePublisherOptions {
  /**
   * Identifies this run of a controller, which assigns positions to its updates. Omitted on relays,
   * which forward the positions of their parents.
   */
  readonly origin?: string;
  /** Bandwidth of this machine's link; 0 or omitted if unknown. */
  readonly linkMbps?: number;
}

const windowBytesOf = (linkMbps: number): number =>
  linkMbps > 0
    ? Math.max(MIN_WINDOW_BYTES, (linkMbps * BYTES_PER_MEGABIT * WINDOW_US) / SECOND_US)
    : DEFAULT_WINDOW_BYTES;

/** A recently packed snapshot, and the state of the updates that it was packed from. */
interface PackedSnapshot {
  readonly frame: UpdateFrame;
  readonly packedUs: number;
  readonly changeCount: number;
  readonly position: UpdatePosition | undefined;
}

/**
 * Forwards updates to the children of this node in the relay tree: a snapshot when a child joins,
 * then the changes. Invariant: every update of the store has been sent to or queued for each child,
 * except those in `changed`, which the next flush sends.
 */
export class UpdatePublisher {
  readonly events = new Emittery<{
    /** Time-bound updates are being sent, up to this position. */
    announced: UpdatePosition;
  }>();
  private readonly feeds: UpdateFeeds;
  private readonly changed = new Set<string>();
  private readonly forgotten = new Set<string>();
  private flushTimer: Timer | undefined;
  private clusterSize: ClusterSize = { gateways: 0, zones: {} };
  private lastAcknowledgement = 0;
  private snapshot: PackedSnapshot | undefined;
  private changeCount = 0;
  private hasTimeBoundChange = false;
  /** Invariant: all updates up to this position are in the store. */
  private position: UpdatePosition | undefined;
  private isPositionSent = true;

  constructor(
    private readonly clock: Clock,
    private readonly updates: UpdateStore,
    private readonly isComplete: () => boolean,
    private readonly options: UpdatePublisherOptions = {},
  ) {
    this.feeds = new UpdateFeeds(windowBytesOf(options.linkMbps ?? 0));
    if (options.origin !== undefined) this.position = { origin: options.origin, sequence: 0 };
    updates.events.on("changed", (changed) => {
      changed.forEach((update) => this.changed.add(update.key));
      this.hasTimeBoundChange ||= changed.some(isTimeBound);
      this.recordChange();
    });
    updates.events.on("forgotten", (keys) => {
      keys.forEach((key) => this.forgotten.add(key));
      this.recordChange();
    });
  }

  get size(): number {
    return this.feeds.size;
  }

  /** Whether updates are queued for this child. */
  readonly isBacklogged = (connection: Connection): boolean => this.feeds.isBacklogged(connection);

  /** Adds a child; `protocol` is the update protocol version stated in its hello. */
  readonly addChild = (connection: Connection, protocol = 1): void => {
    this.feeds.add(connection, protocol);
    this.feeds.sendTo(connection, this.currentSnapshot());
    connection.send(packClusterSize(this.clusterSize));
  };

  readonly removeChild = (connection: Connection): void => this.feeds.remove(connection);

  /** Handles a child's acknowledgement of a frame. */
  readonly acknowledge = (connection: Connection, acknowledgement: number): void =>
    this.feeds.acknowledge(connection, acknowledgement);

  readonly setClusterSize = (clusterSize: ClusterSize): void => {
    if (JSON.stringify(clusterSize) === JSON.stringify(this.clusterSize)) return;
    this.clusterSize = clusterSize;
    this.sendUnacknowledged(packClusterSize(clusterSize));
  };

  /** Forwards that all updates up to a position of the controller were received; for relays. */
  readonly advanceTo = (position: UpdatePosition): void => {
    this.position = position;
    this.isPositionSent = false;
    this.scheduleFlush();
  };

  /**
   * Called when the parent of this relay sends no positions, so that the relay cannot send any
   * either. Children that received positions before are disconnected: they get another parent or
   * join again.
   */
  readonly clearPosition = (): void => {
    if (!this.position) return;
    this.position = undefined;
    this.isPositionSent = true;
    this.closeAll();
  };

  /** Tells the children that every purge acknowledged more than `ageUs` ago has been sent. */
  readonly sendFreshness = (ageUs: number): void => {
    if (this.changed.size > 0) this.flush();
    this.sendUnacknowledged({ kind: MessageKind.freshness, ageUs });
  };

  /** Sends a snapshot to all children, for instance once the registry has become complete. */
  readonly sendSnapshot = (): void => this.feeds.sendToAll(this.currentSnapshot());

  readonly closeAll = (): void => this.feeds.closeAll();

  private readonly recordChange = (): void => {
    this.changeCount += 1;
    this.scheduleFlush();
  };

  private readonly currentSnapshot = (): UpdateFrame => {
    const nowUs = this.clock.nowUs();
    if (this.snapshot && this.isCurrent(this.snapshot, nowUs)) return this.snapshot.frame;
    const updates = this.updates.all();
    const frame = this.createFrame(updates.length, {
      kind: MessageKind.updates,
      whole: true,
      complete: this.isComplete(),
      facts: this.updates.pack(updates),
      ...this.packedPosition(),
    });
    const { changeCount, position } = this;
    this.snapshot = { frame, packedUs: nowUs, changeCount, position };
    return frame;
  };

  private readonly isCurrent = (snapshot: PackedSnapshot, nowUs: number): boolean =>
    snapshot.changeCount === this.changeCount &&
    snapshot.position === this.position &&
    nowUs - snapshot.packedUs <= SNAPSHOT_REUSE_US;

  private readonly scheduleFlush = (): void => {
    this.flushTimer ??= this.clock.after(FLUSH_DELAY_US, this.flush);
  };

  private readonly flush = (): void => {
    this.flushTimer?.stop();
    this.flushTimer = undefined;
    const changed = [...this.changed].flatMap((key) => this.updates.get(key) ?? []);
    const forget = [...this.forgotten].filter((key) => this.updates.get(key) === undefined);
    this.changed.clear();
    this.forgotten.clear();
    if (changed.length + forget.length === 0 && this.isPositionSent) return;
    this.advanceOwnPosition();
    for (let start = 0; start < changed.length || start === 0; start += MAX_UPDATES_PER_FRAME) {
      const end = start + MAX_UPDATES_PER_FRAME;
      const isLast = end >= changed.length;
      this.sendChanges(changed.slice(start, end), isLast ? forget : [], isLast);
    }
    this.isPositionSent = true;
  };

  /** Sends one frame of a flush. Only the last frame has the position, which covers all of them. */
  private readonly sendChanges = (
    changed: readonly Update[],
    forget: readonly string[],
    isLast: boolean,
  ): void =>
    this.feeds.sendToAll(
      this.createFrame(changed.length, {
        kind: MessageKind.updates,
        whole: false,
        complete: false,
        facts: this.updates.pack(changed),
        forget,
        ...(isLast ? this.packedPosition() : {}),
      }),
    );

  private readonly advanceOwnPosition = (): void => {
    const { origin } = this.options;
    if (origin === undefined) return;
    this.position = { origin, sequence: (this.position?.sequence ?? 0) + 1 };
    if (this.hasTimeBoundChange) void this.events.emit("announced", this.position);
    this.hasTimeBoundChange = false;
  };

  private readonly packedPosition = () =>
    this.position ? { position: packPosition(this.position) } : {};

  private readonly createFrame = (updateCount: number, message: Message): UpdateFrame => {
    if (updateCount <= MAX_SMALL_UPDATES) return { message, acknowledgement: undefined };
    this.lastAcknowledgement += 1;
    const acknowledgement = this.lastAcknowledgement;
    return { message: withAcknowledgement(message, acknowledgement), acknowledgement };
  };

  private readonly sendUnacknowledged = (message: Message): void =>
    this.feeds.sendToAll({ message, acknowledgement: undefined });
}
