/** Periodic reports of this gateway's counters to the control plane. */
import type { Clock, Timer } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import type { CanaryCounters } from "../../health/canary-counters.js";
import type { FaultCounters } from "../../health/fault-counters.js";
import type { LoadCounters } from "../../health/load-counters.js";
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";

const REPORT_INTERVAL_US = 2 * SECOND_US;
const CANARY_REPORT_INTERVAL_US = 500 * MILLISECOND_US;

/** The reported counters, and the dependencies of the reports. */
export interface ReportsOptions {
  readonly clock: Clock;
  readonly subscriber: UpdateSubscriber;
  readonly faults: FaultCounters;
  readonly canary: CanaryCounters;
  readonly load: LoadCounters;
  readonly workers: WorkerDirectory;
}

/** Starts the periodic reports, and closes idle connections at the interval of the main report. */
export const startReports = ({
  clock,
  subscriber,
  faults,
  canary,
  load,
  workers,
}: ReportsOptions): Timer => {
  const canaryReports = clock.every(CANARY_REPORT_INTERVAL_US, () => {
    const message = canary.takeReport();
    if (message) subscriber.report(message);
  });
  const reports = clock.every(REPORT_INTERVAL_US, () => {
    const faultReport = faults.takeReport();
    if (faultReport) subscriber.report(faultReport);
    const loadReport = load.takeReport();
    if (loadReport) subscriber.report(loadReport);
    workers.evictIdleConnections();
  });
  return {
    stop: () => {
      reports.stop();
      canaryReports.stop();
    },
  };
};
