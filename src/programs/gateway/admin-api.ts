/**
 * The gateway's admin API: readiness for load balancers in front of it, and figures for operators.
 */
import type { UnknownRecord } from "../../common/decode.js";
import type { Worker } from "../../proxy/worker.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";
import type { ApiRoute } from "../http-api.js";
import type { OutcomeCounts } from "./outcome-counts.js";

/** What the admin API reads. */
export interface AdminApiOptions {
  readonly isReady: () => boolean;
  readonly outcomes: OutcomeCounts;
  readonly workers: WorkerDirectory;
  /** The figures of the object cache; empty where the deployment has none. */
  readonly objectCacheFigures: () => UnknownRecord;
}

const query = (path: string, body: () => UnknownRecord): ApiRoute => ({
  method: "GET",
  path,
  handle: async () => ({ outcome: "taken", body: body() }),
});

/** The routes of the admin API. Paths and field names are those that operators' tools read. */
export const adminRoutes = ({
  isReady,
  outcomes,
  workers,
  objectCacheFigures,
}: AdminApiOptions): readonly ApiRoute[] => {
  const rowOf = (worker: Worker): UnknownRecord => ({
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
    query("/tell/counts", () => ({ counts: outcomes.rows() })),
    query("/tell/goods", () => ({ goods: objectCacheFigures() })),
    query("/tell/workers", () => ({ workers: workers.all().map(rowOf) })),
  ];
};
