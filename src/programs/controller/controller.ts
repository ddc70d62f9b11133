import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { WriteAheadLog } from "../../storage/write-ahead-log.js";
import { isConfigKey, serviceKey } from "../../config/validation.js";
import { Replica } from "../../consensus/replica.js";
import { NodeFileSystem } from "../../storage/file-system.js";
import { LeaderLease } from "../../consensus/leader-lease.js";
import { CONSENSUS_MESSAGE_KINDS } from "../../consensus/messages.js";
import { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Register } from "../../consensus/register.js";
import { allMembersOf, quorumSize } from "../../consensus/voter-set.js";
import {
  CapacityForecaster,
  FORECAST_SETTINGS,
  readCapacityStates,
} from "../../health/capacity-forecast.js";
import {
  OutlierDetector,
  NO_DECISIONS,
  readHealthDecisions,
  type HealthDecisions,
} from "../../health/outlier-detector.js";
import { SEQUENTIAL_TEST_SETTINGS } from "../../health/sequential-test.js";
import { OUTLIER_SETTINGS } from "../../health/outlier-ranking.js";
import {
  NO_CANARIES,
  readCanaryState,
  CanaryAnalyzer,
  type ClearError,
  type CanaryState,
} from "../../health/canary-analysis.js";
import {
  readWindows,
  WINDOW_SENTENCES,
  WINDOW_SETTINGS,
  MaintenanceWindows,
  type WindowError,
  type WindowState,
} from "../../health/maintenance-window.js";
import { SplitRoutes } from "../../health/split-routes.js";
import {
  UpdateStore,
  EJECTIONS_KEY,
  FORECAST_KEY,
  PLAN_PREFIX,
  RETRIES_KEY,
  ROLLOUTS_KEY,
  WORKER_PREFIX,
  type NewUpdate,
} from "../../membership/update-store.js";
import { Peers } from "../../membership/peers.js";
import { UpdatePublisher } from "../../membership/update-publisher.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { packHeartbeat, packNode, readSharedHeartbeat } from "../../membership/messages.js";
import { WorkerRegistry } from "../../membership/worker-registry.js";
import { NodeSessions } from "../../membership/node-sessions.js";
import { Listener } from "../../transport/listener.js";
import { debounce, coalesce, type Clock, type Timer } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import type { Settings } from "../../common/settings.js";
import {
  readFlag,
  readList,
  parseJson,
  readString,
  asRecord,
  readNumber,
  type UnknownRecord,
} from "../../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import type { Message, Connection } from "../../transport/connection.js";
import { KEEP_ALIVE } from "../data-plane-node.js";
import { Commands, controlEntries, Queries, type WindowCall } from "./admin-api.js";
import { readApiResponse, serveApi, type ApiResponse } from "../http-api.js";
import { NodeQueries } from "./node-queries.js";
import type { RunningProgram } from "../running-program.js";
import { openBackends } from "./backend-forecast.js";
import { openRetries } from "./retry-quota.js";

const SWEEP_US = 1 * SECOND_US;
const GATHER_JOINS_US = 60 * MILLISECOND_US;
const REMEMBER_US = 500 * MILLISECOND_US;
/** Beats that come within this time of each other share a message and a round of contact, which gathers a little itself. */
const GATHER_BEATS_US = 100 * MILLISECOND_US;
/** A signalbox that no majority has answered for so long feeds nobody, also where its links seem to stand. */
const UNPROVEN_US = 3 * SECOND_US;
/** A first feed is no older than this: where the last reading is, another comes first. */
const FEED_AGE_US = 2 * SECOND_US;
const EJECTIONS_REGISTER = "duty/ejections";
const ROLLOUTS_REGISTER = "duty/rollouts";
const FORECAST_REGISTER = "duty/forecast";
const WINDOWS_REGISTER = "duty/windows";
const RETRIES_REGISTER = "duty/retries";
/** Registers that the nodes are told of as they stand, and the facts that tell them. */
const TOLD_REGISTERS: Readonly<Record<string, string>> = {
  [EJECTIONS_REGISTER]: EJECTIONS_KEY,
  [FORECAST_REGISTER]: FORECAST_KEY,
  [ROLLOUTS_REGISTER]: ROLLOUTS_KEY,
  [RETRIES_REGISTER]: RETRIES_KEY,
};
/** What is learned so soon after a start may have been so for any time. */
const YOUNG_US = 10 * SECOND_US;
const ROUTE_PREFIX = "route/";

const CLEAR_OUTCOMES: Readonly<Record<ClearError, OutcomeName>> = {
  "unknown-route": "unknownRollout",
  "stale-version": "staleVersion",
  "not-stopped": "notStopped",
  "not-published": "noQuorum",
};

const factOf = (register: Register): NewUpdate => ({
  key: PLAN_PREFIX + register.key,
  version: register.version,
  tie: register.digest,
  body: { dropped: register.dropped, item: register.body },
});

/** Puts the control plane together on one machine. */
export const runController = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("signalbox");
  const self = settings.control;
  const updates = new UpdateStore(clock);
  const registry = new WorkerRegistry(clock, updates, settings.heartbeatUs);
  const publisher = new UpdatePublisher(clock, updates, registry.isComplete);
  const peers = new Peers({
    self,
    zone: settings.zone,
    peerPort: settings.peerPort,
    clock,
    times: KEEP_ALIVE,
  });
  const disk = new NodeFileSystem();
  const copy = new Replica();
  const archive = new WriteAheadLog({
    folder: settings.dataFolder,
    fileSystem: disk,
    snapshot: copy.snapshot,
  });
  const store = new ReplicatedStore({
    self,
    writeAheadLog: archive,
    replica: copy,
    // At the first start nobody else is known; later the seeds may all be gone.
    seeds: () => [...new Set([...settings.seedNodes, ...peers.known()])],
    transport: { request: peers.ask, broadcast: peers.send },
    clock,
    random: Math.random,
    withstandMachines: settings.withstandMachines,
    logger: loggerFor("ledger"),
  });
  const lease: LeaderLease = new LeaderLease({
    self,
    store,
    clock,
    logger: loggerFor("duty"),
    isConnected: peers.isConnected,
    request: peers.ask,
    hasDisk: archive.hasDisk,
    withstandMachines: settings.withstandMachines,
    // A link has been silent for a second before its box counts as unseen.
    holderTimeoutUs: 500 * MILLISECOND_US,
    leaveTimeoutUs: Math.max(SECOND_US, settings.graceUs - SECOND_US),
    copyOtherState: async () => (await content?.spread()) ?? true,
  });

  /** The workers last known, so that after a loss of every process they need not all be heard again first. */
  const memory = new WriteAheadLog({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "workers"),
    fileSystem: disk,
    snapshot: () =>
      registry
        .all()
        .filter((heartbeat) => heartbeat.state === "ready")
        .map(packHeartbeat),
  });
  const remember = async (): Promise<void> => {
    const found = await memory.load();
    if (found.kind !== "empty") registry.restore(found.records.map(readSharedHeartbeat));
  };

  let remembering: Timer | undefined;
  const rememberSoon = (): void => {
    remembering ??= clock.after(REMEMBER_US, () => {
      remembering = undefined;
      void memory.writeVerifiedSnapshot();
    });
  };

  const isAdrift = (): boolean => !lease.seesMajority();
  /** When the last round began that a majority answered, and the last reading of a quorum; the latter is undefined until one was made in this life. */
  let provenUs = clock.nowUs();
  let readUs: number | undefined;
  /** Whether beats couldn't come in since; then their lack says nothing. */
  let wasCutOff = false;
  const prove = (beganUs: number): void => {
    if (wasCutOff) registry.restartListening();
    wasCutOff = false;
    provenUs = Math.max(provenUs, beganUs);
  };
  /** Beats of workers that go on, not yet shared. */
  const gathered = new Map<string, Heartbeat>();
  /** True once a majority was heard after the call; beats gathered meanwhile are shared before. */
  const hearMajority = coalesce(clock, GATHER_BEATS_US, () => {
    if (gathered.size > 0)
      peers.send({ kind: "beats", beats: [...gathered.values()].map(packHeartbeat) });
    gathered.clear();
    return store.confirmQuorum();
  });
  /** What is fed first is no part of the plan and not old, and a majority was heard after the node came. */
  const isFit = async (): Promise<boolean> => {
    if (readUs === undefined || isAdrift()) return false;
    return clock.nowUs() - readUs < FEED_AGE_US ? store.confirmQuorum() : sweep();
  };
  const sessions = new NodeSessions({
    clock,
    publisher,
    log: loggerFor("sessions"),
    mayServe: isFit,
    controllers: peers.connectedControllers,
    zone: settings.zone,
    drainedZone: () => emptiedCell(),
    answer: (message, node) => answerNode(message, node),
  });

  /** Makes what the duty's holder decided, on the state as held here, durable under its term; false if that state or the term has been overtaken. */
  const publish = async (key: string, wanted: unknown): Promise<boolean> => {
    const term = lease.activeTerm();
    if (!term) return false;
    const before = store.get(key)?.digest;
    const body = JSON.stringify(wanted);
    const decided = await store.decide(
      key,
      (now) => (now?.digest === before ? body : undefined),
      term,
    );
    return decided.isOk && decided.value?.body === body;
  };
  const published = <T>(key: string, read: (value: unknown) => T, none: T): T => {
    const register = store.get(key);
    return register ? read(parseJson(register.body)) : none;
  };
  const decisions = (): HealthDecisions =>
    published(EJECTIONS_REGISTER, readHealthDecisions, NO_DECISIONS);
  const inspector = new OutlierDetector({
    clock,
    log: loggerFor("inspection"),
    settings: OUTLIER_SETTINGS,
    isLeader: lease.isHolder,
    term: lease.term,
    workers: () =>
      registry
        .all()
        .filter((heartbeat) => heartbeat.state !== "gone")
        .map((heartbeat) => ({
          id: heartbeat.id,
          service: heartbeat.service,
          zone: heartbeat.zone,
          isMissing: heartbeat.state === "missing",
        })),
    decisions,
    publish: (wanted) => publish(EJECTIONS_REGISTER, wanted),
  });
  const splitRoutes = new SplitRoutes();
  const rolloutState = (): CanaryState =>
    published(ROLLOUTS_REGISTER, readCanaryState, NO_CANARIES);
  const rollouts = new CanaryAnalyzer({
    clock,
    log: loggerFor("rollout"),
    settings: { ...SEQUENTIAL_TEST_SETTINGS, weights: settings.rolloutWeights },
    random: Math.random,
    isLeader: lease.isHolder,
    term: lease.term,
    splitRoutes: splitRoutes.all,
    previousPrimary: splitRoutes.previousPrimary,
    state: rolloutState,
    publish: (wanted) => publish(ROLLOUTS_REGISTER, wanted),
  });

  /** The cell that a window empties, by what is published; its relays and its signalbox serve nobody elsewhere. */
  const emptiedCell = (): string => {
    const { shift } = decisions();
    return shift?.why === "window" && shift.unsafe === 1 ? shift.cell : "";
  };

  const verdicts = () => published(FORECAST_REGISTER, readCapacityStates, {});
  const forecaster = new CapacityForecaster({
    clock,
    log: loggerFor("forecast"),
    settings: FORECAST_SETTINGS,
    isLeader: lease.isHolder,
    workers: () => {
      const ejected = new Set(decisions().ejections.map(({ worker }) => worker));
      return registry.all().map((heartbeat) => ({
        id: heartbeat.id,
        service: heartbeat.service,
        zone: heartbeat.zone,
        capacity: heartbeat.capacity,
        isRoutable: heartbeat.state === "ready" && !ejected.has(heartbeat.id),
      }));
    },
    nodes: () => sessions.clusterSize().gateways,
    published: verdicts,
    publish: (wanted) => publish(FORECAST_REGISTER, wanted),
  });

  const upUs = clock.nowUs();
  /** When this process learned of the windows as they stand; not known while they are as found on disk or soon after. */
  let windowsSinceUs: number | undefined;
  const windowState = (): WindowState => published(WINDOWS_REGISTER, readWindows, []);
  const windows = new MaintenanceWindows({
    clock,
    log: loggerFor("window"),
    settings: WINDOW_SETTINGS,
    isLeader: lease.isHolder,
    state: windowState,
    stateAgeUs: () =>
      windowsSinceUs === undefined || windowsSinceUs - upUs < YOUNG_US
        ? undefined
        : clock.nowUs() - windowsSinceUs,
    publish: (wanted) => publish(WINDOWS_REGISTER, { windows: wanted }),
    shift: () => decisions().shift,
    setShift: inspector.setShift,
    zones: () => zones(),
    workers: () =>
      registry.all().map(({ zone, service, capacity, state }) => ({
        zone,
        service,
        capacity,
        isReady: state === "ready",
      })),
    longestDeadlineUs: splitRoutes.longestDeadlineUs,
    hasQuorumWithout: (zone) => {
      const stands = (id: string) => peers.isConnected(id) && peers.zoneOf(id) !== zone;
      return store
        .quorumSets()
        .every(
          (members) =>
            members.filter(stands).length >= quorumSize(members, settings.withstandMachines),
        );
    },
    inFlight: forecaster.inFlight,
    moveLeadershipOutOf: async (zone) => {
      if (zone === settings.zone) await lease.transferTo((id) => peers.zoneOf(id) !== zone);
    },
  });
  const windowMishap = (error: WindowError): ApiResponse => {
    const outcome: OutcomeName =
      error === "noQuorum"
        ? "noQuorum"
        : error === "unknownWindow"
          ? "unknownWindow"
          : error === "unknownCell" || error === "wrongLength"
            ? "wrong"
            : "refusedOrder";
    return { outcome, body: { problem: WINDOW_SENTENCES[error] } };
  };
  const windowHere = async (order: WindowCall): Promise<ApiResponse> => {
    if (!(await lease.confirm())) return windowMishap("noQuorum");
    if (order.what !== "add") {
      const error = await (order.what === "cancel"
        ? windows.cancel(order.id)
        : windows.extend(order.id, order.byUs));
      return error === undefined ? { outcome: "taken" } : windowMishap(error);
    }
    const id = randomUUID().slice(0, 8);
    const { cell: zone, opensUs: opensInUs, lastsUs: durationUs } = order;
    const added = await windows.add({ zone, opensInUs, durationUs }, id);
    return typeof added === "string"
      ? windowMishap(added)
      : { outcome: "taken", body: { id, warnings: added } };
  };
  const readWindowCall = (message: Message): WindowCall => {
    const what = readString(message, "what");
    if (what === "add")
      return {
        what,
        cell: readString(message, "cell"),
        opensUs: readNumber(message, "opensUs"),
        lastsUs: readNumber(message, "lastsUs"),
      };
    return what === "extend"
      ? { what, id: readString(message, "id"), byUs: readNumber(message, "byUs") }
      : { what: "cancel", id: readString(message, "id") };
  };
  const window = async (order: WindowCall): Promise<ApiResponse> => {
    if (lease.isHolder()) return windowHere(order);
    const reply = await peers.ask(
      lease.holder(),
      { kind: "window", ...order },
      2 * WRITE_TIMEOUT_US,
    );
    return readApiResponse(reply) ?? windowMishap("noQuorum");
  };

  const share = async (heartbeats: readonly Heartbeat[], waits: boolean): Promise<boolean> => {
    if (!waits) {
      heartbeats.forEach((heartbeat) => gathered.set(heartbeat.id, heartbeat));
      return hearMajority();
    }
    const message: Message = { kind: "beats", beats: heartbeats.map(packHeartbeat) };
    peers
      .known()
      .filter((id) => !store.members().includes(id))
      .forEach((id) => void peers.ask(id, message, WRITE_TIMEOUT_US));
    const [held, isHeard] = await Promise.all([
      store.callQuorum(
        message,
        (reply) => reply.kind === "took",
        async () => true,
        WRITE_TIMEOUT_US,
      ),
      store.confirmQuorum(),
    ]);
    return held.isOk && isHeard;
  };

  /** The signalbox of the cell, if it hears a majority by its own word, asked for now. */
  const reportTo = async (zone: string): Promise<string | undefined> => {
    const controller = peers.connectedControllers().find((candidate) => candidate.zone === zone);
    if (controller === undefined || controller.id === self || settings.zone === zone)
      return undefined;
    const reply = await peers.ask(controller.id, { kind: "hear-majority" }, WRITE_TIMEOUT_US);
    return reply !== undefined && readFlag(reply, "yes") ? controller.id : undefined;
  };

  const takeBeats = (message: Message): void => {
    readList(message, "beats", (value) => {
      const record = asRecord(value, "beat");
      const heartbeat = readSharedHeartbeat(record);
      const ageUs = typeof record["ageUs"] === "number" ? record["ageUs"] : 0;
      if (heartbeat.state === "gone" && registry.get(heartbeat.id)) registry.drop(heartbeat.id);
      else registry.take(heartbeat, ageUs);
    });
  };

  /** Only a deployment of this kind loads and runs what operation keys, purges and rates need. */
  const content =
    settings.deployment === "content"
      ? (await import("./content.js")).openContent({
          settings,
          clock,
          store,
          peers,
          updates,
          publisher,
          lease,
        })
      : undefined;
  const nodeAnswers = new NodeQueries(sessions, peers);
  const retries = openRetries({
    settings,
    clock,
    lease,
    peers,
    published: () => published<unknown>(RETRIES_REGISTER, (value) => value, undefined),
    publish: (limits) => publish(RETRIES_REGISTER, limits),
    isService: (name) => store.get(serviceKey(name))?.dropped === false,
    askNodes: nodeAnswers.askAll,
  });
  const zones = () => [
    ...new Set([
      ...registry.all().map(({ zone }) => zone),
      ...sessions.nodes().map(({ zone }) => zone),
    ]),
  ];
  const backends = openBackends({ registry, cells: zones, askNodes: nodeAnswers.askAll });
  const answerNode = async (message: Message, node: string): Promise<Message> =>
    message.kind === "retry-ask"
      ? retries.answerNode(message)
      : ((await content?.answerNode(message, node)) ?? { kind: "unknown" });

  /** Joins come in crowds: who has a session here is told to colleagues, and the crew to nodes, once for all that came meanwhile. */
  const tellCrew = debounce(clock, GATHER_JOINS_US, () =>
    publisher.setClusterSize(sessions.clusterSize()),
  );
  const tellSessions = debounce(clock, GATHER_JOINS_US, () => peers.send(sessions.pack()));

  const shiftHere = async (zone: string, why: string): Promise<boolean> =>
    (await lease.confirm()) &&
    (why === "practice" ? inspector.startPractice(zone) : inspector.shiftManually(zone));
  const shift = async (zone: string, why: string): Promise<boolean> => {
    if (lease.isHolder()) return shiftHere(zone, why);
    const reply = await peers.ask(
      lease.holder(),
      { kind: "shift", cell: zone, why },
      WRITE_TIMEOUT_US,
    );
    return reply !== undefined && readFlag(reply, "yes");
  };

  const clearHere = async (route: string, version: number | undefined): Promise<OutcomeName> => {
    if (!(await lease.confirm())) return "noQuorum";
    const error = await rollouts.clearStop(route, version);
    return error === undefined ? "taken" : CLEAR_OUTCOMES[error];
  };
  const clearRollout = async (route: string, version: number | undefined): Promise<OutcomeName> => {
    if (lease.isHolder()) return clearHere(route, version);
    const reply = await peers.ask(
      lease.holder(),
      { kind: "clear", route, ...(version === undefined ? {} : { version }) },
      WRITE_TIMEOUT_US,
    );
    const outcome = ["taken" as const, ...Object.values(CLEAR_OUTCOMES)].find(
      (name) => name === reply?.["outcome"],
    );
    return outcome ?? "noQuorum";
  };
  const tellers: Readonly<Record<string, () => unknown>> = {
    inspection: inspector.explain,
    rollouts: rollouts.explain,
    forecast: forecaster.explain,
    windows: windows.explain,
  };
  const tellHere = async (what: string): Promise<unknown> =>
    (await lease.confirm()) ? tellers[what]?.() : undefined;
  /** What only the holder knows is asked of the holder. */
  const tellOfHolder = async (what: string): Promise<unknown> =>
    (await tellHere(what)) ??
    (await peers.ask(lease.holder(), { kind: "tell", what }, WRITE_TIMEOUT_US))?.["told"] ??
    tellers[what]?.();

  /** What this copy knows by itself, told also while it is cut off; nothing of it speaks for the fleet. */
  const thisCopy = (): UnknownRecord => {
    const { number, members, from } = store.voterSet();
    const term = store.term();
    return {
      view: "this copy's own",
      box: self,
      counting: store.isVoting,
      why: store.notVotingReason,
      majorityInReach: lease.seesMajority(),
      unansweredMs: Math.round((clock.nowUs() - provenUs) / MILLISECOND_US),
      roster: number,
      members,
      leaving: from.filter((id) => !members.includes(id)),
      isJoint: from.length > 0,
      term: term?.number ?? 0,
      holder: term?.holder ?? "",
    };
  };
  /** The roster, the term, and every box with why it doesn't count; who doesn't answer is named as unseen. */
  const tellDuty = async (): Promise<UnknownRecord> => {
    const controllers = [...new Set([self, ...store.members(), ...peers.known()])].sort();
    const rows = await Promise.all(
      controllers.map(async (controller): Promise<UnknownRecord> => {
        const told =
          controller === self
            ? thisCopy()
            : await peers.ask(controller, { kind: "tell-copy" }, WRITE_TIMEOUT_US);
        const isMember = store.members().includes(controller);
        if (!told)
          return {
            box: controller,
            isMember,
            seen: false,
            counting: false,
            why: "it does not answer",
          };
        return {
          box: controller,
          isMember,
          seen: true,
          counting: told["counting"],
          why: told["why"],
          roster: told["roster"],
          term: told["term"],
          majorityInReach: told["majorityInReach"],
        };
      }),
    );
    const { number, members, from } = store.voterSet();
    return {
      holder: lease.holder(),
      term: lease.term(),
      here: lease.isHolder(),
      roster: { number, is: from.length > 0 ? "joint" : "simple", members, from },
      boxes: rows.filter(({ isMember, seen }) => isMember === true || seen === true),
    };
  };

  /** Who takes what nodes report, at the duty's holder; the others pass it on. */
  const reportReceivers = new Map<string, { readonly receive: (report: Message) => void }>([
    ["faults", inspector],
    ["rollout", rollouts],
    ["usage", forecaster],
  ]);

  /** What a colleague's connection brings; what it asks is answered on the same connection. */
  const answerColleague = async (message: Message): Promise<Message | undefined> => {
    if (CONSENSUS_MESSAGE_KINDS.has(message.kind)) return store.handleRequest(message);
    switch (message.kind) {
      case "unseen":
      case "join":
      case "leave":
      case "succeed":
        return lease.handleRequest(message);
      case "shift":
        return {
          kind: "done",
          yes: await shiftHere(readString(message, "cell"), readString(message, "why")),
        };
      case "clear":
        return {
          kind: "done",
          outcome: await clearHere(
            readString(message, "route"),
            typeof message["version"] === "number" ? message["version"] : undefined,
          ),
        };
      case "window": {
        const result = await windowHere(readWindowCall(message));
        return { kind: "done", outcome: result.outcome, body: result.body ?? {} };
      }
      case "faults":
      case "rollout":
      case "usage":
        reportReceivers.get(message.kind)?.receive(message);
        return undefined;
      case "retry-ask":
      case "retry-set":
        return retries.answerColleague(message);
      case "ask-nodes":
        return nodeAnswers.answerColleague(message);
      case "tell":
        return { kind: "done", told: await tellHere(readString(message, "what")) };
      case "hear-majority":
        return { kind: "done", yes: await hearMajority() };
      case "tell-copy":
        return { kind: "done", ...thisCopy() };
      case "beats":
        takeBeats(message);
        return store.rejectIfOutdated(message) ?? { kind: "took" };
      case "settled":
        store.applyCommitted(message);
        return undefined;
      default:
        return content?.answerColleague(message);
    }
  };
  /** The newest connection that each colleague has dialled. */
  const inbound = new Map<string, Connection>();
  const serveColleague = async (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    const from = readString(hello, "from");
    connection.send({ ...peers.hello(), kind: "welcome" });
    peers.meet(hello);
    inbound.set(from, connection);
    // A colleague that dials anew may have forgotten the sessions here while its link was down.
    tellSessions();
    for await (const message of incoming) {
      if (message.kind === "sessions") sessions.applyPeerSessions(from, message);
      else
        void answerColleague(message)
          .then((reply) => {
            if (reply && typeof message["ask"] === "number")
              connection.send({ ...reply, re: message["ask"] });
          })
          .catch((error: unknown) => log.warn(`A colleague's message failed: ${String(error)}.`));
    }
    if (inbound.get(from) !== connection) return;
    inbound.delete(from);
    if (!peers.isConnected(from)) sessions.forget(from);
  };
  const switchboard = new Listener(
    clock,
    KEEP_ALIVE,
    { colleague: serveColleague, pointsman: sessions.serve },
    loggerFor("switchboard"),
  );

  store.events.on("committed", (settled) => {
    const facts = settled.filter((register) => isConfigKey(register.key)).map(factOf);
    const ejections = settled.find((register) => register.key === EJECTIONS_REGISTER);
    updates.post(facts);
    if (ejections) sessions.leaveDrainedZone();
    if (settled.some((register) => register.key === WINDOWS_REGISTER))
      windowsSinceUs = clock.nowUs();
    settled.forEach(({ key, version, digest, body }) => {
      const told = TOLD_REGISTERS[key];
      if (told !== undefined)
        updates.post([{ key: told, version, tie: digest, body: asRecord(parseJson(body)) }]);
    });
    settled
      .filter((register) => register.key.startsWith(ROUTE_PREFIX))
      .forEach((register) =>
        splitRoutes.applyRoute(
          register.key.slice(ROUTE_PREFIX.length),
          register.version,
          register.body,
        ),
      );
  });
  store.events.on("voterSet", (voterSet) => peers.learn(allMembersOf(voterSet)));
  store.events.on("behind", () => void sweep());
  sessions.events.on("own", () => {
    tellSessions();
    tellCrew();
  });
  sessions.events.on("changed", tellCrew);
  sessions.events.on("report", (message) => {
    content?.hear(message);
    const receiver = reportReceivers.get(message.kind);
    if (!receiver) return;
    if (lease.isHolder()) receiver.receive(message);
    else void peers.ask(lease.holder(), message, 0);
  });
  peers.events.on("up", (id) => {
    log.info(`Link to ${id} stands.`);
    peers.send({ kind: "beats", beats: registry.packAll() });
    peers.send(sessions.pack());
    sessions.announceControllers();
  });
  peers.events.on("down", (id) => {
    log.info(`Link to ${id} is down.`);
    sessions.forget(id);
    sessions.announceControllers();
    if (isAdrift()) sessions.closeAll();
  });

  /** Reads a quorum; where that fails, as it may while others write, asks at least whether a majority is there. True after a reading. */
  const sweep = async (): Promise<boolean> => {
    const beganUs = clock.nowUs();
    const read = await store.read();
    const isRead = read.isOk && store.isVoting;
    if (isRead) readUs = beganUs;
    if (isRead || (await store.confirmQuorum())) prove(beganUs);
    return isRead;
  };
  let wasComplete = false;
  const round = (): void => {
    if (isAdrift() || clock.nowUs() - provenUs > UNPROVEN_US) {
      wasCutOff = true;
      sessions.closeAll();
    } else registry.sweep();
    retries.look();
    if (!wasComplete && registry.isComplete()) publisher.sendSnapshot();
    wasComplete = registry.isComplete();
    void sweep();
  };

  await store.start(settings.firstRun);
  await content?.start();
  await remember();
  updates.events.on("changed", (facts) => {
    if (facts.some((fact) => fact.key.startsWith(WORKER_PREFIX))) rememberSoon();
  });
  await switchboard.listen(settings.ip, settings.peerPort);
  peers.learn([...settings.seedNodes, ...store.members()]);
  const commands = new Commands({
    store,
    registry,
    isAdrift,
    share,
    hearMajority,
    reportTo,
    ...(content ? { purge: content.purge } : {}),
  });
  const ofFleet = {
    nodes: () => sessions.nodes().map(packNode),
    workers: () => registry.all().map(packHeartbeat),
    duty: tellDuty,
    inspection: () => tellOfHolder("inspection"),
    rollouts: () => tellOfHolder("rollouts"),
    forecast: () => tellOfHolder("forecast"),
    windows: () => tellOfHolder("windows"),
    retries: retries.show,
    ...(content?.tellers ?? {}),
  };
  const queries = new Queries(store, ofFleet, { copy: thisCopy });
  const withMajority =
    (act: (order: UnknownRecord) => Promise<ApiResponse>) =>
    async (order: UnknownRecord): Promise<ApiResponse> =>
      (await store.confirmQuorum()) ? act(order) : { outcome: "noMajority" };
  const server = await serveApi(
    settings.control,
    controlEntries(commands, queries, {
      shift,
      clearRollout,
      window,
      setRetries: retries.set,
      forecastBackends: withMajority(backends.forecast),
      seenBackends: withMajority(backends.seen),
    }),
  );
  const early = clock.every(100 * MILLISECOND_US, () => {
    if (readUs !== undefined) early.stop();
    else void sweep();
  });
  const timer = clock.every(SWEEP_US, round);
  lease.start();
  inspector.start();
  rollouts.start();
  forecaster.start();
  windows.start();
  log.info(`Up at ${self}.`);

  return {
    applySettings: ({ seedNodes }) => peers.learn(seedNodes),
    stop: async () => {
      log.info("Leaving.");
      inspector.stop();
      rollouts.stop();
      forecaster.stop();
      windows.stop();
      await lease.stepDown();
      timer.stop();
      content?.stop();
      server.close();
      server.closeIdleConnections();
      switchboard.close();
      peers.stop();
    },
  };
};
