/**
 * Evacuations of zones: while a zone is evacuated, nothing is sent to its workers. An operator's
 * order is decided as a register, like an item of the configuration, and posted to the nodes as an
 * update. After its end the zone is `returning` until every worker that may have turned cold
 * meanwhile is warm again; then the leader marks it as open.
 */
import { err } from "true-myth/result";
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { Register } from "../../consensus/register.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import {
  packEvacuationState,
  readEvacuationState,
  type EvacuationState,
} from "../../membership/evacuation.js";
import { EVACUATION_PREFIX, type UpdateStore } from "../../membership/update-store.js";
import type { Clock, Timer } from "../../common/clock.js";
import { asRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { SECOND_US } from "../../common/duration.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { failureResponse, fromStoreError, pathArgument, toApiResponse } from "./admin-api.js";
import type { VisibilityCheck } from "./visibility-check.js";

/** Prefix of the registers; followed by the zone. Stored, so it must not change. */
const REGISTER_PREFIX = "evacuation/";
/**
 * An order that could not be decided within this time is given up, since the operator has sent it
 * again, or a later one, in the meantime.
 */
const ORDER_LIFETIME_US = 2 * SECOND_US;
const CHECK_PERIOD_US = SECOND_US;

/** Dependencies of {@link Evacuations}. */
export interface EvacuationsOptions {
  readonly settings: Pick<Settings, "regions">;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly updates: UpdateStore;
  readonly visibility: VisibilityCheck;
  /** The longest warm-up of any service. */
  readonly longestWarmUpUs: () => number;
}

interface KnownZone {
  readonly register: Register;
  readonly state: EvacuationState;
  /** When this controller learned of the state. */
  readonly sinceUs: number;
}

const encode = (state: EvacuationState): string => JSON.stringify(packEvacuationState(state));

/** The evacuated and returning zones, and the operator's calls that change them. */
export class Evacuations {
  readonly routes: readonly ApiRoute[];
  private readonly zones = new Map<string, KnownZone>();
  private timer: Timer | undefined;

  constructor(private readonly options: EvacuationsOptions) {
    const route = (order: string, state: EvacuationState): ApiRoute => ({
      method: "POST",
      path: `/evacuate/*/${order}`,
      handle: (request) => this.handle(request, state),
    });
    this.routes = [route("start", "evacuated"), route("end", "returning")];
    options.store.events.on("committed", (registers) =>
      registers.filter(({ key }) => key.startsWith(REGISTER_PREFIX)).forEach(this.apply),
    );
  }

  readonly start = (): void => {
    this.timer = this.options.clock.every(CHECK_PERIOD_US, () => void this.openReturnedZones());
  };

  readonly close = (): void => this.timer?.stop();

  /** Whether nothing may be sent to the workers of the zone. */
  readonly isEvacuated = (zone: string): boolean => this.zones.get(zone)?.state === "evacuated";

  /** When the evacuation of the zone ended; undefined if there was none lately. */
  readonly returnedUs = (zone: string): number | undefined => {
    const known = this.zones.get(zone);
    return known?.state === "returning" ? known.sinceUs : undefined;
  };

  /** The zones that are not open, for operators. */
  readonly describe = (): readonly UnknownRecord[] =>
    [...this.zones]
      .filter(([, { state }]) => state !== "open")
      .map(([zone, { state }]) => ({ cell: zone, state }));

  private readonly apply = (register: Register): void => {
    const zone = register.key.slice(REGISTER_PREFIX.length);
    const state = readEvacuationState(asRecord(parseJson(register.body)));
    this.zones.set(zone, { register, state, sinceUs: this.options.clock.nowUs() });
    this.options.updates.post([
      {
        key: EVACUATION_PREFIX + zone,
        version: register.version,
        tie: "",
        body: packEvacuationState(state),
      },
    ]);
    loggerFor("evacuations").info("evacuation posted to nodes", { zone, state });
  };

  private readonly handle = async (
    request: ApiRequest,
    state: EvacuationState,
  ): Promise<ApiResponse> => {
    const { settings, visibility } = this.options;
    const zone = pathArgument(request);
    if (settings.regions.size > 0 && !settings.regions.has(zone))
      return failureResponse("unknownZone", `there is no zone "${zone}"`);
    const response = await this.decide(zone, state);
    if (response.outcome === "taken") await visibility.waitForPeers();
    return response;
  };

  /**
   * Decides an order. One that is in force already is only confirmed, if it is known here to be
   * committed.
   */
  private readonly decide = async (zone: string, state: EvacuationState): Promise<ApiResponse> => {
    const { clock, store } = this.options;
    const key = REGISTER_PREFIX + zone;
    const body = encode(state);
    const expiresUs = clock.nowUs() + ORDER_LIFETIME_US;
    const decided = await store.decide(key, (current) => {
      const isInForce = current?.body === body && store.get(key)?.digest === current.digest;
      return isInForce || clock.nowUs() > expiresUs ? undefined : body;
    });
    if (decided.isErr) return toApiResponse(err(fromStoreError(decided.error)));
    return decided.value?.body === body
      ? { outcome: "taken" }
      : failureResponse("noQuorum", "the order took too long");
  };

  /** On the leader, marks zones as open whose workers have had time to warm up. */
  private readonly openReturnedZones = async (): Promise<void> => {
    const { clock, store, lease, longestWarmUpUs } = this.options;
    const term = lease.activeTerm();
    if (!term) return;
    const beforeUs = clock.nowUs() - longestWarmUpUs() - CHECK_PERIOD_US;
    const due = [...this.zones.values()].filter(
      ({ state, sinceUs }) => state === "returning" && sinceUs < beforeUs,
    );
    for (const { register } of due)
      await store.decide(
        register.key,
        (current) => (current?.digest === register.digest ? encode("open") : undefined),
        term,
      );
  };
}
