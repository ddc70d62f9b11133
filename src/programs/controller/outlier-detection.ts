/** Wires the outlier detector, which runs on the leader, and the operators' zonal shifts. */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { packHealthDecisions } from "../../health/decisions-codec.js";
import { OutlierDetector } from "../../health/outlier-detector.js";
import { OUTLIER_SETTINGS } from "../../health/outlier-ranking.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { readBody, badRequest } from "./admin-api.js";
import type { Consensus } from "./consensus.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import {
  isPositiveReply,
  packDecision,
  packZoneShift,
  PEER_REQUEST,
  readZoneShift,
  type ZoneShift,
} from "./peer-messages.js";
import { PUBLISHED_REGISTER, type PublishedState } from "./published-state.js";

/** The reason given for a practice run; any other reason means a manual shift. */
const REASON_PRACTICE = "practice";
const REASON_MANUAL = "by hand";

/** Dependencies of {@link openOutlierDetection}. */
export interface OutlierDetectionOptions {
  readonly clock: Clock;
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
  readonly registry: WorkerRegistry;
  readonly published: PublishedState;
}

/** The outlier detector with its message handlers and routes. */
export interface OutlierDetection {
  readonly detector: OutlierDetector;
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
}

const createDetector = (options: OutlierDetectionOptions): OutlierDetector => {
  const { clock, lease, registry, published } = options;
  return new OutlierDetector({
    clock,
    log: loggerFor("outlier-detector"),
    settings: OUTLIER_SETTINGS,
    isLeader: lease.isHolder,
    term: lease.term,
    workers: () =>
      registry
        .all()
        .filter(({ state }) => state !== "gone")
        .map(({ id, service, zone, state }) => ({
          id,
          service,
          zone,
          isMissing: state === "missing",
        })),
    decisions: published.ejections,
    publish: (decisions) =>
      published.publish(PUBLISHED_REGISTER.ejections, packHealthDecisions(decisions)),
  });
};

/** Creates the outlier detector. The caller starts and stops it. */
export const openOutlierDetection = (options: OutlierDetectionOptions): OutlierDetection => {
  const { lease, askHolder } = options;
  const detector = createDetector(options);

  const shiftAsLeader = async ({ zone, why }: ZoneShift): Promise<boolean> => {
    if (!(await lease.confirm())) return false;
    const { zonalShift } = detector;
    return why === REASON_PRACTICE
      ? zonalShift.startPractice(zone)
      : zonalShift.shiftManually(zone);
  };
  const shift = async (command: ZoneShift): Promise<boolean> =>
    lease.isHolder()
      ? shiftAsLeader(command)
      : isPositiveReply(await askHolder(packZoneShift(command), WRITE_TIMEOUT_US));
  const shiftRoute = async (request: ApiRequest): Promise<ApiResponse> => {
    const { cell: zone, why } = readBody(request);
    if (typeof zone !== "string") return badRequest("cell must be a string");
    const isShifted = await shift({ zone, why: why === REASON_PRACTICE ? why : REASON_MANUAL });
    return { outcome: isShifted ? "taken" : "noQuorum" };
  };

  return {
    detector,
    peerHandlers: {
      [PEER_REQUEST.shiftZone]: async (message) =>
        packDecision(await shiftAsLeader(readZoneShift(message))),
    },
    routes: [{ method: "POST", path: "/cells/shift", handle: shiftRoute }],
  };
};
