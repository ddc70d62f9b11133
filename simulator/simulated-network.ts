/**
 * The network between simulated controllers: connections with time-outs, and messages that are
 * lost, delayed, duplicated or blocked by partitions.
 */
import { PendingRequests } from "../src/transport/pending-requests.js";
import type { Message } from "../src/transport/connection.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import type { SimulatedController } from "./simulated-controller.js";
import type { SeededRandom } from "./seeded-random.js";
import type { VirtualTime } from "./virtual-time.js";

/** The probabilities that a message is lost, delayed by up to 4 s, or delivered twice. */
export interface NetworkNoise {
  readonly lossProbability: number;
  readonly delayProbability: number;
  readonly duplicateProbability: number;
}

export const NO_NOISE: NetworkNoise = {
  lossProbability: 0,
  delayProbability: 0,
  duplicateProbability: 0,
};

/** The dialling side of a connection, like src/transport/peer-link.ts. */
export interface Link {
  readonly requests: PendingRequests;
  /** The process at the other end; undefined while not connected. */
  peer: SimulatedController | undefined;
  silentSinceUs: number | undefined;
  readySinceUs: number | undefined;
}

interface Envelope {
  readonly from: SimulatedController;
  readonly to: SimulatedController;
  readonly message: Message;
  readonly sentUs: number;
  /** The send time of the latest message from `to` that `from` had received when it sent this. */
  readonly echoUs: number;
}

const LINK_CHECK_INTERVAL_US = 100 * MILLISECOND_US;
const CONNECTION_TIMEOUT_US = 1 * SECOND_US;
const RECONNECT_DELAY_US = 300 * MILLISECOND_US;
const MAX_DELAY_US = 4 * SECOND_US;
/** The share of the messages blocked by a partition that is delivered after it heals. */
const DELIVERED_AFTER_PARTITION = 0.5;

const directionKey = (from: string, to: string): string => `${from}>${to}`;

/**
 * Connects controllers, closes connections after 1 s without contact, and delivers or drops
 * messages.
 */
export class SimulatedNetwork {
  noise: NetworkNoise = NO_NOISE;
  private readonly partitions = new Map<string, number>();
  private pending: Envelope[] = [];

  constructor(
    private readonly time: VirtualTime,
    private readonly random: SeededRandom,
    private readonly controllerOf: (id: string) => SimulatedController | undefined,
    private readonly controllers: () => readonly SimulatedController[],
  ) {
    this.updateLinks();
  }

  readonly newLink = (controller: SimulatedController): Link => ({
    requests: new PendingRequests(controller.clock),
    peer: undefined,
    silentSinceUs: undefined,
    readySinceUs: undefined,
  });

  readonly partition = (from: string, to: string): void => {
    this.partitions.set(
      directionKey(from, to),
      (this.partitions.get(directionKey(from, to)) ?? 0) + 1,
    );
  };

  readonly heal = (from: string, to: string): void => {
    const left = (this.partitions.get(directionKey(from, to)) ?? 1) - 1;
    if (left > 0) this.partitions.set(directionKey(from, to), left);
    else this.partitions.delete(directionKey(from, to));
    const released = this.pending.filter(
      (envelope) => !this.isPartitioned(envelope.from.id, envelope.to.id),
    );
    this.pending = this.pending.filter((envelope) => !released.includes(envelope));
    released
      .filter(() => this.random.occurs(DELIVERED_AFTER_PARTITION))
      .forEach((envelope) => this.transmit(envelope));
  };

  readonly isPartitioned = (from: string, to: string): boolean =>
    this.partitions.has(directionKey(from, to));

  readonly send = (from: SimulatedController, to: SimulatedController, message: Message): void => {
    const envelope = {
      from,
      to,
      message,
      sentUs: this.time.nowUs(),
      echoUs: from.lastHeardFromUs(to),
    };
    if (this.isPartitioned(from.id, to.id)) this.pending.push(envelope);
    else this.transmit(envelope);
  };

  private readonly transmit = (envelope: Envelope): void => {
    const {
      lossProbability: lossRate,
      delayProbability: delayRate,
      duplicateProbability: duplicateRate,
    } = this.noise;
    if (this.random.occurs(lossRate)) return;
    const usualDelayUs = this.random.integer(300, 3_000);
    this.deliverAfter(
      envelope,
      this.random.occurs(delayRate)
        ? this.random.integer(usualDelayUs, MAX_DELAY_US)
        : usualDelayUs,
    );
    if (this.random.occurs(duplicateRate))
      this.deliverAfter(envelope, this.random.integer(usualDelayUs, MAX_DELAY_US));
  };

  /** Delivers only to the process that the message was sent to, as a real connection does. */
  private readonly deliverAfter = (
    { from, to, message, sentUs, echoUs }: Envelope,
    delayUs: number,
  ): void => {
    this.time.after(delayUs, () => to.run(() => to.receive(from, message, sentUs, echoUs)));
  };

  private readonly updateLinks = (): void => {
    this.controllers().forEach((controller) => {
      if (controller.isRunning && controller.isListening)
        controller.links.forEach((link, id) => this.updateLink(controller, link, id));
    });
    this.time.after(LINK_CHECK_INTERVAL_US, this.updateLinks);
  };

  private readonly updateLink = (controller: SimulatedController, link: Link, id: string): void => {
    const nowUs = this.time.nowUs();
    const other = this.controllerOf(id);
    const isReady =
      other !== undefined &&
      other.isRunning &&
      other.isListening &&
      !this.isPartitioned(controller.id, id) &&
      !this.isPartitioned(id, controller.id);
    if (link.peer !== undefined) {
      if (isReady && other === link.peer) {
        link.silentSinceUs = undefined;
        return;
      }
      link.silentSinceUs ??= nowUs;
      const isReset = other !== link.peer && link.peer.resetsConnections;
      if (!isReset && nowUs - link.silentSinceUs < CONNECTION_TIMEOUT_US) return;
      link.peer = undefined;
      link.silentSinceUs = undefined;
      link.readySinceUs = undefined;
      link.requests.abandonAll();
      return;
    }
    if (!isReady) {
      link.readySinceUs = undefined;
      return;
    }
    link.readySinceUs ??= nowUs;
    if (nowUs - link.readySinceUs < RECONNECT_DELAY_US) return;
    link.peer = other;
    controller.addPeers(other.knownIds());
    other.addPeers(controller.knownIds());
  };
}
