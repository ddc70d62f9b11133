import { UpdateStore } from "../membership/update-store.js";
import { UpdatePublisher } from "../membership/update-publisher.js";
import { relayHandlers } from "../membership/relay-server.js";
import { UpdateLag } from "../membership/update-position.js";
import type { NodeRole } from "../membership/cluster.js";
import { Listener, type SessionHandler } from "../transport/listener.js";
import { UpdateSubscriber, type UpdateSubscriberOptions } from "../membership/update-subscriber.js";
import type { Clock } from "../common/clock.js";
import { loggerFor } from "../common/logger.js";
import type { Settings } from "../common/settings.js";
import { MILLISECOND_US } from "../common/duration.js";

/** Keep-alive settings of the connections between nodes and controllers, in microseconds. */
export const KEEP_ALIVE = { heartbeatUs: 300 * MILLISECOND_US, timeoutUs: 1_000 * MILLISECOND_US };

/**
 * A node that lacks an announced update for longer than this fraction of the bound rejects
 * requests. The rest of the bound covers the time from the acknowledgement of a change to its
 * announcement.
 */
const LAG_LIMIT_FRACTION = 0.6;

/** The components of a node that receive and relay updates. */
export interface DataPlaneNode {
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly relay: Listener;
  readonly publisher: UpdatePublisher;
  /** Tracks whether this node lacks updates that were announced to it. */
  readonly lag: UpdateLag;
}

/**
 * Creates the components that connect a data plane node to the cluster: its session with a
 * controller, and its place in the relay tree.
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
  const lag = new UpdateLag({
    clock,
    limitUs: Math.min(settings.applyUs, settings.drainUs) * LAG_LIMIT_FRACTION,
    disconnectedGraceUs: settings.contactUs,
  });
  const subscriber = new UpdateSubscriber({
    name: settings.name,
    zone: settings.zone,
    role,
    linkMbps: settings.linkMbps,
    lag,
    relay: `${settings.ip}:${settings.relayPort}`,
    seeds: settings.seedNodes,
    peerPort: settings.peerPort,
    clock,
    times: KEEP_ALIVE,
    updates,
    log: loggerFor("update-subscriber"),
    ...(answer ? { answer } : {}),
  });
  const publisher = new UpdatePublisher(clock, updates, () => false, {
    linkMbps: settings.linkMbps,
  });
  const relaySessions = relayHandlers({ subscriber, publisher, log });
  return {
    updates,
    subscriber,
    publisher,
    lag,
    relay: new Listener(clock, KEEP_ALIVE, { ...relaySessions, ...receivers }, log),
  };
};
