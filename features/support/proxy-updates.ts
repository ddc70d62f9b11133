/** Updates as a proxy server receives them from the control plane. */
import assert from "node:assert/strict";
import { parseChange } from "../../src/config/change-request.js";
import { toConfigUpdate } from "../../src/config/config-update.js";
import { WORKER_PREFIX, type NewUpdate } from "../../src/membership/update-store.js";

/** Returns the updates of a valid configuration change, given as JSON. */
export const configurationUpdates = (change: string): NewUpdate[] => {
  const parsed = parseChange(change);
  assert.ok(parsed.isOk);
  return parsed.value.map(toConfigUpdate);
};

/** Returns the update of a ready worker of service "s1" in zone "c1". */
export const workerUpdate = (
  { id, address }: { readonly id: string; readonly address: string },
  capacity = 3,
): NewUpdate => ({
  key: WORKER_PREFIX + id,
  version: 1,
  tie: "",
  body: { service: "s1", address, cell: "c1", capacity, state: "ready", warmUs: 0 },
});
