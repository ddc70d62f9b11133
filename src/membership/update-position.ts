/**
 * How far a node has come in the updates of its controller: positions, and the lag behind what was
 * announced.
 */
import type { Clock } from "../common/clock.js";
import { asRecord, readNumber, readString, type UnknownRecord } from "../common/decode.js";

/** A place in the updates of one controller's life: all up to `sequence` are included. */
export interface UpdatePosition {
  /** Names the controller's life. */
  readonly origin: string;
  readonly sequence: number;
}

/** A position as messages carry it. */
export const packPosition = ({ origin, sequence }: UpdatePosition): UnknownRecord => ({
  origin,
  sequence,
});

/** Reads what `packPosition` gave; undefined where a message of an older version has none. */
export const readPosition = (value: unknown): UpdatePosition | undefined => {
  if (value === undefined) return undefined;
  const record = asRecord(value, "position");
  return { origin: readString(record, "origin"), sequence: readNumber(record, "sequence") };
};

/** What an `UpdateLag` is made with. */
export interface UpdateLagOptions {
  readonly clock: Clock;
  /** How long after its announcement an update may be missing before the node counts as behind. */
  readonly limitUs: number;
  /**
   * How long after the end of its session a node still takes announcements into account; from then
   * on it is out of touch and goes on with what it has.
   */
  readonly forgetAfterUs: number;
}

interface Announcement {
  readonly position: UpdatePosition;
  readonly announcedUs: number;
}

/** Of how many controllers' lives it is remembered how far this node has come; the latest ones. */
const MAX_ORIGINS = 16;
/** More announcements than these are merged into the last one kept, with its earlier time. */
const MAX_ANNOUNCEMENTS = 64;

/**
 * Tells whether this node lacks updates that were announced some time ago. Announcements come over
 * the session, straight from the controller; the updates themselves may come by way of relays.
 */
export class UpdateLag {
  private announcements: readonly Announcement[] = [];
  private disconnectedUs: number | undefined;
  /** By origin, the highest sequence reached: an update may overtake its announcement. */
  private readonly highestSequences = new Map<string, number>();
  /** Whether the parent tells positions; one of an older version doesn't, and nothing is known then. */
  private isTracking = false;

  constructor(private readonly options: UpdateLagOptions) {}

  /** Whether an update is missing that was announced longer ago than the limit. */
  readonly isBehind = (): boolean => {
    const [oldest] = this.announcements;
    if (!oldest) return false;
    const { clock, limitUs, forgetAfterUs } = this.options;
    const nowUs = clock.nowUs();
    if (this.disconnectedUs !== undefined && nowUs - this.disconnectedUs > forgetAfterUs) {
      this.announcements = [];
      return false;
    }
    return nowUs - oldest.announcedUs > limitUs;
  };

  /** Takes the announcement that updates up to a position are on their way. */
  readonly announce = (position: UpdatePosition): void => {
    if (!this.isTracking) return;
    if ((this.highestSequences.get(position.origin) ?? -1) >= position.sequence) return;
    const last = this.announcements.at(-1);
    const isFull = this.announcements.length >= MAX_ANNOUNCEMENTS;
    if (last && isFull && last.position.origin === position.origin)
      this.announcements = [...this.announcements.slice(0, -1), { ...last, position }];
    else
      this.announcements = [
        ...this.announcements,
        { position, announcedUs: this.options.clock.nowUs() },
      ];
  };

  /** Notes that all updates up to a position have come. */
  readonly recordPosition = ({ origin, sequence }: UpdatePosition): void => {
    this.isTracking = true;
    this.recordSequence(origin, sequence);
    this.announcements = this.announcements.filter(
      ({ position }) => position.origin !== origin || position.sequence > sequence,
    );
  };

  private readonly recordSequence = (origin: string, sequence: number): void => {
    const highest = Math.max(sequence, this.highestSequences.get(origin) ?? 0);
    this.highestSequences.delete(origin);
    this.highestSequences.set(origin, highest);
    const [oldest] = this.highestSequences.keys();
    if (this.highestSequences.size > MAX_ORIGINS && oldest !== undefined)
      this.highestSequences.delete(oldest);
  };

  /**
   * Notes a snapshot of all updates. It settles what other controllers announced; a parent of an
   * older version gives no position, and nothing can be told then.
   */
  readonly recordSnapshot = (position: UpdatePosition | undefined): void => {
    this.isTracking = position !== undefined;
    this.announcements = this.announcements.filter(
      (announcement) =>
        announcement.position.origin === position?.origin &&
        announcement.position.sequence > position.sequence,
    );
  };

  /** Notes that the session has opened. */
  readonly recordConnected = (): void => {
    this.disconnectedUs = undefined;
  };

  /** Notes that the session has ended. */
  readonly recordDisconnected = (): void => {
    this.disconnectedUs ??= this.options.clock.nowUs();
  };
}
