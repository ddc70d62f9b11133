/** Replicates the heartbeats that workers send to this controller to the other controllers. */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { MessageKind, packHeartbeat } from "../../membership/messages.js";
import type { Peers } from "../../membership/peers.js";
import { coalesce, type Clock } from "../../common/clock.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

/**
 * Heartbeats received within this time share a message and a quorum check. The quorum check itself
 * also briefly waits for other callers.
 */
const BATCH_US = 100 * MILLISECOND_US;

/** Dependencies of {@link HeartbeatReplicator}. */
export interface HeartbeatReplicatorOptions {
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly peers: Peers;
}

/**
 * Replicates heartbeats. Invariant: a call is only confirmed by a majority that was asked after the
 * call was made.
 */
export class HeartbeatReplicator {
  /**
   * Resolves to true once a majority that was asked after the call has answered. Pending heartbeats
   * are sent first.
   */
  readonly confirmQuorum: () => Promise<boolean>;
  /** Heartbeats without a state change that are not sent yet; the latest by worker. */
  private readonly pending = new Map<string, Heartbeat>();

  constructor(private readonly options: HeartbeatReplicatorOptions) {
    this.confirmQuorum = coalesce(options.clock, BATCH_US, () => {
      this.sendPending();
      return options.store.confirmQuorum();
    });
  }

  /** Sends a heartbeat with the next batch; true once a majority asked after the call answered. */
  readonly replicateSoon = (heartbeat: Heartbeat): Promise<boolean> => {
    this.pending.set(heartbeat.id, heartbeat);
    return this.confirmQuorum();
  };

  /**
   * Sends a heartbeat immediately; true once a quorum has stored it and a majority asked after the
   * call has answered.
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
