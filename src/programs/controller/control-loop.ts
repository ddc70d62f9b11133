/**
 * The periodic loop of the controller: keeps contact with a quorum and updates everything that
 * depends on it.
 */
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import type { QuorumReader } from "./quorum-reader.js";

const PERIOD_US = SECOND_US;
/** Interval of quorum reads until the first one succeeds. */
const FIRST_READ_PERIOD_US = 100 * MILLISECOND_US;
/**
 * A controller without an answer from a majority for this long stops serving nodes, even if its
 * links appear to be up.
 */
const MAX_CONTACT_AGE_US = 3 * SECOND_US;

/** Dependencies of {@link startControlLoop}. */
export interface ControlLoopOptions {
  readonly clock: Clock;
  readonly quorum: QuorumReader;
  readonly isWithoutQuorum: () => boolean;
  readonly sessions: NodeSessions;
  readonly registry: WorkerRegistry;
  readonly publisher: UpdatePublisher;
  /** Updates the allocation of retry leases; called on every run. */
  readonly refreshRetryLeases: () => void;
}

/**
 * Starts the loop. Every second it closes the nodes' sessions if there is no majority, or else
 * marks silent workers as missing; sends the nodes a snapshot once every worker had time to report;
 * and reads from a quorum.
 *
 * @returns a handle that stops the loop
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
