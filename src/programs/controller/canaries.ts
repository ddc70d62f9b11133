/** Wires the canary analysis, which runs on the leader, to the split routes and the admin API. */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { CanaryAnalyzer } from "../../health/canary-analysis.js";
import type { ClearError } from "../../health/errors.js";
import { SEQUENTIAL_TEST_SETTINGS } from "../../health/sequential-test.js";
import { SplitRoutes } from "../../health/split-routes.js";
import type { Clock } from "../../common/clock.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { pathArgument, readBody, badRequest } from "./admin-api.js";
import type { Consensus } from "./consensus.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import {
  packCanaryClearance,
  packOutcome,
  PEER_REQUEST,
  readCanaryClearance,
  type CanaryClearance,
} from "./peer-messages.js";
import { PUBLISHED_REGISTER, type PublishedState } from "./published-state.js";

const ROUTE_PREFIX = "route/";

const CLEAR_OUTCOMES: Readonly<Record<ClearError["code"], OutcomeName>> = {
  ROUTE_NOT_SPLIT: "unknownRollout",
  STALE_ROUTE_VERSION: "staleVersion",
  NOT_STOPPED: "notStopped",
  CLEAR_NOT_STORED: "noQuorum",
};

/** Dependencies of {@link openCanaries}. */
export interface CanariesOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
  readonly published: PublishedState;
}

/** The canary analysis with its message handlers and routes. */
export interface Canaries {
  readonly analyzer: CanaryAnalyzer;
  readonly splitRoutes: SplitRoutes;
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
}

/** Tracks the split routes of the committed configuration. */
const trackSplitRoutes = (store: ReplicatedStore): SplitRoutes => {
  const splitRoutes = new SplitRoutes();
  store.events.on("committed", (committed) =>
    committed
      .filter(({ key }) => key.startsWith(ROUTE_PREFIX))
      .forEach(({ key, version, body }) =>
        splitRoutes.applyRoute(key.slice(ROUTE_PREFIX.length), version, body),
      ),
  );
  return splitRoutes;
};

const createAnalyzer = (options: CanariesOptions, splitRoutes: SplitRoutes): CanaryAnalyzer => {
  const { settings, clock, lease, published } = options;
  return new CanaryAnalyzer({
    clock,
    log: loggerFor("canary-analysis"),
    settings: { ...SEQUENTIAL_TEST_SETTINGS, weights: settings.rolloutWeights },
    random: Math.random,
    isLeader: lease.isHolder,
    term: lease.term,
    splitRoutes: splitRoutes.all,
    previousPrimary: splitRoutes.previousPrimary,
    state: published.canaries,
    publish: (state) => published.publish(PUBLISHED_REGISTER.canaries, state),
  });
};

const readOutcome = (reply: Readonly<Record<string, unknown>> | undefined): OutcomeName => {
  const known: readonly OutcomeName[] = ["taken", ...Object.values(CLEAR_OUTCOMES)];
  return known.find((name) => name === reply?.["outcome"]) ?? "noQuorum";
};

/** Creates the canary analysis. The caller starts and stops the analyzer. */
export const openCanaries = (options: CanariesOptions): Canaries => {
  const { store, lease, askHolder } = options;
  const splitRoutes = trackSplitRoutes(store);
  const analyzer = createAnalyzer(options, splitRoutes);

  const clearAsLeader = async ({ route, version }: CanaryClearance): Promise<OutcomeName> => {
    if (!(await lease.confirm())) return "noQuorum";
    const error = await analyzer.clearStop(route, version);
    return error === undefined ? "taken" : CLEAR_OUTCOMES[error.code];
  };
  const clear = async (command: CanaryClearance): Promise<OutcomeName> =>
    lease.isHolder()
      ? clearAsLeader(command)
      : readOutcome(await askHolder(packCanaryClearance(command), WRITE_TIMEOUT_US));
  const clearRoute = async (request: ApiRequest): Promise<ApiResponse> => {
    const { version } = readBody(request);
    if (version !== undefined && typeof version !== "number")
      return badRequest("version must be a number");
    return { outcome: await clear({ route: pathArgument(request), version }) };
  };

  return {
    analyzer,
    splitRoutes,
    peerHandlers: {
      [PEER_REQUEST.clearCanary]: async (message) =>
        packOutcome(await clearAsLeader(readCanaryClearance(message))),
    },
    routes: [{ method: "POST", path: "/rollouts/*/clear", handle: clearRoute }],
  };
};
