/**
 * Maintenance windows, which the leader advances through their stages, and the operators' commands
 * to change them.
 */
import { randomUUID } from "node:crypto";
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { quorumSize } from "../../consensus/voter-set.js";
import { WindowNotStoredError, type WindowError } from "../../health/errors.js";
import { WINDOW_SETTINGS } from "../../health/maintenance-window.js";
import { MaintenanceWindows } from "../../health/maintenance-windows.js";
import type { OutlierDetector } from "../../health/outlier-detector.js";
import { packWindows } from "../../health/windows-codec.js";
import type { Peers } from "../../membership/peers.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { parseDuration, SECOND_US } from "../../common/duration.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { readApiResponse, type ApiRequest, type ApiResponse, type ApiRoute } from "../http-api.js";
import { failureResponse, pathArgument, readBody, badRequest } from "./admin-api.js";
import type { Consensus } from "./consensus.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import {
  packApiResponse,
  packWindowCommand,
  PEER_REQUEST,
  readWindowCommand,
  type WindowCommand,
} from "./peer-messages.js";
import { PUBLISHED_REGISTER, type PublishedState } from "./published-state.js";

/**
 * Windows learned within this time of the start may have been stored long before, so their age is
 * unknown.
 */
const STARTUP_PERIOD_US = 10 * SECOND_US;
/** A command takes one write to the store, preceded by a quorum check by the leader. */
const COMMAND_TIMEOUT_US = 2 * WRITE_TIMEOUT_US;

const WINDOW_OUTCOMES: Readonly<Record<WindowError["code"], OutcomeName>> = {
  UNKNOWN_ZONE: "wrong",
  WINDOW_OUT_OF_RANGE: "wrong",
  WINDOW_TOO_SOON: "refusedOrder",
  WINDOW_OVERLAP: "refusedOrder",
  ZONE_NEEDED_FOR_QUORUM: "refusedOrder",
  WINDOW_OVER: "refusedOrder",
  UNKNOWN_WINDOW: "unknownWindow",
  WINDOW_NOT_STORED: "noQuorum",
};

const toFailure = (error: WindowError): ApiResponse =>
  failureResponse(WINDOW_OUTCOMES[error.code], error.message);

/** Dependencies of {@link openMaintenanceWindows}. */
export interface MaintenanceWindowsOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
  readonly peers: Peers;
  readonly registry: WorkerRegistry;
  readonly published: PublishedState;
  readonly detector: OutlierDetector;
  /** The zones of all workers and nodes. */
  readonly zones: () => readonly string[];
  /** The longest request deadline of the routes in force, in microseconds. */
  readonly longestDeadlineUs: () => number;
  /** Requests in flight by service. */
  readonly inFlight: () => ReadonlyMap<string, number>;
}

/** The maintenance windows with their message handlers and routes. */
export interface OpenMaintenanceWindows {
  readonly windows: MaintenanceWindows;
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
}

/**
 * Returns a function for the time since this process learned the current windows, in microseconds.
 * It gives undefined if their age is unknown, because they were loaded from disk or learned soon
 * after the start.
 */
const trackWindowsAge = (clock: Clock, store: ReplicatedStore): (() => number | undefined) => {
  const startedUs = clock.nowUs();
  let learnedUs: number | undefined;
  store.events.on("committed", (committed) => {
    if (committed.some(({ key }) => key === PUBLISHED_REGISTER.windows)) learnedUs = clock.nowUs();
  });
  return () =>
    learnedUs === undefined || learnedUs - startedUs < STARTUP_PERIOD_US
      ? undefined
      : clock.nowUs() - learnedUs;
};

const createWindows = (options: MaintenanceWindowsOptions): MaintenanceWindows => {
  const { settings, clock, store, lease, peers, registry, published, detector } = options;
  const hasQuorumWithout = (zone: string): boolean => {
    const isUsable = (id: string) => peers.isConnected(id) && peers.zoneOf(id) !== zone;
    return store
      .quorumSets()
      .every(
        (members) =>
          members.filter(isUsable).length >= quorumSize(members, settings.withstandMachines),
      );
  };
  return new MaintenanceWindows({
    clock,
    log: loggerFor("maintenance-windows"),
    settings: WINDOW_SETTINGS,
    isLeader: lease.isHolder,
    state: published.windows,
    stateAgeUs: trackWindowsAge(clock, store),
    publish: (windows) => published.publish(PUBLISHED_REGISTER.windows, packWindows(windows)),
    shift: () => published.ejections().shift,
    setShift: detector.zonalShift.setShift,
    zones: options.zones,
    workers: () =>
      registry.all().map(({ zone, service, capacity, state }) => ({
        zone,
        service,
        capacity,
        isReady: state === "ready",
      })),
    longestDeadlineUs: options.longestDeadlineUs,
    hasQuorumWithout,
    inFlight: options.inFlight,
    moveLeadershipOutOf: async (zone) => {
      if (zone === settings.zone) await lease.transferTo((id) => peers.zoneOf(id) !== zone);
    },
  });
};

/** Parses a duration such as `90s` to microseconds; NaN if it is malformed. */
const readDurationUs = (value: unknown): number => parseDuration(value).unwrapOr(Number.NaN);

const windowRoutes = (
  change: (command: WindowCommand) => Promise<ApiResponse>,
): readonly ApiRoute[] => {
  const add = async (request: ApiRequest): Promise<ApiResponse> => {
    const { cell: zone, opens, lasts } = readBody(request);
    const [opensInUs, durationUs] = [readDurationUs(opens), readDurationUs(lasts)];
    if (typeof zone !== "string" || Number.isNaN(opensInUs) || Number.isNaN(durationUs))
      return badRequest("cell must be a string, opens and lasts must be durations such as 90s");
    return change({ action: "add", zone, opensInUs, durationUs });
  };
  const cancel = (request: ApiRequest): Promise<ApiResponse> =>
    change({ action: "cancel", id: pathArgument(request) });
  const extend = async (request: ApiRequest): Promise<ApiResponse> => {
    const byUs = readDurationUs(readBody(request)["by"]);
    if (Number.isNaN(byUs)) return badRequest("by must be a duration such as 90s");
    return change({ action: "extend", id: pathArgument(request), byUs });
  };
  return [
    { method: "POST", path: "/windows", handle: add },
    { method: "POST", path: "/windows/*/cancel", handle: cancel },
    { method: "POST", path: "/windows/*/extend", handle: extend },
  ];
};

/** Creates the maintenance windows. The caller starts and stops them. */
export const openMaintenanceWindows = (
  options: MaintenanceWindowsOptions,
): OpenMaintenanceWindows => {
  const { lease, askHolder } = options;
  const windows = createWindows(options);

  const add = async (zone: string, opensInUs: number, durationUs: number): Promise<ApiResponse> => {
    const id = randomUUID().slice(0, 8);
    const added = await windows.add({ zone, opensInUs, durationUs }, id);
    return added.isOk
      ? { outcome: "taken", body: { id, warnings: added.value } }
      : toFailure(added.error);
  };
  const changeAsLeader = async (command: WindowCommand): Promise<ApiResponse> => {
    if (!(await lease.confirm())) return toFailure(new WindowNotStoredError());
    if (command.action === "add") return add(command.zone, command.opensInUs, command.durationUs);
    const error = await (command.action === "cancel"
      ? windows.cancel(command.id)
      : windows.extend(command.id, command.byUs));
    return error === undefined ? { outcome: "taken" } : toFailure(error);
  };
  const change = async (command: WindowCommand): Promise<ApiResponse> => {
    if (lease.isHolder()) return changeAsLeader(command);
    const reply = await askHolder(packWindowCommand(command), COMMAND_TIMEOUT_US);
    return readApiResponse(reply) ?? toFailure(new WindowNotStoredError());
  };

  return {
    windows,
    peerHandlers: {
      [PEER_REQUEST.changeWindow]: async (message) =>
        packApiResponse(await changeAsLeader(readWindowCommand(message))),
    },
    routes: windowRoutes(change),
  };
};
