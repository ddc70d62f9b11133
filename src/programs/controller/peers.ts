/** Creates the links to the other controllers. */
import { Peers } from "../../membership/peers.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { KEEP_ALIVE } from "../data-plane-node.js";

/** Creates the links without connecting any, and logs when a link goes up or down. */
export const openPeers = (settings: Settings, clock: Clock): Peers => {
  const log = loggerFor("controller");
  const peers = new Peers({
    self: settings.control,
    zone: settings.zone,
    peerPort: settings.peerPort,
    clock,
    times: KEEP_ALIVE,
  });
  peers.events.on("connected", (peer) => log.info("link to peer is up", { peer }));
  peers.events.on("disconnected", (peer) => log.info("link to peer is down", { peer }));
  return peers;
};
