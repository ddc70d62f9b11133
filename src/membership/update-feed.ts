/**
 * Flow control of updates: how much of them may be on its way to the children of one node, so that
 * its link always has room for keep-alives, requests and other small messages.
 */
import type { Connection, Message } from "../transport/connection.js";
import { encodeFrame } from "../transport/frame-codec.js";

/**
 * The version of the update protocol from which on children acknowledge large frames and take
 * announcements; a node's hello gives its version, and none where it is older.
 */
export const FLOW_CONTROL_PROTOCOL = 2;
/** A child gets at most this part (1/n) of the window, so that a slow one doesn't stop the others. */
const CHILD_WINDOW_DIVISOR = 4;
/** A child that lets more frames than these wait is given up; it joins again with a snapshot. */
const MAX_QUEUED_FRAMES = 4_096;

/** One frame for a child; `acknowledgement` is the number that the child answers it with. */
export interface UpdateFrame {
  readonly message: Message;
  /** Undefined for small frames, which don't count. */
  readonly acknowledgement: number | undefined;
}

/** What waits for one child, and what is on its way to it. */
interface ChildFeed {
  readonly connection: Connection;
  readonly hasFlowControl: boolean;
  readonly queue: UpdateFrame[];
  /** Bytes by the number of the frame. */
  readonly inFlight: Map<number, number>;
  inFlightBytes: number;
}

/**
 * Sends frames to children, to each in order. Invariant: large frames that were sent and not yet
 * acknowledged stay within the window, or are a single frame; children of older versions acknowledge
 * nothing and don't count.
 */
export class UpdateFeeds {
  private readonly feeds = new Map<Connection, ChildFeed>();
  private inFlightBytes = 0;

  /** @param windowBytes - how much may be on its way to all children together */
  constructor(private readonly windowBytes: number) {}

  /** How many children there are. */
  get size(): number {
    this.removeClosed();
    return this.feeds.size;
  }

  /** Adds a child; `protocol` is the version that its hello gave. */
  readonly add = (connection: Connection, protocol: number): void => {
    this.feeds.set(connection, {
      connection,
      hasFlowControl: protocol >= FLOW_CONTROL_PROTOCOL,
      queue: [],
      inFlight: new Map(),
      inFlightBytes: 0,
    });
  };

  /** Removes a child; what is on its way to it no longer counts. */
  readonly remove = (connection: Connection): void => {
    const feed = this.feeds.get(connection);
    if (!feed) return;
    this.feeds.delete(connection);
    this.inFlightBytes -= feed.inFlightBytes;
    this.sendQueued();
  };

  /** Sends a frame to one child, behind what waits for it. */
  readonly sendTo = (connection: Connection, frame: UpdateFrame): void => {
    const feed = this.feeds.get(connection);
    if (!feed) return;
    this.enqueue(feed, frame);
    this.sendQueued();
  };

  /** Sends a frame to every child. */
  readonly sendToAll = (frame: UpdateFrame): void => {
    this.removeClosed();
    this.feeds.forEach((feed) => this.enqueue(feed, frame));
    this.sendQueued();
  };

  /** Takes a child's acknowledgement of a frame. */
  readonly acknowledge = (connection: Connection, acknowledgement: number): void => {
    const feed = this.feeds.get(connection);
    const bytes = feed?.inFlight.get(acknowledgement);
    if (!feed || bytes === undefined) return;
    feed.inFlight.delete(acknowledgement);
    feed.inFlightBytes -= bytes;
    this.inFlightBytes -= bytes;
    this.sendQueued();
  };

  /** Whether frames wait for this child. */
  readonly isBacklogged = (connection: Connection): boolean =>
    (this.feeds.get(connection)?.queue.length ?? 0) > 0;

  /** Closes the connections of all children. */
  readonly closeAll = (): void => this.feeds.forEach(({ connection }) => connection.close());

  private readonly enqueue = (feed: ChildFeed, frame: UpdateFrame): void => {
    if (feed.queue.length >= MAX_QUEUED_FRAMES) feed.connection.close();
    else feed.queue.push(frame);
  };

  /** Sends what the window lets through: a frame a child in turn, so that all get on. */
  private readonly sendQueued = (): void => {
    let hasSent = true;
    while (hasSent) {
      hasSent = false;
      this.feeds.forEach((feed) => {
        if (this.sendNext(feed)) hasSent = true;
      });
    }
  };

  private readonly sendNext = (feed: ChildFeed): boolean => {
    const [frame] = feed.queue;
    if (!frame || feed.connection.isClosed) return false;
    const { message, acknowledgement } = frame;
    const isFlowControlled = feed.hasFlowControl && acknowledgement !== undefined;
    if (isFlowControlled) {
      const bytes = encodeFrame(message).length;
      if (!this.hasRoom(feed, bytes)) return false;
      feed.inFlight.set(acknowledgement, bytes);
      feed.inFlightBytes += bytes;
      this.inFlightBytes += bytes;
    }
    feed.queue.shift();
    feed.connection.send(message);
    return true;
  };

  private readonly hasRoom = (feed: ChildFeed, bytes: number): boolean => {
    if (this.inFlightBytes === 0) return true;
    const isWithinChildWindow =
      feed.inFlightBytes === 0 ||
      feed.inFlightBytes + bytes <= this.windowBytes / CHILD_WINDOW_DIVISOR;
    return isWithinChildWindow && this.inFlightBytes + bytes <= this.windowBytes;
  };

  private readonly removeClosed = (): void => {
    this.feeds.forEach(({ connection }) => {
      if (connection.isClosed) this.remove(connection);
    });
  };
}
