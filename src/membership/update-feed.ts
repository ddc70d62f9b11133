/**
 * Flow control of updates: limits the bytes in flight to the children of one node, so that its link
 * always has room for keep-alives, requests and other small messages.
 */
import type { Connection, Message } from "../transport/connection.js";
import { encodeFrame } from "../transport/frame-codec.js";

/**
 * First update protocol version in which children acknowledge large frames and accept
 * announcements. A node states its version in its hello; older nodes state none.
 */
export const FLOW_CONTROL_PROTOCOL = 2;
/** A child may use at most 1/n of the window, so that a slow child does not block the others. */
const CHILD_WINDOW_DIVISOR = 4;
/** A child with more queued frames is disconnected; it reconnects and gets a snapshot. */
const MAX_QUEUED_FRAMES = 4_096;

/** A frame for a child; `acknowledgement` is the number with which the child acknowledges it. */
export interface UpdateFrame {
  readonly message: Message;
  /** Undefined for small frames, which are exempt from flow control. */
  readonly acknowledgement: number | undefined;
}

/** Queued and in-flight frames of one child. */
interface ChildFeed {
  readonly connection: Connection;
  readonly hasFlowControl: boolean;
  readonly queue: UpdateFrame[];
  /** Size in bytes by frame number. */
  readonly inFlight: Map<number, number>;
  inFlightBytes: number;
}

/**
 * Sends frames to children, in order for each child. Invariant: large frames that were sent but not
 * yet acknowledged fit into the window or are a single frame. Children of older versions never
 * acknowledge and are exempt.
 */
export class UpdateFeeds {
  private readonly feeds = new Map<Connection, ChildFeed>();
  private inFlightBytes = 0;

  /** @param windowBytes - maximum number of bytes in flight to all children together */
  constructor(private readonly windowBytes: number) {}

  /** Number of connected children. */
  get size(): number {
    this.removeClosed();
    return this.feeds.size;
  }

  /** Adds a child; `protocol` is the version stated in its hello. */
  readonly add = (connection: Connection, protocol: number): void => {
    this.feeds.set(connection, {
      connection,
      hasFlowControl: protocol >= FLOW_CONTROL_PROTOCOL,
      queue: [],
      inFlight: new Map(),
      inFlightBytes: 0,
    });
  };

  /** Removes a child; its in-flight frames no longer count against the window. */
  readonly remove = (connection: Connection): void => {
    const feed = this.feeds.get(connection);
    if (!feed) return;
    this.feeds.delete(connection);
    this.inFlightBytes -= feed.inFlightBytes;
    this.sendQueued();
  };

  /** Sends a frame to one child, after the frames already queued for it. */
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

  /** Handles a child's acknowledgement of a frame. */
  readonly acknowledge = (connection: Connection, acknowledgement: number): void => {
    const feed = this.feeds.get(connection);
    const bytes = feed?.inFlight.get(acknowledgement);
    if (!feed || bytes === undefined) return;
    feed.inFlight.delete(acknowledgement);
    feed.inFlightBytes -= bytes;
    this.inFlightBytes -= bytes;
    this.sendQueued();
  };

  /** Whether frames are queued for this child. */
  readonly isBacklogged = (connection: Connection): boolean =>
    (this.feeds.get(connection)?.queue.length ?? 0) > 0;

  /** Closes the connections of all children. */
  readonly closeAll = (): void => this.feeds.forEach(({ connection }) => connection.close());

  private readonly enqueue = (feed: ChildFeed, frame: UpdateFrame): void => {
    if (feed.queue.length >= MAX_QUEUED_FRAMES) feed.connection.close();
    else feed.queue.push(frame);
  };

  /** Sends what fits into the window, one frame per child in turn so that no child starves. */
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
