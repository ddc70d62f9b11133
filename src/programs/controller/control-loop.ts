/**
 * The loop that keeps the controller in touch with a quorum and looks after what depends on that.
 */
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import type { QuorumReader } from "./quorum-reader.js";

const PERIOD_US = SECOND_US;
/** How often a quorum is read until the first reading. */
const FIRST_READ_PERIOD_US = 100 * MILLISECOND_US;
/**
 * A controller that no majority has answered for so long serves no nodes, also where its links seem
 * to be up.
 */
const MAX_CONTACT_AGE_US = 3 * SECOND_US;

/** What the loop looks after. */
export interface ControlLoopOptions {
  readonly clock: Clock;
  readonly quorum: QuorumReader;
  readonly isWithoutQuorum: () => boolean;
  readonly sessions: NodeSessions;
  readonly registry: WorkerRegistry;
  readonly publisher: UpdatePublisher;
  /** Looks after the leases of retries. */
  readonly refreshRetryLeases: () => void;
}

/**
 * Every second: ends the nodes' sessions where no majority is reached, or marks workers as missing
 * where one is; sends the nodes a snapshot once every worker could be heard; and reads a quorum.
 *
 * @returns what ends the loop
 */
export const startControlLoop = (options: ControlLoopOptions): { readonly close: () => void } => {
  const { clock, quorum, isWithoutQuorum, sessions, registry, publisher } = options;
  let wasComplete = false;
  const runOnce = (): void => {
    if (isWithoutQuorum() || quorum.freshness.contactAgeUs() > MAX_CONTACT_AGE_US) {
      quorum.freshness.recordCutOff();
      sessions.closeAll();
    } else registry.sweep();
    options.refreshRetryLeases();
    if (!wasComplete && registry.isComplete()) publisher.sendSnapshot();
    wasComplete = registry.isComplete();
    void quorum.refresh();
  };
  const firstReadTimer = clock.every(FIRST_READ_PERIOD_US, () => {
    if (quorum.freshness.hasRead) firstReadTimer.stop();
    else void quorum.refresh();
  });
  const periodicTimer = clock.every(PERIOD_US, runOnce);
  return {
    close: () => {
      periodicTimer.stop();
      firstReadTimer.stop();
    },
  };
};
