/** The side of a node that relays updates to its children in the relay tree. */
import type { Logger } from "../common/logger.js";
import type { SessionHandler } from "../transport/listener.js";
import { MessageKind, readAcknowledgement, readProtocol } from "./messages.js";
import type { UpdatePublisher } from "./update-publisher.js";
import type { UpdateSubscriber } from "./update-subscriber.js";

/** What children are served with. */
export interface RelayServerOptions {
  readonly subscriber: UpdateSubscriber;
  readonly publisher: UpdatePublisher;
  readonly log: Logger;
}

/**
 * Serves children for as long as their connections last. A node that gets no updates itself serves
 * none.
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
      else log.debug("message from a child ignored", { kind: message.kind });
    }
    publisher.removeChild(connection);
  };
  return { [MessageKind.childHello]: serveChild };
};
