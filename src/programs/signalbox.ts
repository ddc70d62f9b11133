import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { Archive } from "../interlocking/archive.js";
import { isPlanKey, serviceKey } from "../interlocking/check.js";
import { Duty } from "../interlocking/duty.js";
import { Ledger, membersOf, quorumOf, ROSTER_KEY, STORE_WAIT_US } from "../interlocking/ledger.js";
import { makeRegister, Registers, type Register } from "../interlocking/register.js";
import { Forecaster, FORECAST_TERMS, readVerdicts } from "../inspection/forecast.js";
import { Inspector, NO_DECISIONS, readDecisions, type Decisions } from "../inspection/inspector.js";
import { TRIAL_TERMS } from "../inspection/evidence.js";
import { TERMS } from "../inspection/ranking.js";
import { NO_ROLLOUTS, readRolloutState, RolloutInspector, type ClearMishap, type RolloutState } from "../inspection/rollout-inspector.js";
import { readWindows, WINDOW_SENTENCES, WINDOW_TERMS, Windows, type WindowMishap, type WindowState } from "../inspection/windows.js";
import { SplitRoutes } from "../inspection/split-routes.js";
import { Board, EJECTIONS_KEY, FORECAST_KEY, PLAN_PREFIX, RETRIES_KEY, ROLLOUTS_KEY, WORKER_PREFIX, type NewFact } from "../signalling/board.js";
import { Colleagues } from "../signalling/colleagues.js";
import { Feeder } from "../signalling/feeder.js";
import { readSharedBeat, Registry, type Beat } from "../signalling/registry.js";
import { Sessions } from "../signalling/sessions.js";
import { Switchboard } from "../signalling/switchboard.js";
import { oncePer, type Clock, type Pulse } from "../trackbed/clock.js";
import { logFor } from "../trackbed/log.js";
import type { OutcomeName } from "../trackbed/outcomes.js";
import type { Settings } from "../trackbed/settings.js";
import { flag, list, parseJson, text, asRec, whole } from "../trackbed/shape.js";
import { MS, SECOND } from "../trackbed/span.js";
import type { Message, Wire } from "../trackbed/wire.js";
import { TIMES } from "./member.js";
import { Commands, controlEntries, Queries, type WindowCall } from "./control.js";
import { readVerdict, serveCalls, type Verdict } from "./dispatch.js";
import { NodeAnswers } from "./node-answers.js";
import type { Running } from "./running.js";
import { openBackends } from "./signalbox-backends.js";
import { openRetries } from "./signalbox-retries.js";

const SWEEP_US = 1 * SECOND;
const GATHER_JOINS_US = 60 * MS;
const REMEMBER_US = 500 * MS;
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
const EPOCH_ROOM = 1_000_000;
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
  const colleagues = new Colleagues({ self, cell: settings.cell, signalPort: settings.signalPort, clock, times: TIMES });
  const registers = new Registers();
  const archive = new Archive(settings.dataFolder, registers.all);
  const ledger = new Ledger({
    self,
    registers,
    archive,
    seeds: settings.seedNodes,
    asker: colleagues,
    clock,
    withstandMachines: settings.withstandMachines,
    log: logFor("ledger"),
  });
  const duty = new Duty({
    self,
    ledger,
    clock,
    log: logFor("duty"),
    stands: colleagues.stands,
    ask: colleagues.ask,
    hasDisk: archive.hasDisk,
    withstandMachines: settings.withstandMachines,
    patienceUs: 1_500 * MS,
  });

  /** The workers last known, so that after a loss of every process they need not all be heard again first. */
  const memory = new Archive(settings.dataFolder === "" ? "" : join(settings.dataFolder, "workers"), () =>
    registry.all().filter((beat) => beat.state === "ready").map((beat) => makeRegister(WORKER_PREFIX + beat.id, beat.callCount, JSON.stringify(beat))),
  );
  const remember = async (): Promise<void> => {
    const known = (await memory.load()) ?? [];
    registry.recall(known.map((register) => readSharedBeat(parseJson(register.body))));
  };

  let remembering: Pulse | undefined;
  const rememberSoon = (): void => {
    remembering ??= clock.after(REMEMBER_US, () => {
      remembering = undefined;
      void memory.keep();
    });
  };

  const isAdrift = (): boolean => !duty.hasMajority();
  /** Invariant: true once a majority has been read in this life, so that what is fed is never a part of the plan. */
  let hasMended = false;
  const isFit = () => hasMended && !isAdrift();
  const sessions = new Sessions({ clock, feeder, log: logFor("sessions"), isFit, boxes: colleagues.boxes, cell: settings.cell, emptiedCell: () => emptiedCell(), answer: (message, node) => answerNode(message, node) });

  /** Makes what the duty's holder decided durable under its epoch. */
  const publish = async (key: string, wanted: unknown): Promise<boolean> => {
    const epoch = duty.epoch();
    const version = Math.max((ledger.get(key)?.version ?? 0) + 1, epoch * EPOCH_ROOM);
    return (await ledger.write([makeRegister(key, version, JSON.stringify(wanted))], epoch)).isOk;
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
    epoch: duty.epoch,
    workers: () =>
      registry.all().filter((beat) => beat.state !== "gone").map((beat) => ({ id: beat.id, service: beat.service, cell: beat.cell, missing: beat.state === "missing" })),
    decisions,
    publish: (wanted) => publish(EJECTIONS_REGISTER, wanted),
  });
  const splitRoutes = new SplitRoutes();
  const rolloutState = (): RolloutState => published(ROLLOUTS_REGISTER, readRolloutState, NO_ROLLOUTS);
  const rollouts = new RolloutInspector({
    clock,
    log: logFor("rollout"),
    terms: { ...TRIAL_TERMS, weights: settings.rolloutWeights },
    random: Math.random,
    isHolder: duty.isHolder,
    epoch: duty.epoch,
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
      return registry.all().map((beat) => ({ id: beat.id, service: beat.service, cell: beat.cell, capacity: beat.capacity, isUsed: beat.state === "ready" && !ejected.has(beat.id) }));
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
    knownUs: () => (windowsSinceUs === undefined || windowsSinceUs - upUs < YOUNG_US ? undefined : clock.nowUs() - windowsSinceUs),
    publish: (wanted) => publish(WINDOWS_REGISTER, { windows: wanted }),
    shift: () => decisions().shift,
    setShift: inspector.setShift,
    cells: () => cells(),
    workers: () => registry.all().map(({ cell, service, capacity, state }) => ({ cell, service, capacity, isReady: state === "ready" })),
    longestBudgetUs: splitRoutes.longestGiveUpUs,
    isBorne: (cell) => {
      const members = ledger.members();
      return members.filter((id) => colleagues.stands(id) && colleagues.cellOf(id) !== cell).length >= quorumOf(members, settings.withstandMachines);
    },
    inFlight: forecaster.inFlight,
    leaveDuty: async (cell) => {
      if (cell === settings.cell) await duty.handTo((id) => colleagues.cellOf(id) !== cell);
    },
  });
  const windowMishap = (mishap: WindowMishap): Verdict => {
    const outcome: OutcomeName =
      mishap === "noQuorum" ? "noQuorum" : mishap === "unknownWindow" ? "unknownWindow" : mishap === "unknownCell" || mishap === "wrongLength" ? "wrong" : "refusedOrder";
    return { outcome, body: { problem: WINDOW_SENTENCES[mishap] } };
  };
  const windowHere = async (order: WindowCall): Promise<Verdict> => {
    if (order.what !== "add") {
      const mishap = await (order.what === "cancel" ? windows.cancel(order.id) : windows.extend(order.id, order.byUs));
      return mishap === undefined ? { outcome: "taken" } : windowMishap(mishap);
    }
    const id = randomUUID().slice(0, 8);
    const added = await windows.add(order, id);
    return typeof added === "string" ? windowMishap(added) : { outcome: "taken", body: { id, warnings: added } };
  };
  const readWindowCall = (message: Message): WindowCall => {
    const what = text(message, "what");
    if (what === "add") return { what, cell: text(message, "cell"), opensUs: whole(message, "opensUs"), lastsUs: whole(message, "lastsUs") };
    return what === "extend" ? { what, id: text(message, "id"), byUs: whole(message, "byUs") } : { what: "cancel", id: text(message, "id") };
  };
  const window = async (order: WindowCall): Promise<Verdict> => {
    if (duty.isHolder()) return windowHere(order);
    const reply = await colleagues.ask(duty.holder(), { kind: "window", ...order }, 2 * STORE_WAIT_US);
    return readVerdict(reply) ?? windowMishap("noQuorum");
  };

  const share = async (beats: readonly Beat[], waits: boolean): Promise<boolean> => {
    const message: Message = { kind: "beats", beats };
    if (!waits) {
      colleagues.send(message);
      return true;
    }
    colleagues.known().filter((id) => !ledger.members().includes(id)).forEach((id) => void colleagues.ask(id, message, STORE_WAIT_US));
    const held = await ledger.gather(message, (reply) => reply.kind === "took", async () => true, () => [ledger.members()], STORE_WAIT_US);
    return held.isOk;
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
      ? (await import("./signalbox-content.js")).openContent({ settings, clock, ledger, colleagues, board, feeder, duty })
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
  const cells = () => [...new Set([...registry.all().map(({ cell }) => cell), ...sessions.nodes().map(({ cell }) => cell)])];
  const backends = openBackends({ registry, cells, askNodes: nodeAnswers.askAll });
  const answerNode = async (message: Message, node: string): Promise<Message> =>
    message.kind === "retry-ask" ? retries.answerNode(message) : ((await content?.answerNode(message, node)) ?? { kind: "unknown" });

  /** Joins come in crowds: who has a session here is told to colleagues, and the crew to nodes, once for all that came meanwhile. */
  const tellCrew = oncePer(clock, GATHER_JOINS_US, () => feeder.setCrew(sessions.crew()));
  const tellSessions = oncePer(clock, GATHER_JOINS_US, () => colleagues.send(sessions.pack()));

  const shiftHere = (cell: string, why: string): Promise<boolean> => (why === "practice" ? inspector.practise(cell) : inspector.shiftByHand(cell));
  const shift = async (cell: string, why: string): Promise<boolean> => {
    if (duty.isHolder()) return shiftHere(cell, why);
    const reply = await colleagues.ask(duty.holder(), { kind: "shift", cell, why }, STORE_WAIT_US);
    return reply !== undefined && flag(reply, "yes");
  };

  const clearHere = async (route: string, version: number | undefined): Promise<OutcomeName> => {
    const mishap = await rollouts.clear(route, version);
    return mishap === undefined ? "taken" : CLEAR_OUTCOMES[mishap];
  };
  const clearRollout = async (route: string, version: number | undefined): Promise<OutcomeName> => {
    if (duty.isHolder()) return clearHere(route, version);
    const reply = await colleagues.ask(duty.holder(), { kind: "clear", route, ...(version === undefined ? {} : { version }) }, STORE_WAIT_US);
    const outcome = ["taken" as const, ...Object.values(CLEAR_OUTCOMES)].find((name) => name === reply?.["outcome"]);
    return outcome ?? "noQuorum";
  };
  const tellers: Readonly<Record<string, () => unknown>> = { inspection: inspector.explain, rollouts: rollouts.explain, forecast: forecaster.explain, windows: windows.explain };
  /** What only the holder knows is asked of the holder. */
  const tellOfHolder = async (what: string): Promise<unknown> => {
    if (duty.isHolder()) return tellers[what]?.();
    return (await colleagues.ask(duty.holder(), { kind: "tell", what }, STORE_WAIT_US))?.["told"] ?? tellers[what]?.();
  };

  /** Who takes what nodes report, at the duty's holder; the others pass it on. */
  const reportTakers = new Map<string, { readonly take: (report: Message) => void }>([
    ["faults", inspector],
    ["rollout", rollouts],
    ["usage", forecaster],
  ]);

  /** What a colleague's connection brings; what it asks is answered on the same connection. */
  const answerColleague = async (message: Message): Promise<Message | undefined> => {
    switch (message.kind) {
      case "read":
      case "store":
        return ledger.answer(message);
      case "vote":
      case "join":
      case "leave":
      case "succeed":
        return duty.answer(message);
      case "shift":
        return { kind: "done", yes: await shiftHere(text(message, "cell"), text(message, "why")) };
      case "clear":
        return { kind: "done", outcome: await clearHere(text(message, "route"), typeof message["version"] === "number" ? message["version"] : undefined) };
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
        return { kind: "done", told: tellers[text(message, "what")]?.() };
      case "beats":
        takeBeats(message);
        return { kind: "took" };
      case "settled":
        ledger.hearSettled(message);
        return undefined;
      default:
        return content?.answerColleague(message);
    }
  };
  const serveColleague = async (wire: Wire, hello: Message, incoming: AsyncIterable<Message>): Promise<void> => {
    const from = text(hello, "from");
    wire.send({ ...colleagues.hello(), kind: "welcome" });
    colleagues.meet(hello);
    for await (const message of incoming) {
      if (message.kind === "sessions") sessions.hear(from, message);
      else
        void answerColleague(message)
          .then((reply) => {
            if (reply && typeof message["ask"] === "number") wire.send({ ...reply, re: message["ask"] });
          })
          .catch((mishap: unknown) => log.warn(`A colleague's message failed: ${String(mishap)}.`));
    }
  };
  const switchboard = new Switchboard(clock, TIMES, { colleague: serveColleague, pointsman: sessions.serve }, logFor("switchboard"));

  ledger.events.on("settled", (settled) => {
    const facts = settled.filter((register) => isPlanKey(register.key)).map(factOf);
    const ejections = settled.find((register) => register.key === EJECTIONS_REGISTER);
    board.post(facts);
    if (ejections) sessions.leaveEmptied();
    if (settled.some((register) => register.key === WINDOWS_REGISTER)) windowsSinceUs = clock.nowUs();
    settled.forEach(({ key, version, digest, body }) => {
      const told = TOLD_REGISTERS[key];
      if (told !== undefined) board.post([{ key: told, version, tie: digest, body: asRec(parseJson(body)) }]);
    });
    settled
      .filter((register) => register.key.startsWith(ROUTE_PREFIX))
      .forEach((register) => splitRoutes.take(register.key.slice(ROUTE_PREFIX.length), register.version, register.body));
    const roster = settled.find((register) => register.key === ROSTER_KEY);
    if (roster) colleagues.learn(membersOf(roster));
  });
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

  let sweeping = false;
  const sweep = async (): Promise<void> => {
    if (sweeping) return;
    sweeping = true;
    const mended = await ledger.readAndMend();
    if (mended.isOk && ledger.isCounting) hasMended = true;
    sweeping = false;
  };
  let wasComplete = false;
  const round = (): void => {
    registry.sweep();
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
    reportTo: (cell) => {
      const box = colleagues.boxes().find((candidate) => candidate.cell === cell);
      return box === undefined || box.id === self || settings.cell === cell ? undefined : box.id;
    },
    ...(content ? { purge: content.purge } : {}),
  });
  const queries = new Queries(ledger, {
    nodes: sessions.nodes,
    workers: registry.all,
    duty: () => ({ holder: duty.holder(), epoch: duty.epoch(), here: duty.isHolder(), roster: ledger.members(), counting: ledger.isCounting }),
    inspection: () => tellOfHolder("inspection"),
    rollouts: () => tellOfHolder("rollouts"),
    forecast: () => tellOfHolder("forecast"),
    windows: () => tellOfHolder("windows"),
    retries: retries.show,
    ...(content?.tellers ?? {}),
  });
  const server = await serveCalls(settings.control, controlEntries(commands, queries, { shift, clearRollout, window, setRetries: retries.set, forecastBackends: backends.forecast, seenBackends: backends.seen }));
  const early = clock.every(100 * MS, () => {
    if (hasMended) early.stop();
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

