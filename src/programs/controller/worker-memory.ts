/**
 * Persists the known workers, so that after a restart of all controllers they are available before
 * every worker has sent a heartbeat.
 */
import { join } from "node:path";
import { NodeFileSystem } from "../../storage/file-system.js";
import { WriteAheadLog } from "../../storage/write-ahead-log.js";
import { packHeartbeat, readSharedHeartbeat } from "../../membership/messages.js";
import { WORKER_PREFIX, type UpdateStore } from "../../membership/update-store.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import { debounce, type Clock } from "../../common/clock.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Settings } from "../../common/settings.js";

/** Changes of workers within this time share one write. */
const WRITE_DELAY_US = 500 * MILLISECOND_US;

/** Dependencies of {@link restoreWorkers}. */
export interface WorkerPersistenceOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly fileSystem: NodeFileSystem;
  readonly registry: WorkerRegistry;
  readonly updates: UpdateStore;
}

/** Restores the workers that were ready at the last write, and writes them on every change. */
export const restoreWorkers = async (options: WorkerPersistenceOptions): Promise<void> => {
  const { settings, clock, fileSystem, registry, updates } = options;
  const workerLog = new WriteAheadLog({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "workers"),
    fileSystem,
    snapshot: () =>
      registry
        .all()
        .filter((heartbeat) => heartbeat.state === "ready")
        .map(packHeartbeat),
  });
  const loaded = await workerLog.load();
  if (loaded.kind !== "empty") registry.restore(loaded.records.map(readSharedHeartbeat));
  // A failed write is made up for by the next snapshot, which contains all workers.
  const writeSoon = debounce(clock, WRITE_DELAY_US, () => void workerLog.writeVerifiedSnapshot());
  updates.events.on("changed", (changed) => {
    if (changed.some(({ key }) => key.startsWith(WORKER_PREFIX))) writeSoon();
  });
};
