import { crc32 } from "node:zlib";
import { withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { splitAddress } from "../common/settings.js";
import type { Message } from "../transport/connection.js";
import { PeerLink } from "../transport/peer-link.js";
import { packHello } from "./messages.js";
import type { CacheAddress } from "../membership/cluster.js";

/** Slow pulses, since each ask has a patience of its own and every pointsman holds a link to every depot. */
const TIMES = { heartbeatUs: 1_500 * MILLISECOND_US, timeoutUs: 3_500 * MILLISECOND_US };
const DIAL_US = 500 * MILLISECOND_US;
const REST_US = 300 * MILLISECOND_US;
/** A depot says at once when it has to fetch; one that says nothing for so long is doubtful. */
const PATIENCE_US = 300 * MILLISECOND_US;
const DOUBT_US = 1 * SECOND_US;

interface PeerCache {
  readonly link: PeerLink;
  readonly cell: string;
  heardUs: number;
  doubtfulUntilUs: number;
}

/** How far a cell is from another: 0 itself, 1 in the same region, 2 elsewhere. */
export type Distance = (zone: string) => number;

export const distanceFrom = (zone: string, regions: ReadonlyMap<string, string>): Distance => {
  const region = regions.get(zone);
  return (other) => (other === zone ? 0 : regions.get(other) === region ? 1 : 2);
};

/** The owner of an object among these, by rendezvous. */
export const ownerOf = (key: string, addresses: readonly string[]): string | undefined =>
  [...addresses].sort((a, b) => crc32(`${key}\n${b}`) - crc32(`${key}\n${a}`))[0];

/**
 * Links to the depots. Each object has a first depot, a second and so on: the nearer ones first, and among those as near
 * by rendezvous.
 */
export class PeerCaches {
  private readonly peers = new Map<string, PeerCache>();

  constructor(
    private readonly clock: Clock,
    private readonly distance: Distance = () => 0,
  ) {}

  get isAnyConnected(): boolean {
    return [...this.peers.values()].some(({ link }) => link.isConnected);
  }

  readonly setAddresses = (told: readonly CacheAddress[]): void => {
    const wanted = new Map(told.map(({ address, zone }) => [address, zone]));
    this.peers.forEach((depot, address) => {
      if (wanted.has(address)) return;
      depot.link.stop();
      this.peers.delete(address);
    });
    wanted.forEach((zone, address) => {
      if (!this.peers.has(address)) this.open(address, zone);
    });
  };

  /** Asks one depot alone, such as an object's owner. */
  readonly askOne = (
    address: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> =>
    this.peers.get(address)?.link.request(message, waitUs) ?? Promise.resolve(undefined);

  readonly stop = (): void => this.peers.forEach(({ link }) => link.stop());

  /** Asks the object's depot, and the next one in rank where it is doubtful; undefined when none answers in time. */
  readonly ask = async (
    key: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    const { clock } = this;
    const untilUs = clock.nowUs() + waitUs;
    const ranked = this.rank(key);
    for (const depot of ranked) {
      const askedUs = clock.nowUs();
      if (askedUs >= untilUs) return undefined;
      const reply = depot.link.request(message, untilUs - askedUs);
      const early = await withTimeout(
        clock,
        Math.min(PATIENCE_US, untilUs - askedUs),
        reply,
        "nothing" as const,
      );
      if (early === "nothing") {
        const late =
          depot.heardUs >= askedUs || depot === ranked[ranked.length - 1] ? await reply : undefined;
        if (late) return late;
        depot.doubtfulUntilUs = clock.nowUs() + DOUBT_US;
      } else if (early) {
        depot.heardUs = clock.nowUs();
        return early;
      }
    }
    return undefined;
  };

  private readonly rank = (key: string): readonly PeerCache[] => {
    const nowUs = this.clock.nowUs();
    const standing = [...this.peers].filter(([, { link }]) => link.isConnected);
    const scored = standing.map(([address, depot]) => ({
      depot,
      score:
        crc32(`${key}\n${address}`) -
        2 ** 33 * (this.distance(depot.cell) + (nowUs < depot.doubtfulUntilUs ? 3 : 0)),
    }));
    return scored.sort((a, b) => b.score - a.score).map(({ depot }) => depot);
  };

  private readonly open = (address: string, zone: string): void => {
    const { clock } = this;
    const { ip, port } = splitAddress(address);
    const link = new PeerLink({
      ip,
      port,
      clock,
      times: TIMES,
      connectTimeoutUs: DIAL_US,
      backoffUs: REST_US,
      hello: packHello,
    });
    const depot: PeerCache = { link, cell: zone, heardUs: 0, doubtfulUntilUs: 0 };
    link.events.on("message", () => {
      depot.heardUs = clock.nowUs();
    });
    this.peers.set(address, depot);
    void link.run();
  };
}
