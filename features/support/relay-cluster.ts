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
const FORGET_AFTER_US = 4_000_000;
const CONTROLLER_NAME = "controller";

/** A node of the cluster with its relay components. */
export interface RelayNode {
  readonly name: string;
  readonly address: string;
  readonly subscriber: UpdateSubscriber;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly relay: Listener;
  readonly lag: UpdateLag;
}

/** Link rates of a cluster with a {@link ShapedNet}, in megabits per second. */
export interface LinkRates {
  readonly controllerMbps: number;
  readonly nodeMbps: number;
}

/** Options of {@link RelayCluster}; each cluster needs its own ports. */
export interface RelayClusterOptions {
  readonly clock: ManualClock;
  readonly port: number;
  /** If undefined, links have no bandwidth limit. */
  readonly rates?: LinkRates;
}

/** One controller, and nodes that receive their updates from it or from each other. */
export class RelayCluster {
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly sessions: NodeSessions;
  /** Unexpected disconnects: nodes that left, relays that were lost and sessions that were closed. */
  readonly disconnects: string[] = [];
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
      log: this.disconnectLogger(CONTROLLER_NAME),
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

  /** Starts a node; it joins when the clock advances. */
  readonly addNode = async (number: number): Promise<void> => {
    const { clock, port, rates } = this.options;
    const updates = new UpdateStore(clock);
    const publisher = new UpdatePublisher(clock, updates, () => false, {
      ...(rates ? { linkMbps: rates.nodeMbps } : {}),
    });
    const lag = new UpdateLag({
      clock,
      limitUs: LAG_LIMIT_US,
      disconnectedGraceUs: FORGET_AFTER_US,
    });
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
      log: this.disconnectLogger(name),
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

  /** The relay that feeds a node, or undefined if the controller feeds it directly. */
  readonly parentOf = (node: RelayNode): RelayNode | undefined =>
    this.nodes.find(({ address }) => address === node.subscriber.parentRelay);

  readonly depthOf = (node: RelayNode): number => {
    let depth = 0;
    for (let at = this.parentOf(node); at; at = this.parentOf(at)) {
      depth += 1;
      assert.ok(depth < this.nodes.length, "a relay is below itself in the tree");
    }
    return depth;
  };

  /** Limits what a relay sends its children to keep-alives until {@link releaseRelay} is called. */
  readonly holdRelay = ({ name }: RelayNode): void => this.net?.hold(name);
  readonly releaseRelay = ({ name }: RelayNode): void => this.net?.release(name);

  /** Stops a node without notice, as a crash would. */
  readonly kill = (node: RelayNode): void => {
    this.nodes = this.nodes.filter((other) => other !== node);
    node.subscriber.stop();
    node.relay.close();
  };

  /** Stops the controller. */
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

  /** With a shaped network, the program listens behind the proxy of that network. */
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

  private readonly disconnectLogger = (nodeName: string) => ({
    ...silentLogger,
    info: (message: string, fields = {}) => {
      if (["node left", "relay lost", "session closed"].includes(message))
        this.disconnects.push(`${nodeName}: ${message} ${JSON.stringify(fields)}`);
    },
  });
}
