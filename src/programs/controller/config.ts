/**
 * Configuration changes and reads through the admin API, and distribution of the committed
 * configuration to the nodes. A change is received by its route and proposed to the store. Once a
 * quorum has accepted it, the store emits `committed` on every controller, and each posts the items
 * as updates, which the publisher sends to the nodes.
 */
import { err, type Result } from "true-myth/result";
import { parseChangeIncrementally } from "../../config/change-request.js";
import { findProblemOf, toConfigDocument } from "../../config/config-document.js";
import { toConfigUpdate } from "../../config/config-update.js";
import { countByKind, isConfigKey } from "../../config/config-keys.js";
import { serializationOf } from "../../config/customer-keys.js";
import type { Register } from "../../consensus/register.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import {
  EJECTIONS_KEY,
  FORECAST_KEY,
  RETRIES_KEY,
  ROLLOUTS_KEY,
  type NewUpdate,
  type UpdateStore,
} from "../../membership/update-store.js";
import { loggerFor } from "../../common/logger.js";
import { asRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { fromConfigError, fromStoreError, toApiResponse, type AdminApiError } from "./admin-api.js";
import type { VisibilityCheck } from "./visibility-check.js";
import { PUBLISHED_REGISTER } from "./published-state.js";

/** Maps each register that is sent to nodes unchanged to the key of its update. */
const UPDATE_KEYS: Readonly<Record<string, string>> = {
  [PUBLISHED_REGISTER.ejections]: EJECTIONS_KEY,
  [PUBLISHED_REGISTER.forecasts]: FORECAST_KEY,
  [PUBLISHED_REGISTER.canaries]: ROLLOUTS_KEY,
  [PUBLISHED_REGISTER.retryLimits]: RETRIES_KEY,
};

const toPublishedUpdate = (key: string, { version, digest, body }: Register): NewUpdate => ({
  key,
  version,
  tie: digest,
  body: asRecord(parseJson(body)),
});

/**
 * Posts committed items as updates for the nodes. Nodes are moved off a drained zone before they
 * receive the update that announces it.
 */
export const publishCommitted = (
  store: ReplicatedStore,
  updates: UpdateStore,
  sessions: NodeSessions,
): void => {
  const log = loggerFor("config");
  store.events.on("committed", (committed) => {
    const items = committed.filter(({ key }) => isConfigKey(key));
    updates.post(items.map(toConfigUpdate));
    if (items.length > 0)
      log.info("configuration posted to nodes", {
        items: items.length,
        kinds: countByKind(items.map(({ key }) => key)),
        version: Math.max(...items.map(({ version }) => version)),
        sessions: sessions.size,
      });
    if (committed.some(({ key }) => key === PUBLISHED_REGISTER.ejections))
      sessions.evacuateDrainedZone();
    committed.forEach((register) => {
      const key = UPDATE_KEYS[register.key];
      if (key !== undefined) updates.post([toPublishedUpdate(key, register)]);
    });
  });
};

const proposeChange = async (
  store: ReplicatedStore,
  change: readonly Register[],
): Promise<Result<UnknownRecord, AdminApiError>> => {
  const proposed = await store.propose(change, {
    findProblem: findProblemOf(change),
    ...serializationOf(change),
  });
  return proposed.mapErr(fromStoreError).map(() => ({}));
};

const changeConfig = async (
  store: ReplicatedStore,
  visibility: VisibilityCheck,
  request: ApiRequest,
): Promise<ApiResponse> => {
  const log = loggerFor("config");
  log.info("configuration change received", { bytes: request.body.length });
  const change = await parseChangeIncrementally(request.body);
  if (change.isErr) return toApiResponse(err(fromConfigError(change.error)));
  const result = await proposeChange(store, change.value);
  if (result.isOk) await visibility.waitForPeers();
  log.info("configuration change ended", {
    items: change.value.length,
    kinds: countByKind(change.value.map(({ key }) => key)),
    committed: result.isOk,
  });
  return toApiResponse(result);
};

/** Reads the configuration from a quorum. */
const readConfig = async (store: ReplicatedStore): Promise<ApiResponse> => {
  const read = await store.read();
  return toApiResponse(
    read
      .mapErr(fromStoreError)
      .map(() =>
        toConfigDocument(store.committedRegisters().filter(({ key }) => isConfigKey(key))),
      ),
  );
};

/** The routes that change and read the configuration. */
export const configRoutes = (
  store: ReplicatedStore,
  visibility: VisibilityCheck,
): readonly ApiRoute[] => [
  {
    method: "POST",
    path: "/plan/change",
    handle: (request) => changeConfig(store, visibility, request),
  },
  { method: "GET", path: "/plan/read", handle: () => readConfig(store) },
];
