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

/** Intervals of the connections between nodes and controllers, in microseconds. */
export const KEEP_ALIVE = { heartbeatUs: 300 * MILLISECOND_US, timeoutUs: 1_000 * MILLISECOND_US };

/**
 * A node that has missed an announced update for this part of the bound rejects requests. The rest
 * of the bound is for the time from an acknowledgement to its announcement.
 */
const LAG_LIMIT_FRACTION = 0.6;

/** The parts of a node that take updates and relay them. */
export interface DataPlaneNode {
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly relay: Listener;
  readonly publisher: UpdatePublisher;
  /** Whether this node lacks updates that it was told of. */
  readonly lag: UpdateLag;
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
  const lag = new UpdateLag({
    clock,
    limitUs: Math.min(settings.applyUs, settings.drainUs) * LAG_LIMIT_FRACTION,
    forgetAfterUs: settings.contactUs,
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
