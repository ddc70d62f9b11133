/**
 * Keeps the workers last known on disk, so that after a loss of every process they need not all be
 * heard again first.
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

/** Changes to the workers within this time share a write. */
const WRITE_DELAY_US = 500 * MILLISECOND_US;

/** What is remembered, and where. */
export interface WorkerMemoryOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly fileSystem: NodeFileSystem;
  readonly registry: WorkerRegistry;
  readonly updates: UpdateStore;
}

/**
 * Restores the workers that were ready when they were last written, and writes them again whenever
 * they change.
 */
export const restoreWorkers = async (options: WorkerMemoryOptions): Promise<void> => {
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
  // What a disk refuses now is in the next snapshot, which holds all workers.
  const writeSoon = debounce(clock, WRITE_DELAY_US, () => void workerLog.writeVerifiedSnapshot());
  updates.events.on("changed", (changed) => {
    if (changed.some(({ key }) => key.startsWith(WORKER_PREFIX))) writeSoon();
  });
};
