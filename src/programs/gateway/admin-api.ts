/**
 * The gateway's admin API: readiness for load balancers in front of it, and counters for operators.
 */
import type { UnknownRecord } from "../../common/decode.js";
import type { Worker } from "../../proxy/worker.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";
import type { ApiRoute } from "../http-api.js";
import type { OutcomeCounts } from "./outcome-counts.js";

/** Sources of the admin API's responses. */
export interface AdminApiOptions {
  readonly isReady: () => boolean;
  readonly outcomes: OutcomeCounts;
  readonly workers: WorkerDirectory;
  /** Counters of the object cache; empty if the deployment has none. */
  readonly objectCacheCounters: () => UnknownRecord;
}

const getRoute = (path: string, body: () => UnknownRecord): ApiRoute => ({
  method: "GET",
  path,
  handle: async () => ({ outcome: "taken", body: body() }),
});

/** Routes of the admin API. Operators' tools depend on the paths and field names. */
export const adminRoutes = ({
  isReady,
  outcomes,
  workers,
  objectCacheCounters,
}: AdminApiOptions): readonly ApiRoute[] => {
  const toWorkerRow = (worker: Worker): UnknownRecord => ({
    id: worker.id,
    service: worker.service,
    cell: worker.zone,
    state: worker.state,
    usage: worker.load(0),
    ejected: workers.isEjected(worker),
  });
  return [
    {
      method: "GET",
      path: "/ready",
      handle: async () => ({ outcome: isReady() ? "taken" : "noPlan" }),
    },
    getRoute("/tell/counts", () => ({ counts: outcomes.rows() })),
    getRoute("/tell/goods", () => ({ goods: objectCacheCounters() })),
    getRoute("/tell/workers", () => ({ workers: workers.all().map(toWorkerRow) })),
  ];
};
