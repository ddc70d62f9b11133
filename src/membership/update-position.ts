/**
 * Tracks which of its controller's updates a node has received: positions, and the lag behind
 * announced positions.
 */
import type { Clock } from "../common/clock.js";
import { asRecord, readNumber, readString, type UnknownRecord } from "../common/decode.js";

/** A position in the updates of one controller run: includes all updates up to `sequence`. */
export interface UpdatePosition {
  /** Identifies the run of the controller process. */
  readonly origin: string;
  readonly sequence: number;
}

/** Packs a position for a message. */
export const packPosition = ({ origin, sequence }: UpdatePosition): UnknownRecord => ({
  origin,
  sequence,
});

/** Reads a position packed by `packPosition`; undefined if an older version sent none. */
export const readPosition = (value: unknown): UpdatePosition | undefined => {
  if (value === undefined) return undefined;
  const record = asRecord(value, "position");
  return { origin: readString(record, "origin"), sequence: readNumber(record, "sequence") };
};

/** Dependencies and limits of {@link UpdateLag}. */
export interface UpdateLagOptions {
  readonly clock: Clock;
  /** Time after its announcement for which an update may be missing before the node is behind. */
  readonly limitUs: number;
  /**
   * Time after the end of its session for which a node still considers announcements. After that it
   * no longer counts as behind and continues with the updates it has.
   */
  readonly disconnectedGraceUs: number;
}

interface Announcement {
  readonly position: UpdatePosition;
  readonly announcedUs: number;
}

/** Number of most recent controller runs for which the highest received sequence is kept. */
const MAX_ORIGINS = 16;
/** Announcements beyond this number are merged into the last one, which keeps its earlier time. */
const MAX_ANNOUNCEMENTS = 64;

/**
 * Detects whether this node lacks updates that were announced some time ago. Announcements arrive
 * over the session, directly from the controller; the updates themselves may arrive through relays.
 */
export class UpdateLag {
  private announcements: readonly Announcement[] = [];
  private disconnectedUs: number | undefined;
  /**
   * Highest sequence received, by origin. Needed because an update may overtake its announcement.
   */
  private readonly highestSequences = new Map<string, number>();
  /** Whether the parent sends positions. Older versions do not, and the lag is unknown then. */
  private isTracking = false;

  constructor(private readonly options: UpdateLagOptions) {}

  /** Whether an update is missing that was announced longer ago than `limitUs`. */
  readonly isBehind = (): boolean => {
    const [oldest] = this.announcements;
    if (!oldest) return false;
    const { clock, limitUs, disconnectedGraceUs } = this.options;
    const nowUs = clock.nowUs();
    if (this.disconnectedUs !== undefined && nowUs - this.disconnectedUs > disconnectedGraceUs) {
      this.announcements = [];
      return false;
    }
    return nowUs - oldest.announcedUs > limitUs;
  };

  /** Records the announcement that updates up to a position are being sent. */
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

  /** Records that all updates up to a position were received. */
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
   * Records that a snapshot of all updates was received. It supersedes the announcements of other
   * controllers. A parent of an older version states no position, and the lag is unknown then.
   */
  readonly recordSnapshot = (position: UpdatePosition | undefined): void => {
    this.isTracking = position !== undefined;
    this.announcements = this.announcements.filter(
      (announcement) =>
        announcement.position.origin === position?.origin &&
        announcement.position.sequence > position.sequence,
    );
  };

  /** Records that the session was opened. */
  readonly recordConnected = (): void => {
    this.disconnectedUs = undefined;
  };

  /** Records that the session has ended. */
  readonly recordDisconnected = (): void => {
    this.disconnectedUs ??= this.options.clock.nowUs();
  };
}
