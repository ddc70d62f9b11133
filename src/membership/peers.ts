import Emittery from "emittery";
import type { Clock } from "../common/clock.js";
import { readList, asString } from "../common/decode.js";
import { splitAddress } from "../common/settings.js";
import type { Message, KeepAliveTimes } from "../transport/connection.js";
import { PeerLink } from "../transport/peer-link.js";
import type { ControllerAddress } from "./cluster.js";
import { packPeerHello, readPeerZone } from "./messages.js";

/** Dependencies of {@link Peers}. */
export interface PeersOptions {
  /** This controller's id: its control address. */
  readonly self: string;
  readonly zone: string;
  readonly peerPort: number;
  readonly clock: Clock;
  readonly times: KeepAliveTimes;
}

/** Links to every other known controller; controllers tell each other which ones they know. */
export class Peers {
  readonly events = new Emittery<{
    connected: string;
    disconnected: string;
    discovered: string;
  }>();
  private readonly links = new Map<string, PeerLink>();
  private readonly zones = new Map<string, string>();

  constructor(private readonly options: PeersOptions) {
    this.zones.set(options.self, options.zone);
  }

  readonly known = (): readonly string[] => [...this.links.keys()];

  readonly isConnected = (id: string): boolean =>
    id === this.options.self || this.links.get(id)?.isConnected === true;

  readonly zoneOf = (id: string): string => this.zones.get(id) ?? "";

  /** Every connected controller with its zone, this one included. */
  readonly connectedControllers = (): readonly ControllerAddress[] =>
    [this.options.self, ...this.known().filter(this.isConnected)].map((id) => ({
      id,
      zone: this.zoneOf(id),
    }));

  readonly hello = (): Message => {
    const { self, zone } = this.options;
    return packPeerHello({ id: self, zone }, [self, ...this.known()]);
  };

  /** Adds the zone and the known controllers stated in a peer's hello or welcome. */
  readonly learnFrom = (hello: Message): void => {
    const zone = readPeerZone(hello);
    if (typeof hello["from"] === "string" && zone !== undefined)
      this.zones.set(hello["from"], zone);
    this.learn(readList(hello, "known", asString));
  };

  readonly learn = (ids: readonly string[]): void => {
    new Set(ids).forEach((id) => {
      if (id !== this.options.self && id !== "" && !this.links.has(id)) this.openLink(id);
    });
  };

  readonly forget = (id: string): void => {
    this.links.get(id)?.stop();
    this.links.delete(id);
  };

  readonly broadcast = (message: Message): void => this.links.forEach((link) => link.send(message));

  readonly request = (id: string, message: Message, waitUs: number): Promise<Message | undefined> =>
    this.links.get(id)?.request(message, waitUs) ?? Promise.resolve(undefined);

  readonly stop = (): void => this.links.forEach((link) => link.stop());

  private readonly openLink = (id: string): void => {
    const { clock, times, peerPort: remotePort } = this.options;
    const link = new PeerLink({
      ip: splitAddress(id).ip,
      port: remotePort,
      clock,
      times,
      connectTimeoutUs: times.timeoutUs,
      backoffUs: times.heartbeatUs,
      hello: this.hello,
    });
    this.links.set(id, link);
    link.events.on("connected", (welcome) => {
      this.learnFrom(welcome);
      void this.events.emit("connected", id);
    });
    link.events.on("disconnected", () => void this.events.emit("disconnected", id));
    void this.events.emit("discovered", id);
    void link.run();
  };
}
