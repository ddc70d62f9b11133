import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { Archive } from "../../storage/write-ahead-log.js";
import { isPlanKey, serviceKey } from "../../config/validation.js";
import { Copy } from "../../consensus/replica.js";
import { FileDisk } from "../../storage/file-system.js";
import { Duty } from "../../consensus/leader-lease.js";
import { Ledger, LEDGER_KINDS, STORE_WAIT_US } from "../../consensus/replicated-store.js";
import type { Register } from "../../consensus/register.js";
import { everyoneOf, quorumOf } from "../../consensus/voter-set.js";
import { Forecaster, FORECAST_TERMS, readVerdicts } from "../../health/capacity-forecast.js";
import {
  Inspector,
  NO_DECISIONS,
  readDecisions,
  type Decisions,
} from "../../health/outlier-detector.js";
import { TRIAL_TERMS } from "../../health/sequential-test.js";
import { TERMS } from "../../health/outlier-ranking.js";
import {
  NO_ROLLOUTS,
  readRolloutState,
  RolloutInspector,
  type ClearMishap,
  type RolloutState,
} from "../../health/canary-analysis.js";
import {
  readWindows,
  WINDOW_SENTENCES,
  WINDOW_TERMS,
  Windows,
  type WindowMishap,
  type WindowState,
} from "../../health/maintenance-window.js";
import { SplitRoutes } from "../../health/split-routes.js";
import {
  Board,
  EJECTIONS_KEY,
  FORECAST_KEY,
  PLAN_PREFIX,
  RETRIES_KEY,
  ROLLOUTS_KEY,
  WORKER_PREFIX,
  type NewFact,
} from "../../membership/update-store.js";
import { Colleagues } from "../../membership/peers.js";
import { Feeder } from "../../membership/update-publisher.js";
import { readSharedBeat, Registry, type Beat } from "../../membership/worker-registry.js";
import { Sessions } from "../../membership/node-sessions.js";
import { Switchboard } from "../../transport/listener.js";
import { oncePer, onceForAll, type Clock, type Pulse } from "../../common/clock.js";
import { logFor } from "../../common/logger.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import type { Settings } from "../../common/settings.js";
import { flag, list, parseJson, text, asRec, whole, type Rec } from "../../common/decode.js";
import { MS, SECOND } from "../../common/duration.js";
import type { Message, Wire } from "../../transport/connection.js";
import { TIMES } from "../data-plane-node.js";
import { Commands, controlEntries, Queries, type WindowCall } from "./admin-api.js";
import { readVerdict, serveCalls, type Verdict } from "../http-api.js";
import { NodeAnswers } from "./node-queries.js";
import type { Running } from "../running-program.js";
import { openBackends } from "./backend-forecast.js";
import { openRetries } from "./retry-quota.js";

const SWEEP_US = 1 * SECOND;
const GATHER_JOINS_US = 60 * MS;
const REMEMBER_US = 500 * MS;
/** Beats that come within this time of each other share a message and a round of contact, which gathers a little itself. */
const GATHER_BEATS_US = 100 * MS;
/** A signalbox that no majority has answered for so long feeds nobody, also where its links seem to stand. */
const UNPROVEN_US = 3 * SECOND;
/** A first feed is no older than this: where the last reading is, another comes first. */
const FEED_AGE_US = 2 * SECOND;
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
const YOUNG_US = 10 * SECOND;
const ROUTE_PREFIX = "route/";

const CLEAR_OUTCOMES: Readonly<Record<ClearMishap, OutcomeName>> = {
  "unknown-route": "unknownRollout",
  "stale-version": "staleVersion",
  "not-stopped": "notStopped",
  "not-published": "noQuorum",
};

const factOf = (register: Register): NewFact => ({
  key: PLAN_PREFIX + register.key,
  version: register.version,
  tie: register.digest,
  body: { dropped: register.dropped, item: register.body },
});

/** Puts the control plane together on one machine. */
export const runSignalbox = async (settings: Settings, clock: Clock): Promise<Running> => {
  const log = logFor("signalbox");
  const self = settings.control;
  const board = new Board(clock);
  const registry = new Registry(clock, board, settings.heartbeatUs);
  const feeder = new Feeder(clock, board, registry.isComplete);
  const colleagues = new Colleagues({
    self,
    cell: settings.cell,
    signalPort: settings.signalPort,
    clock,
    times: TIMES,
  });
  const disk = new FileDisk();
  const copy = new Copy();
  const archive = new Archive({ folder: settings.dataFolder, disk, snapshot: copy.snapshot });
  const ledger = new Ledger({
    self,
    archive,
    copy,
    // At the first start nobody else is known; later the seeds may all be gone.
    seeds: () => [...new Set([...settings.seedNodes, ...colleagues.known()])],
    asker: colleagues,
    clock,
    random: Math.random,
    withstandMachines: settings.withstandMachines,
    log: logFor("ledger"),
  });
  const duty: Duty = new Duty({
    self,
    ledger,
    clock,
    log: logFor("duty"),
    stands: colleagues.stands,
    ask: colleagues.ask,
    hasDisk: archive.hasDisk,
    withstandMachines: settings.withstandMachines,
    // A link has been silent for a second before its box counts as unseen.
    patienceUs: 500 * MS,
    leaveUs: Math.max(SECOND, settings.graceUs - SECOND),
    moveMore: async () => (await content?.spread()) ?? true,
  });

  /** The workers last known, so that after a loss of every process they need not all be heard again first. */
  const memory = new Archive({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "workers"),
    disk,
    snapshot: () =>
      registry
        .all()
        .filter((beat) => beat.state === "ready")
        .map((beat): Rec => ({ ...beat })),
  });
  const remember = async (): Promise<void> => {
    const found = await memory.load();
    if (found.kind !== "empty") registry.recall(found.records.map(readSharedBeat));
  };

  let remembering: Pulse | undefined;
  const rememberSoon = (): void => {
    remembering ??= clock.after(REMEMBER_US, () => {
      remembering = undefined;
      void memory.keepWhole();
    });
  };

  const isAdrift = (): boolean => !duty.hasMajority();
  /** When the last round began that a majority answered, and the last reading of a quorum; the latter is undefined until one was made in this life. */
  let provenUs = clock.nowUs();
  let readUs: number | undefined;
  /** Whether beats couldn't come in since; then their lack says nothing. */
  let wasCutOff = false;
  const prove = (beganUs: number): void => {
    if (wasCutOff) registry.listenAnew();
    wasCutOff = false;
    provenUs = Math.max(provenUs, beganUs);
  };
  /** Beats of workers that go on, not yet shared. */
  const gathered = new Map<string, Beat>();
  /** True once a majority was heard after the call; beats gathered meanwhile are shared before. */
  const hearMajority = onceForAll(clock, GATHER_BEATS_US, () => {
    if (gathered.size > 0) colleagues.send({ kind: "beats", beats: [...gathered.values()] });
    gathered.clear();
    return ledger.contact();
  });
  /** What is fed first is no part of the plan and not old, and a majority was heard after the node came. */
  const isFit = async (): Promise<boolean> => {
    if (readUs === undefined || isAdrift()) return false;
    return clock.nowUs() - readUs < FEED_AGE_US ? ledger.contact() : sweep();
  };
  const sessions = new Sessions({
    clock,
    feeder,
    log: logFor("sessions"),
    isFit,
    boxes: colleagues.boxes,
    cell: settings.cell,
    emptiedCell: () => emptiedCell(),
    answer: (message, node) => answerNode(message, node),
  });

  /** Makes what the duty's holder decided, on the state as held here, durable under its term; false if that state or the term has been overtaken. */
  const publish = async (key: string, wanted: unknown): Promise<boolean> => {
    const term = duty.heldTerm();
    if (!term) return false;
    const before = ledger.get(key)?.digest;
    const body = JSON.stringify(wanted);
    const decided = await ledger.decide(
      key,
      (now) => (now?.digest === before ? body : undefined),
      term,
    );
    return decided.isOk && decided.value?.body === body;
  };
  const published = <T>(key: string, read: (value: unknown) => T, none: T): T => {
    const register = ledger.get(key);
    return register ? read(parseJson(register.body)) : none;
  };
  const decisions = (): Decisions => published(EJECTIONS_REGISTER, readDecisions, NO_DECISIONS);
  const inspector = new Inspector({
    clock,
    log: logFor("inspection"),
    terms: TERMS,
    isHolder: duty.isHolder,
    term: duty.term,
    workers: () =>
      registry
        .all()
        .filter((beat) => beat.state !== "gone")
        .map((beat) => ({
          id: beat.id,
          service: beat.service,
          cell: beat.cell,
          missing: beat.state === "missing",
        })),
    decisions,
    publish: (wanted) => publish(EJECTIONS_REGISTER, wanted),
  });
  const splitRoutes = new SplitRoutes();
  const rolloutState = (): RolloutState =>
    published(ROLLOUTS_REGISTER, readRolloutState, NO_ROLLOUTS);
  const rollouts = new RolloutInspector({
    clock,
    log: logFor("rollout"),
    terms: { ...TRIAL_TERMS, weights: settings.rolloutWeights },
    random: Math.random,
    isHolder: duty.isHolder,
    term: duty.term,
    splitRoutes: splitRoutes.all,
    previousMain: splitRoutes.mainBefore,
    state: rolloutState,
    publish: (wanted) => publish(ROLLOUTS_REGISTER, wanted),
  });

  /** The cell that a window empties, by what is published; its relays and its signalbox serve nobody elsewhere. */
  const emptiedCell = (): string => {
    const { shift } = decisions();
    return shift?.why === "window" && shift.unsafe === 1 ? shift.cell : "";
  };

  const verdicts = () => published(FORECAST_REGISTER, readVerdicts, {});
  const forecaster = new Forecaster({
    clock,
    log: logFor("forecast"),
    terms: FORECAST_TERMS,
    isHolder: duty.isHolder,
    workers: () => {
      const ejected = new Set(decisions().ejections.map(({ worker }) => worker));
      return registry.all().map((beat) => ({
        id: beat.id,
        service: beat.service,
        cell: beat.cell,
        capacity: beat.capacity,
        isUsed: beat.state === "ready" && !ejected.has(beat.id),
      }));
    },
    nodes: () => sessions.crew().pointsmen,
    published: verdicts,
    publish: (wanted) => publish(FORECAST_REGISTER, wanted),
  });

  const upUs = clock.nowUs();
  /** When this process learned of the windows as they stand; not known while they are as found on disk or soon after. */
  let windowsSinceUs: number | undefined;
  const windowState = (): WindowState => published(WINDOWS_REGISTER, readWindows, []);
  const windows = new Windows({
    clock,
    log: logFor("window"),
    terms: WINDOW_TERMS,
    isHolder: duty.isHolder,
    state: windowState,
    knownUs: () =>
      windowsSinceUs === undefined || windowsSinceUs - upUs < YOUNG_US
        ? undefined
        : clock.nowUs() - windowsSinceUs,
    publish: (wanted) => publish(WINDOWS_REGISTER, { windows: wanted }),
    shift: () => decisions().shift,
    setShift: inspector.setShift,
    cells: () => cells(),
    workers: () =>
      registry.all().map(({ cell, service, capacity, state }) => ({
        cell,
        service,
        capacity,
        isReady: state === "ready",
      })),
    longestBudgetUs: splitRoutes.longestGiveUpUs,
    isBorne: (cell) => {
      const stands = (id: string) => colleagues.stands(id) && colleagues.cellOf(id) !== cell;
      return ledger
        .rosters()
        .every(
          (members) =>
            members.filter(stands).length >= quorumOf(members, settings.withstandMachines),
        );
    },
    inFlight: forecaster.inFlight,
    leaveDuty: async (cell) => {
      if (cell === settings.cell) await duty.handTo((id) => colleagues.cellOf(id) !== cell);
    },
  });
  const windowMishap = (mishap: WindowMishap): Verdict => {
    const outcome: OutcomeName =
      mishap === "noQuorum"
        ? "noQuorum"
        : mishap === "unknownWindow"
          ? "unknownWindow"
          : mishap === "unknownCell" || mishap === "wrongLength"
            ? "wrong"
            : "refusedOrder";
    return { outcome, body: { problem: WINDOW_SENTENCES[mishap] } };
  };
  const windowHere = async (order: WindowCall): Promise<Verdict> => {
    if (!(await duty.confirm())) return windowMishap("noQuorum");
    if (order.what !== "add") {
      const mishap = await (order.what === "cancel"
        ? windows.cancel(order.id)
        : windows.extend(order.id, order.byUs));
      return mishap === undefined ? { outcome: "taken" } : windowMishap(mishap);
    }
    const id = randomUUID().slice(0, 8);
    const added = await windows.add(order, id);
    return typeof added === "string"
      ? windowMishap(added)
      : { outcome: "taken", body: { id, warnings: added } };
  };
  const readWindowCall = (message: Message): WindowCall => {
    const what = text(message, "what");
    if (what === "add")
      return {
        what,
        cell: text(message, "cell"),
        opensUs: whole(message, "opensUs"),
        lastsUs: whole(message, "lastsUs"),
      };
    return what === "extend"
      ? { what, id: text(message, "id"), byUs: whole(message, "byUs") }
      : { what: "cancel", id: text(message, "id") };
  };
  const window = async (order: WindowCall): Promise<Verdict> => {
    if (duty.isHolder()) return windowHere(order);
    const reply = await colleagues.ask(
      duty.holder(),
      { kind: "window", ...order },
      2 * STORE_WAIT_US,
    );
    return readVerdict(reply) ?? windowMishap("noQuorum");
  };

  const share = async (beats: readonly Beat[], waits: boolean): Promise<boolean> => {
    if (!waits) {
      beats.forEach((beat) => gathered.set(beat.id, beat));
      return hearMajority();
    }
    const message: Message = { kind: "beats", beats };
    colleagues
      .known()
      .filter((id) => !ledger.members().includes(id))
      .forEach((id) => void colleagues.ask(id, message, STORE_WAIT_US));
    const [held, isHeard] = await Promise.all([
      ledger.gather(
        message,
        (reply) => reply.kind === "took",
        async () => true,
        STORE_WAIT_US,
      ),
      ledger.contact(),
    ]);
    return held.isOk && isHeard;
  };

  /** The signalbox of the cell, if it hears a majority by its own word, asked for now. */
  const reportTo = async (cell: string): Promise<string | undefined> => {
    const box = colleagues.boxes().find((candidate) => candidate.cell === cell);
    if (box === undefined || box.id === self || settings.cell === cell) return undefined;
    const reply = await colleagues.ask(box.id, { kind: "hear-majority" }, STORE_WAIT_US);
    return reply !== undefined && flag(reply, "yes") ? box.id : undefined;
  };

  const takeBeats = (message: Message): void => {
    list(message, "beats", (value) => {
      const rec = asRec(value, "beat");
      const beat = readSharedBeat(rec);
      const ageUs = typeof rec["ageUs"] === "number" ? rec["ageUs"] : 0;
      if (beat.state === "gone" && registry.get(beat.id)) registry.drop(beat.id);
      else registry.take(beat, ageUs);
    });
  };

  /** Only a deployment of this kind loads and runs what operation keys, purges and rates need. */
  const content =
    settings.deployment === "content"
      ? (await import("./content.js")).openContent({
          settings,
          clock,
          ledger,
          colleagues,
          board,
          feeder,
          duty,
        })
      : undefined;
  const nodeAnswers = new NodeAnswers(sessions, colleagues);
  const retries = openRetries({
    settings,
    clock,
    duty,
    colleagues,
    published: () => published<unknown>(RETRIES_REGISTER, (value) => value, undefined),
    publish: (limits) => publish(RETRIES_REGISTER, limits),
    isService: (name) => ledger.get(serviceKey(name))?.dropped === false,
    askNodes: nodeAnswers.askAll,
  });
  const cells = () => [
    ...new Set([
      ...registry.all().map(({ cell }) => cell),
      ...sessions.nodes().map(({ cell }) => cell),
    ]),
  ];
  const backends = openBackends({ registry, cells, askNodes: nodeAnswers.askAll });
  const answerNode = async (message: Message, node: string): Promise<Message> =>
    message.kind === "retry-ask"
      ? retries.answerNode(message)
      : ((await content?.answerNode(message, node)) ?? { kind: "unknown" });

  /** Joins come in crowds: who has a session here is told to colleagues, and the crew to nodes, once for all that came meanwhile. */
  const tellCrew = oncePer(clock, GATHER_JOINS_US, () => feeder.setCrew(sessions.crew()));
  const tellSessions = oncePer(clock, GATHER_JOINS_US, () => colleagues.send(sessions.pack()));

  const shiftHere = async (cell: string, why: string): Promise<boolean> =>
    (await duty.confirm()) &&
    (why === "practice" ? inspector.practise(cell) : inspector.shiftByHand(cell));
  const shift = async (cell: string, why: string): Promise<boolean> => {
    if (duty.isHolder()) return shiftHere(cell, why);
    const reply = await colleagues.ask(duty.holder(), { kind: "shift", cell, why }, STORE_WAIT_US);
    return reply !== undefined && flag(reply, "yes");
  };

  const clearHere = async (route: string, version: number | undefined): Promise<OutcomeName> => {
    if (!(await duty.confirm())) return "noQuorum";
    const mishap = await rollouts.clear(route, version);
    return mishap === undefined ? "taken" : CLEAR_OUTCOMES[mishap];
  };
  const clearRollout = async (route: string, version: number | undefined): Promise<OutcomeName> => {
    if (duty.isHolder()) return clearHere(route, version);
    const reply = await colleagues.ask(
      duty.holder(),
      { kind: "clear", route, ...(version === undefined ? {} : { version }) },
      STORE_WAIT_US,
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
    (await duty.confirm()) ? tellers[what]?.() : undefined;
  /** What only the holder knows is asked of the holder. */
  const tellOfHolder = async (what: string): Promise<unknown> =>
    (await tellHere(what)) ??
    (await colleagues.ask(duty.holder(), { kind: "tell", what }, STORE_WAIT_US))?.["told"] ??
    tellers[what]?.();

  /** What this copy knows by itself, told also while it is cut off; nothing of it speaks for the fleet. */
  const thisCopy = (): Rec => {
    const { number, members, from } = ledger.roster();
    const term = ledger.term();
    return {
      view: "this copy's own",
      box: self,
      counting: ledger.isCounting,
      why: ledger.doubt,
      majorityInReach: duty.hasMajority(),
      unansweredMs: Math.round((clock.nowUs() - provenUs) / MS),
      roster: number,
      members,
      leaving: from.filter((id) => !members.includes(id)),
      isJoint: from.length > 0,
      term: term?.number ?? 0,
      holder: term?.holder ?? "",
    };
  };
  /** The roster, the term, and every box with why it doesn't count; who doesn't answer is named as unseen. */
  const tellDuty = async (): Promise<Rec> => {
    const boxes = [...new Set([self, ...ledger.members(), ...colleagues.known()])].sort();
    const rows = await Promise.all(
      boxes.map(async (box): Promise<Rec> => {
        const told =
          box === self
            ? thisCopy()
            : await colleagues.ask(box, { kind: "tell-copy" }, STORE_WAIT_US);
        const isMember = ledger.members().includes(box);
        if (!told)
          return { box, isMember, seen: false, counting: false, why: "it does not answer" };
        return {
          box,
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
    const { number, members, from } = ledger.roster();
    return {
      holder: duty.holder(),
      term: duty.term(),
      here: duty.isHolder(),
      roster: { number, is: from.length > 0 ? "joint" : "simple", members, from },
      boxes: rows.filter(({ isMember, seen }) => isMember === true || seen === true),
    };
  };

  /** Who takes what nodes report, at the duty's holder; the others pass it on. */
  const reportTakers = new Map<string, { readonly take: (report: Message) => void }>([
    ["faults", inspector],
    ["rollout", rollouts],
    ["usage", forecaster],
  ]);

  /** What a colleague's connection brings; what it asks is answered on the same connection. */
  const answerColleague = async (message: Message): Promise<Message | undefined> => {
    if (LEDGER_KINDS.has(message.kind)) return ledger.answer(message);
    switch (message.kind) {
      case "unseen":
      case "join":
      case "leave":
      case "succeed":
        return duty.answer(message);
      case "shift":
        return { kind: "done", yes: await shiftHere(text(message, "cell"), text(message, "why")) };
      case "clear":
        return {
          kind: "done",
          outcome: await clearHere(
            text(message, "route"),
            typeof message["version"] === "number" ? message["version"] : undefined,
          ),
        };
      case "window": {
        const verdict = await windowHere(readWindowCall(message));
        return { kind: "done", outcome: verdict.outcome, body: verdict.body ?? {} };
      }
      case "faults":
      case "rollout":
      case "usage":
        reportTakers.get(message.kind)?.take(message);
        return undefined;
      case "retry-ask":
      case "retry-set":
        return retries.answerColleague(message);
      case "ask-nodes":
        return nodeAnswers.answerColleague(message);
      case "tell":
        return { kind: "done", told: await tellHere(text(message, "what")) };
      case "hear-majority":
        return { kind: "done", yes: await hearMajority() };
      case "tell-copy":
        return { kind: "done", ...thisCopy() };
      case "beats":
        takeBeats(message);
        return ledger.refusalOfOld(message) ?? { kind: "took" };
      case "settled":
        ledger.hearSettled(message);
        return undefined;
      default:
        return content?.answerColleague(message);
    }
  };
  /** The newest connection that each colleague has dialled. */
  const inbound = new Map<string, Wire>();
  const serveColleague = async (
    wire: Wire,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    const from = text(hello, "from");
    wire.send({ ...colleagues.hello(), kind: "welcome" });
    colleagues.meet(hello);
    inbound.set(from, wire);
    // A colleague that dials anew may have forgotten the sessions here while its link was down.
    tellSessions();
    for await (const message of incoming) {
      if (message.kind === "sessions") sessions.hear(from, message);
      else
        void answerColleague(message)
          .then((reply) => {
            if (reply && typeof message["ask"] === "number")
              wire.send({ ...reply, re: message["ask"] });
          })
          .catch((mishap: unknown) => log.warn(`A colleague's message failed: ${String(mishap)}.`));
    }
    if (inbound.get(from) !== wire) return;
    inbound.delete(from);
    if (!colleagues.stands(from)) sessions.forget(from);
  };
  const switchboard = new Switchboard(
    clock,
    TIMES,
    { colleague: serveColleague, pointsman: sessions.serve },
    logFor("switchboard"),
  );

  ledger.events.on("settled", (settled) => {
    const facts = settled.filter((register) => isPlanKey(register.key)).map(factOf);
    const ejections = settled.find((register) => register.key === EJECTIONS_REGISTER);
    board.post(facts);
    if (ejections) sessions.leaveEmptied();
    if (settled.some((register) => register.key === WINDOWS_REGISTER))
      windowsSinceUs = clock.nowUs();
    settled.forEach(({ key, version, digest, body }) => {
      const told = TOLD_REGISTERS[key];
      if (told !== undefined)
        board.post([{ key: told, version, tie: digest, body: asRec(parseJson(body)) }]);
    });
    settled
      .filter((register) => register.key.startsWith(ROUTE_PREFIX))
      .forEach((register) =>
        splitRoutes.take(register.key.slice(ROUTE_PREFIX.length), register.version, register.body),
      );
  });
  ledger.events.on("roster", (roster) => colleagues.learn(everyoneOf(roster)));
  ledger.events.on("behind", () => void sweep());
  sessions.events.on("own", () => {
    tellSessions();
    tellCrew();
  });
  sessions.events.on("changed", tellCrew);
  sessions.events.on("report", (message) => {
    content?.hear(message);
    const taker = reportTakers.get(message.kind);
    if (!taker) return;
    if (duty.isHolder()) taker.take(message);
    else void colleagues.ask(duty.holder(), message, 0);
  });
  colleagues.events.on("up", (id) => {
    log.info(`Link to ${id} stands.`);
    colleagues.send({ kind: "beats", beats: registry.packAll() });
    colleagues.send(sessions.pack());
    sessions.tellBoxes();
  });
  colleagues.events.on("down", (id) => {
    log.info(`Link to ${id} is down.`);
    sessions.forget(id);
    sessions.tellBoxes();
    if (isAdrift()) sessions.dismiss();
  });

  /** Reads a quorum; where that fails, as it may while others write, asks at least whether a majority is there. True after a reading. */
  const sweep = async (): Promise<boolean> => {
    const beganUs = clock.nowUs();
    const read = await ledger.read();
    const isRead = read.isOk && ledger.isCounting;
    if (isRead) readUs = beganUs;
    if (isRead || (await ledger.contact())) prove(beganUs);
    return isRead;
  };
  let wasComplete = false;
  const round = (): void => {
    if (isAdrift() || clock.nowUs() - provenUs > UNPROVEN_US) {
      wasCutOff = true;
      sessions.dismiss();
    } else registry.sweep();
    retries.look();
    if (!wasComplete && registry.isComplete()) feeder.sendWhole();
    wasComplete = registry.isComplete();
    void sweep();
  };

  await ledger.start(settings.firstRun);
  await content?.start();
  await remember();
  board.events.on("changed", (facts) => {
    if (facts.some((fact) => fact.key.startsWith(WORKER_PREFIX))) rememberSoon();
  });
  await switchboard.listen(settings.ip, settings.signalPort);
  colleagues.learn([...settings.seedNodes, ...ledger.members()]);
  const commands = new Commands({
    ledger,
    registry,
    isAdrift,
    share,
    hearMajority,
    reportTo,
    ...(content ? { purge: content.purge } : {}),
  });
  const ofFleet = {
    nodes: sessions.nodes,
    workers: registry.all,
    duty: tellDuty,
    inspection: () => tellOfHolder("inspection"),
    rollouts: () => tellOfHolder("rollouts"),
    forecast: () => tellOfHolder("forecast"),
    windows: () => tellOfHolder("windows"),
    retries: retries.show,
    ...(content?.tellers ?? {}),
  };
  const queries = new Queries(ledger, ofFleet, { copy: thisCopy });
  const withMajority =
    (act: (order: Rec) => Promise<Verdict>) =>
    async (order: Rec): Promise<Verdict> =>
      (await ledger.contact()) ? act(order) : { outcome: "noMajority" };
  const server = await serveCalls(
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
  const early = clock.every(100 * MS, () => {
    if (readUs !== undefined) early.stop();
    else void sweep();
  });
  const pulse = clock.every(SWEEP_US, round);
  duty.start();
  inspector.start();
  rollouts.start();
  forecaster.start();
  windows.start();
  log.info(`Up at ${self}.`);

  return {
    renew: ({ seedNodes }) => colleagues.learn(seedNodes),
    stop: async () => {
      log.info("Leaving.");
      inspector.stop();
      rollouts.stop();
      forecaster.stop();
      windows.stop();
      await duty.handOver();
      pulse.stop();
      content?.stop();
      server.close();
      server.closeIdleConnections();
      switchboard.close();
      colleagues.stop();
    },
  };
};
