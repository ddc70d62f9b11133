import type { Clock, Timer } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message, Connection } from "../transport/connection.js";
import type { UpdateStore } from "./update-store.js";
import type { ClusterSize } from "./cluster.js";
import { MessageKind, packClusterSize } from "./messages.js";

const FLUSH_DELAY_US = 4 * MILLISECOND_US;

/**
 * Hands the news on to the children of this node in the relay tree: everything on joining, then
 * what changed. Invariant: a child has been sent every fact of the board, but for those in
 * `changed`, which the next pulse sends.
 */
export class UpdatePublisher {
  private readonly children = new Set<Connection>();
  private readonly changed = new Set<string>();
  private readonly forgotten = new Set<string>();
  private flushTimer: Timer | undefined;
  private clusterSize: ClusterSize = { gateways: 0, zones: {} };

  constructor(
    private readonly clock: Clock,
    private readonly updates: UpdateStore,
    private readonly isComplete: () => boolean,
  ) {
    updates.events.on("changed", (facts) => {
      facts.forEach((fact) => this.changed.add(fact.key));
      this.flushSoon();
    });
    updates.events.on("forgotten", (keys) => {
      keys.forEach((key) => this.forgotten.add(key));
      this.flushSoon();
    });
  }

  get size(): number {
    this.prune();
    return this.children.size;
  }

  readonly addChild = (connection: Connection): void => {
    this.children.add(connection);
    connection.send(this.snapshotMessage());
    connection.send(packClusterSize(this.clusterSize));
  };

  readonly removeChild = (connection: Connection): void => {
    this.children.delete(connection);
  };

  readonly setClusterSize = (clusterSize: ClusterSize): void => {
    if (JSON.stringify(clusterSize) === JSON.stringify(this.clusterSize)) return;
    this.clusterSize = clusterSize;
    this.sendAll(packClusterSize(clusterSize));
  };

  /** Tells that every purge acknowledged before so long ago is in what has been sent. */
  readonly sendFreshness = (ageUs: number): void => {
    if (this.changed.size > 0) this.flush();
    this.sendAll({ kind: MessageKind.freshness, ageUs });
  };

  /** Sends everything again, for instance once the registry has become complete. */
  readonly sendSnapshot = (): void => this.sendAll(this.snapshotMessage());

  readonly closeAll = (): void => this.children.forEach((connection) => connection.close());

  private readonly snapshotMessage = (): Message => ({
    kind: MessageKind.updates,
    whole: true,
    complete: this.isComplete(),
    facts: this.updates.pack(this.updates.all()),
  });

  private readonly flushSoon = (): void => {
    this.flushTimer ??= this.clock.after(FLUSH_DELAY_US, this.flush);
  };

  private readonly flush = (): void => {
    this.flushTimer?.stop();
    this.flushTimer = undefined;
    const facts = [...this.changed].flatMap((key) => this.updates.get(key) ?? []);
    const forget = [...this.forgotten].filter((key) => this.updates.get(key) === undefined);
    this.changed.clear();
    this.forgotten.clear();
    if (facts.length + forget.length > 0)
      this.sendAll({
        kind: MessageKind.updates,
        whole: false,
        complete: false,
        facts: this.updates.pack(facts),
        forget,
      });
  };

  private readonly sendAll = (message: Message): void => {
    this.prune();
    this.children.forEach((connection) => connection.send(message));
  };

  private readonly prune = (): void => {
    this.children.forEach((connection) => {
      if (connection.isClosed) this.children.delete(connection);
    });
  };
}
