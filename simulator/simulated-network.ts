import { PendingRequests } from "../src/transport/pending-requests.js";
import type { Message } from "../src/transport/connection.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import type { Box } from "./simulated-controller.js";
import type { Chance } from "./seeded-random.js";
import type { World } from "./virtual-time.js";

/** Parts of all messages that are lost, late by up to four seconds, and doubled. */
export interface Noise {
  readonly lost: number;
  readonly late: number;
  readonly doubled: number;
}

export const CALM: Noise = { lost: 0, late: 0, doubled: 0 };

/** The dialling side of a connection, as src/signalling/link.ts keeps it. */
export interface Link {
  readonly asks: PendingRequests;
  /** The life at the other end; undefined while no connection stands. */
  peer: Box | undefined;
  silentSinceUs: number | undefined;
  readySinceUs: number | undefined;
}

interface Envelope {
  readonly from: Box;
  readonly to: Box;
  readonly message: Message;
  readonly sentUs: number;
  /** The newest moment at which `to` sent something that `from` had handled when it sent this. */
  readonly echoUs: number;
}

const POLL_US = 100 * MILLISECOND_US;
const SILENCE_US = 1 * SECOND_US;
const REDIAL_US = 300 * MILLISECOND_US;
const LATE_US = 4 * SECOND_US;
/** Of the messages that a cut holds up, this part comes after it. */
const HELD_PART = 0.5;

const wayOf = (from: string, to: string): string => `${from}>${to}`;

/** Everything between boxes: connections that are given up after a second of silence, and messages that come or don't. */
export class Net {
  noise: Noise = CALM;
  private readonly cuts = new Map<string, number>();
  private held: Envelope[] = [];

  constructor(
    private readonly world: World,
    private readonly chance: Chance,
    private readonly boxOf: (id: string) => Box | undefined,
    private readonly boxes: () => readonly Box[],
  ) {
    this.poll();
  }

  readonly newLink = (box: Box): Link => ({
    asks: new PendingRequests(box.clock),
    peer: undefined,
    silentSinceUs: undefined,
    readySinceUs: undefined,
  });

  readonly cut = (from: string, to: string): void => {
    this.cuts.set(wayOf(from, to), (this.cuts.get(wayOf(from, to)) ?? 0) + 1);
  };

  readonly join = (from: string, to: string): void => {
    const left = (this.cuts.get(wayOf(from, to)) ?? 1) - 1;
    if (left > 0) this.cuts.set(wayOf(from, to), left);
    else this.cuts.delete(wayOf(from, to));
    const free = this.held.filter((envelope) => !this.isCut(envelope.from.id, envelope.to.id));
    this.held = this.held.filter((envelope) => !free.includes(envelope));
    free.filter(() => this.chance.hits(HELD_PART)).forEach((envelope) => this.carry(envelope));
  };

  readonly isCut = (from: string, to: string): boolean => this.cuts.has(wayOf(from, to));

  readonly send = (from: Box, to: Box, message: Message): void => {
    const envelope = { from, to, message, sentUs: this.world.nowUs(), echoUs: from.heardOf(to) };
    if (this.isCut(from.id, to.id)) this.held.push(envelope);
    else this.carry(envelope);
  };

  private readonly carry = (envelope: Envelope): void => {
    const { lost, late, doubled } = this.noise;
    if (this.chance.hits(lost)) return;
    const soonUs = this.chance.whole(300, 3_000);
    this.bring(envelope, this.chance.hits(late) ? this.chance.whole(soonUs, LATE_US) : soonUs);
    if (this.chance.hits(doubled)) this.bring(envelope, this.chance.whole(soonUs, LATE_US));
  };

  /** As on a connection, what is under way reaches only the life that it was sent to. */
  private readonly bring = (
    { from, to, message, sentUs, echoUs }: Envelope,
    inUs: number,
  ): void => {
    this.world.after(inUs, () => to.run(() => to.receive(from, message, sentUs, echoUs)));
  };

  private readonly poll = (): void => {
    this.boxes().forEach((box) => {
      if (box.isAwake && box.isListening) box.links.forEach((link, id) => this.look(box, link, id));
    });
    this.world.after(POLL_US, this.poll);
  };

  private readonly look = (box: Box, link: Link, id: string): void => {
    const nowUs = this.world.nowUs();
    const other = this.boxOf(id);
    const isReady =
      other !== undefined &&
      other.isAwake &&
      other.isListening &&
      !this.isCut(box.id, id) &&
      !this.isCut(id, box.id);
    if (link.peer !== undefined) {
      if (isReady && other === link.peer) {
        link.silentSinceUs = undefined;
        return;
      }
      link.silentSinceUs ??= nowUs;
      const isReset = other !== link.peer && link.peer.wasReset;
      if (!isReset && nowUs - link.silentSinceUs < SILENCE_US) return;
      link.peer = undefined;
      link.silentSinceUs = undefined;
      link.readySinceUs = undefined;
      link.asks.drop();
      return;
    }
    if (!isReady) {
      link.readySinceUs = undefined;
      return;
    }
    link.readySinceUs ??= nowUs;
    if (nowUs - link.readySinceUs < REDIAL_US) return;
    link.peer = other;
    box.learn(other.knows());
    other.learn(box.knows());
  };
}
