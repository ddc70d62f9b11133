/** Server side of a node that relays updates to its children in the relay tree. */
import type { Logger } from "../common/logger.js";
import type { SessionHandler } from "../transport/listener.js";
import { MessageKind, readAcknowledgement, readProtocol } from "./messages.js";
import type { UpdatePublisher } from "./update-publisher.js";
import type { UpdateSubscriber } from "./update-subscriber.js";

/** Dependencies of {@link relayHandlers}. */
export interface RelayServerOptions {
  readonly subscriber: UpdateSubscriber;
  readonly publisher: UpdatePublisher;
  readonly log: Logger;
}

/**
 * Session handlers that serve children until their connections close. A node that receives no
 * updates itself accepts no children.
 */
export const relayHandlers = ({
  subscriber,
  publisher,
  log,
}: RelayServerOptions): Readonly<Record<string, SessionHandler>> => {
  subscriber.events.on("clusterSize", publisher.setClusterSize);
  subscriber.events.on("freshness", publisher.sendFreshness);
  subscriber.events.on("position", publisher.advanceTo);
  subscriber.events.on("positionUnknown", publisher.clearPosition);
  subscriber.events.on("disconnected", publisher.closeAll);
  const serveChild: SessionHandler = async (connection, hello, incoming) => {
    if (!subscriber.isUpToDate) return;
    publisher.addChild(connection, readProtocol(hello));
    for await (const message of incoming) {
      if (message.kind === MessageKind.acknowledgement)
        publisher.acknowledge(connection, readAcknowledgement(message));
      else log.debug("ignored unexpected message from child", { kind: message.kind });
    }
    publisher.removeChild(connection);
  };
  return { [MessageKind.childHello]: serveChild };
};
