/** Connections to caches, and the placement of objects on them. */
import { crc32 } from "node:zlib";
import { withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { splitAddress } from "../common/settings.js";
import type { Message } from "../transport/connection.js";
import { PeerLink } from "../transport/peer-link.js";
import { packHello } from "./messages.js";
import type { CacheAddress } from "../membership/cluster.js";

/**
 * The intervals are long, since each request has its own timeout and every gateway connects to
 * every cache.
 */
const LINK_TIMES = { heartbeatUs: 1_500 * MILLISECOND_US, timeoutUs: 3_500 * MILLISECOND_US };
const CONNECT_TIMEOUT_US = 500 * MILLISECOND_US;
const RECONNECT_BACKOFF_US = 300 * MILLISECOND_US;
/**
 * A cache announces promptly that it has to fetch, so one that stays silent for this long is
 * suspected to have failed.
 */
const FIRST_REPLY_TIMEOUT_US = 300 * MILLISECOND_US;
const SUSPECT_DURATION_US = 1 * SECOND_US;

interface PeerCache {
  readonly link: PeerLink;
  readonly zone: string;
  lastMessageAtUs: number;
  suspectedUntilUs: number;
}

/**
 * Distance of a zone from a given one: 0 for the zone itself, 1 in the same region, 2 elsewhere.
 */
export type Distance = (zone: string) => number;

/** Distances from a zone, given the region of each zone. */
export const zoneDistance = (zone: string, regions: ReadonlyMap<string, string>): Distance => {
  const region = regions.get(zone);
  return (other) => {
    if (other === zone) return 0;
    return regions.get(other) === region ? 1 : 2;
  };
};

/** The address that owns an object, chosen by rendezvous hashing. */
export const ownerOf = (key: string, addresses: readonly string[]): string | undefined =>
  [...addresses].sort((a, b) => crc32(`${key}\n${b}`) - crc32(`${key}\n${a}`))[0];

/**
 * Connections to the caches. For each object the caches are ranked by distance, and at the same
 * distance by rendezvous hashing; suspected ones come last.
 */
export class PeerCaches {
  private readonly peers = new Map<string, PeerCache>();

  constructor(
    private readonly clock: Clock,
    private readonly distance: Distance = () => 0,
  ) {}

  /** Whether at least one cache is connected. */
  get isAnyConnected(): boolean {
    return [...this.peers.values()].some(({ link }) => link.isConnected);
  }

  /** Connects to the caches of this list, and disconnects from all others. */
  readonly setAddresses = (addresses: readonly CacheAddress[]): void => {
    const zonesByAddress = new Map(addresses.map(({ address, zone }) => [address, zone]));
    this.peers.forEach((cache, address) => {
      if (zonesByAddress.has(address)) return;
      cache.link.stop();
      this.peers.delete(address);
    });
    zonesByAddress.forEach((zone, address) => {
      if (!this.peers.has(address)) this.connect(address, zone);
    });
  };

  /** Sends a request to one cache only, such as the owner of an object. */
  readonly requestFrom = (
    address: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> =>
    this.peers.get(address)?.link.request(message, waitUs) ?? Promise.resolve(undefined);

  /** Closes every connection. */
  readonly stop = (): void => this.peers.forEach(({ link }) => link.stop());

  /**
   * Sends a request to the highest-ranked cache of an object, and to the next one if that gives no
   * reply. Resolves to undefined if none replies in time.
   */
  readonly request = async (
    key: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    const { clock } = this;
    const deadlineUs = clock.nowUs() + waitUs;
    const ranked = this.rank(key);
    for (const cache of ranked) {
      const sentAtUs = clock.nowUs();
      if (sentAtUs >= deadlineUs) return undefined;
      const reply = cache.link.request(message, deadlineUs - sentAtUs);
      const promptReply = await withTimeout(
        clock,
        Math.min(FIRST_REPLY_TIMEOUT_US, deadlineUs - sentAtUs),
        reply,
        "silent" as const,
      );
      if (promptReply === "silent") {
        const lateReply =
          cache.lastMessageAtUs >= sentAtUs || cache === ranked[ranked.length - 1]
            ? await reply
            : undefined;
        if (lateReply) return lateReply;
        cache.suspectedUntilUs = clock.nowUs() + SUSPECT_DURATION_US;
      } else if (promptReply) {
        cache.lastMessageAtUs = clock.nowUs();
        return promptReply;
      }
    }
    return undefined;
  };

  private readonly rank = (key: string): readonly PeerCache[] => {
    const nowUs = this.clock.nowUs();
    const connected = [...this.peers].filter(([, { link }]) => link.isConnected);
    const scored = connected.map(([address, cache]) => ({
      cache,
      score:
        crc32(`${key}\n${address}`) -
        2 ** 33 * (this.distance(cache.zone) + (nowUs < cache.suspectedUntilUs ? 3 : 0)),
    }));
    return scored.sort((a, b) => b.score - a.score).map(({ cache }) => cache);
  };

  private readonly connect = (address: string, zone: string): void => {
    const { clock } = this;
    const { ip, port } = splitAddress(address);
    const link = new PeerLink({
      ip,
      port,
      clock,
      times: LINK_TIMES,
      connectTimeoutUs: CONNECT_TIMEOUT_US,
      backoffUs: RECONNECT_BACKOFF_US,
      hello: packHello,
    });
    const cache: PeerCache = { link, zone, lastMessageAtUs: 0, suspectedUntilUs: 0 };
    link.events.on("message", () => {
      cache.lastMessageAtUs = clock.nowUs();
    });
    this.peers.set(address, cache);
    void link.run();
  };
}
