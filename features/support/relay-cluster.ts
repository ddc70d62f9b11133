import assert from "node:assert/strict";
import { silentLogger } from "../../src/common/logger.js";
import { relayHandlers } from "../../src/membership/relay-server.js";
import { NodeSessions } from "../../src/membership/node-sessions.js";
import { UpdateLag } from "../../src/membership/update-position.js";
import { UpdatePublisher } from "../../src/membership/update-publisher.js";
import { UpdateStore } from "../../src/membership/update-store.js";
import { UpdateSubscriber } from "../../src/membership/update-subscriber.js";
import { Listener } from "../../src/transport/listener.js";
import type { ManualClock } from "./manual-clock.js";
import { ShapedNet } from "./shaped-net.js";

const TIMES = { heartbeatUs: 300_000, timeoutUs: 1_000_000 };
const LAG_LIMIT_US = 1_500_000;
const CONTACT_US = 4_000_000;
const CONTROLLER_NAME = "controller";

/** A node of the cluster, and what it relays with. */
export interface RelayNode {
  readonly name: string;
  readonly address: string;
  readonly subscriber: UpdateSubscriber;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly relay: Listener;
  readonly lag: UpdateLag;
}

/** The rates of the links of a shaped cluster, in megabits a second. */
export interface LinkRates {
  readonly controllerMbps: number;
  readonly nodeMbps: number;
}

/** What a cluster is made with; each has ports of its own. */
export interface RelayClusterOptions {
  readonly clock: ManualClock;
  readonly port: number;
  /** Without rates, links carry everything at once. */
  readonly rates?: LinkRates;
}

/** One controller, and nodes that get their updates from it and from each other. */
export class RelayCluster {
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly sessions: NodeSessions;
  /** Nodes that left although nobody asked for it, and relays that were lost. */
  readonly disturbances: string[] = [];
  nodes: RelayNode[] = [];
  private readonly net: ShapedNet | undefined;
  private readonly listener: Listener;

  constructor(private readonly options: RelayClusterOptions) {
    const { clock, port, rates } = options;
    const linkOfController = rates ? { linkMbps: rates.controllerMbps } : {};
    this.updates = new UpdateStore(clock);
    this.publisher = new UpdatePublisher(clock, this.updates, () => true, {
      origin: "controller-life-1",
      ...linkOfController,
    });
    this.net = rates ? new ShapedNet(clock) : undefined;
    this.sessions = new NodeSessions({
      clock,
      publisher: this.publisher,
      log: this.disturbanceLogger(CONTROLLER_NAME),
      mayServe: async () => true,
      controllers: () => [{ id: `127.3.0.1:${port}`, zone: "c1" }],
      answer: async (message) => message,
      drainedZone: () => "",
      zone: "c1",
      ...linkOfController,
    });
    this.listener = new Listener(clock, TIMES, { pointsman: this.sessions.serve }, silentLogger);
  }

  readonly start = async (): Promise<void> => {
    const { port, rates } = this.options;
    if (rates) this.net?.addMachine(CONTROLLER_NAME, rates.controllerMbps);
    await this.listen(this.listener, CONTROLLER_NAME, "127.3.0.1", port);
  };

  /** Starts a node; it joins as the clock goes on. */
  readonly addNode = async (number: number): Promise<void> => {
    const { clock, port, rates } = this.options;
    const updates = new UpdateStore(clock);
    const publisher = new UpdatePublisher(clock, updates, () => false, {
      ...(rates ? { linkMbps: rates.nodeMbps } : {}),
    });
    const lag = new UpdateLag({ clock, limitUs: LAG_LIMIT_US, forgetAfterUs: CONTACT_US });
    const name = `n${number}`;
    const ip = `127.3.1.${number}`;
    const subscriber = new UpdateSubscriber({
      name,
      zone: "c1",
      role: "gateway",
      ...(rates ? { linkMbps: rates.nodeMbps } : {}),
      relay: `${ip}:${port + 1}`,
      seeds: [`127.3.0.1:${port}`],
      peerPort: port,
      clock,
      times: TIMES,
      updates,
      lag,
      log: this.disturbanceLogger(name),
    });
    const children = relayHandlers({ subscriber, publisher, log: silentLogger });
    const relay = new Listener(clock, TIMES, children, silentLogger);
    if (rates) this.net?.addMachine(name, rates.nodeMbps);
    await this.listen(relay, name, ip, port + 1);
    void subscriber.run();
    const address = `${ip}:${port + 1}`;
    this.nodes.push({ name, address, subscriber, updates, publisher, relay, lag });
  };

  readonly pass = async (waitMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < waitMs; passedMs += 20) await this.options.clock.pass(20_000);
  };

  /** The relay that a node gets its updates from, or none where the controller sends them. */
  readonly parentOf = (node: RelayNode): RelayNode | undefined =>
    this.nodes.find(({ address }) => address === node.subscriber.parentRelay);

  readonly depthOf = (node: RelayNode): number => {
    let depth = 0;
    for (let at = this.parentOf(node); at; at = this.parentOf(at)) {
      depth += 1;
      assert.ok(depth < this.nodes.length, "a relay hangs below itself");
    }
    return depth;
  };

  /** A relay's children get nothing but keep-alives from it, until it is released. */
  readonly holdRelay = ({ name }: RelayNode): void => this.net?.hold(name);
  readonly releaseRelay = ({ name }: RelayNode): void => this.net?.release(name);

  /** Ends a node without a word. */
  readonly kill = (node: RelayNode): void => {
    this.nodes = this.nodes.filter((other) => other !== node);
    node.subscriber.stop();
    node.relay.close();
  };

  /** Ends the controller. */
  readonly closeController = (): void => this.listener.close();

  readonly close = (): void => {
    this.nodes.forEach(({ subscriber, relay }) => {
      subscriber.stop();
      relay.close();
    });
    this.nodes = [];
    this.listener.close();
    this.net?.close();
  };

  /** Where the net is shaped, the program listens behind it. */
  private readonly listen = async (
    listener: Listener,
    machine: string,
    ip: string,
    port: number,
  ): Promise<void> => {
    const listensAt = this.net ? ip.replace("127.3.", "127.4.") : ip;
    await listener.listen(listensAt, port);
    await this.net?.open({ machine, ip, listensAt, port });
  };

  private readonly disturbanceLogger = (who: string) => ({
    ...silentLogger,
    info: (message: string, fields = {}) => {
      if (["node left", "relay lost", "session closed"].includes(message))
        this.disturbances.push(`${who}: ${message} ${JSON.stringify(fields)}`);
    },
  });
}
