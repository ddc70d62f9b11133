import Emittery from "emittery";
import type { Clock, Timer } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { Connection, Message } from "../transport/connection.js";
import { CONFIG_PREFIX, WORKER_PREFIX, type Update, type UpdateStore } from "./update-store.js";
import type { ClusterSize } from "./cluster.js";
import { MessageKind, packClusterSize, withAcknowledgement } from "./messages.js";
import { UpdateFeeds, type UpdateFrame } from "./update-feed.js";
import { packPosition, type UpdatePosition } from "./update-position.js";

const FLUSH_DELAY_US = 4 * MILLISECOND_US;
/** So many updates are read, applied and passed on in one short turn of the event loop. */
const MAX_UPDATES_PER_FRAME = 256;
/** Frames with more updates than these are large: they count for flow control. */
const MAX_SMALL_UPDATES = 16;
/** Children that join within this time of each other get the same snapshot, packed once. */
const SNAPSHOT_REUSE_US = 50 * MILLISECOND_US;
/** Updates may keep the link busy for this long at most, so that keep-alives are in time. */
const WINDOW_US = 400 * MILLISECOND_US;
const MIN_WINDOW_BYTES = 64 * 1024;
const DEFAULT_WINDOW_BYTES = 1024 * 1024;
const BYTES_PER_MEGABIT = 125_000;

/**
 * Updates that must be in force within a bound once they were acknowledged: configuration, and
 * workers that leave.
 */
const isTimeBound = ({ key, body }: Update): boolean =>
  key.startsWith(CONFIG_PREFIX) ||
  (key.startsWith(WORKER_PREFIX) && (body["state"] === "draining" || body["state"] === "gone"));

/** Where a publisher's updates come from, and what carries them. */
export interface UpdatePublisherOptions {
  /**
   * Names this life of a controller, whose updates have positions from here on. Relays pass on the
   * positions of their parents instead.
   */
  readonly origin?: string;
  /** The rate of this machine's link; 0 or left out where it isn't known. */
  readonly linkMbps?: number;
}

const windowBytesOf = (linkMbps: number): number =>
  linkMbps > 0
    ? Math.max(MIN_WINDOW_BYTES, (linkMbps * BYTES_PER_MEGABIT * WINDOW_US) / SECOND_US)
    : DEFAULT_WINDOW_BYTES;

/** A snapshot that was packed lately, and at which state of the updates. */
interface PackedSnapshot {
  readonly frame: UpdateFrame;
  readonly packedUs: number;
  readonly changeCount: number;
  readonly position: UpdatePosition | undefined;
}

/**
 * Hands updates on to the children of this node in the relay tree: everything on joining, then what
 * changed. Invariant: a child has been sent, or has waiting, every update of the store, but for
 * those in `changed`, which the next flush sends.
 */
export class UpdatePublisher {
  readonly events = new Emittery<{
    /** Updates that are binding are being sent, up to this position. */
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
  /** Invariant: all updates up to it are in the store. */
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

  /** Whether updates wait for this child. */
  readonly isBacklogged = (connection: Connection): boolean => this.feeds.isBacklogged(connection);

  /** Adds a child; `protocol` is the version of the update protocol that its hello gave. */
  readonly addChild = (connection: Connection, protocol = 1): void => {
    this.feeds.add(connection, protocol);
    this.feeds.sendTo(connection, this.currentSnapshot());
    connection.send(packClusterSize(this.clusterSize));
  };

  readonly removeChild = (connection: Connection): void => this.feeds.remove(connection);

  /** Takes a child's acknowledgement of a frame. */
  readonly acknowledge = (connection: Connection, acknowledgement: number): void =>
    this.feeds.acknowledge(connection, acknowledgement);

  readonly setClusterSize = (clusterSize: ClusterSize): void => {
    if (JSON.stringify(clusterSize) === JSON.stringify(this.clusterSize)) return;
    this.clusterSize = clusterSize;
    this.sendUnacknowledged(packClusterSize(clusterSize));
  };

  /** Passes on that everything up to a position of the controller has come; for relays. */
  readonly advanceTo = (position: UpdatePosition): void => {
    this.position = position;
    this.isPositionSent = false;
    this.scheduleFlush();
  };

  /**
   * The parent of this relay tells no positions, so its children can't be told any. Those that were
   * look for another parent, or join anew.
   */
  readonly clearPosition = (): void => {
    if (!this.position) return;
    this.position = undefined;
    this.isPositionSent = true;
    this.closeAll();
  };

  /** Tells that every purge acknowledged before so long ago is in what has been sent. */
  readonly sendFreshness = (ageUs: number): void => {
    if (this.changed.size > 0) this.flush();
    this.sendUnacknowledged({ kind: MessageKind.freshness, ageUs });
  };

  /** Sends everything again, for instance once the registry has become complete. */
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

  /** The position comes with the last frame, when all before it have been sent. */
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
