/** Sends the heartbeats that workers report here on to the other controllers. */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { MessageKind, packHeartbeat } from "../../membership/messages.js";
import type { Peers } from "../../membership/peers.js";
import { coalesce, type Clock } from "../../common/clock.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

/**
 * Heartbeats that come within this time of each other share a message and a quorum check, which
 * waits a little for others itself.
 */
const BATCH_US = 100 * MILLISECOND_US;

/** What heartbeats are replicated with. */
export interface HeartbeatReplicatorOptions {
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly peers: Peers;
}

/**
 * Replicates heartbeats.
 * Invariant: what is confirmed here was confirmed by a majority that was asked after the call.
 */
export class HeartbeatReplicator {
  /**
   * Resolves to true once a majority answered after the call; heartbeats pending by then are sent
   * before.
   */
  readonly confirmQuorum: () => Promise<boolean>;
  /** Heartbeats that change nothing, not yet sent; the newest of each worker. */
  private readonly pending = new Map<string, Heartbeat>();

  constructor(private readonly options: HeartbeatReplicatorOptions) {
    this.confirmQuorum = coalesce(options.clock, BATCH_US, () => {
      this.sendPending();
      return options.store.confirmQuorum();
    });
  }

  /** Sends a heartbeat with the next batch; true once a majority was heard after the call. */
  readonly replicateSoon = (heartbeat: Heartbeat): Promise<boolean> => {
    this.pending.set(heartbeat.id, heartbeat);
    return this.confirmQuorum();
  };

  /**
   * Sends a heartbeat at once; true once a quorum holds it and a majority was heard after the call.
   */
  readonly replicateToQuorum = async (heartbeat: Heartbeat): Promise<boolean> => {
    const { store, peers } = this.options;
    const message: Message = { kind: MessageKind.heartbeats, beats: [packHeartbeat(heartbeat)] };
    peers
      .known()
      .filter((id) => !store.members().includes(id))
      .forEach((id) => void peers.request(id, message, WRITE_TIMEOUT_US));
    const [stored, isConfirmed] = await Promise.all([
      store.callQuorum(
        message,
        (reply) => reply.kind === MessageKind.heartbeatsTaken,
        async () => true,
        WRITE_TIMEOUT_US,
      ),
      store.confirmQuorum(),
    ]);
    return stored.isOk && isConfirmed;
  };

  private readonly sendPending = (): void => {
    if (this.pending.size > 0)
      this.options.peers.broadcast({
        kind: MessageKind.heartbeats,
        beats: [...this.pending.values()].map(packHeartbeat),
      });
    this.pending.clear();
  };
}
