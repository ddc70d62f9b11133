import { UpdateStore } from "../membership/update-store.js";
import { UpdatePublisher } from "../membership/update-publisher.js";
import type { NodeRole } from "../membership/cluster.js";
import { Listener, type SessionHandler } from "../transport/listener.js";
import { UpdateSubscriber, type UpdateSubscriberOptions } from "../membership/update-subscriber.js";
import type { Clock } from "../common/clock.js";
import { loggerFor } from "../common/logger.js";
import type { Settings } from "../common/settings.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message, Connection } from "../transport/connection.js";

/** Intervals of the connections between nodes and controllers, in microseconds. */
export const KEEP_ALIVE = { heartbeatUs: 300 * MILLISECOND_US, timeoutUs: 1_000 * MILLISECOND_US };

/** The parts of a node that take updates and relay them. */
export interface DataPlaneNode {
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly relay: Listener;
  readonly publisher: UpdatePublisher;
}

/**
 * A node of the data plane among the others: its session with a controller, and its place in the
 * relay tree.
 */
export const joinCluster = (
  settings: Settings,
  clock: Clock,
  role: NodeRole,
  receivers: Readonly<Record<string, SessionHandler>> = {},
  answer?: UpdateSubscriberOptions["answer"],
): DataPlaneNode => {
  const log = loggerFor("relay");
  const updates = new UpdateStore(clock);
  const subscriber = new UpdateSubscriber({
    name: settings.name,
    zone: settings.zone,
    role,
    ...(settings.deployment === "" ? {} : { linkMbps: settings.linkMbps }),
    relay: `${settings.ip}:${settings.relayPort}`,
    seeds: settings.seedNodes,
    peerPort: settings.peerPort,
    clock,
    times: KEEP_ALIVE,
    updates,
    log: loggerFor("update-subscriber"),
    ...(answer ? { answer } : {}),
  });
  const publisher = new UpdatePublisher(clock, updates, () => false);
  const serveChild = async (
    connection: Connection,
    _hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    if (!subscriber.isUpToDate) return;
    publisher.addChild(connection);
    for await (const message of incoming)
      log.debug("message from a child ignored", { kind: message.kind });
    publisher.removeChild(connection);
  };
  subscriber.events.on("clusterSize", publisher.setClusterSize);
  subscriber.events.on("freshness", publisher.sendFreshness);
  subscriber.events.on("disconnected", publisher.closeAll);
  return {
    updates,
    subscriber,
    publisher,
    relay: new Listener(clock, KEEP_ALIVE, { child: serveChild, ...receivers }, log),
  };
};
