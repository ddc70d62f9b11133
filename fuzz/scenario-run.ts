/** Runs one scenario on real sockets and records the history of clients and workers. */
import type { Socket } from "node:net";
import { settle } from "../features/support/manual-clock.js";
import { digestOf, type History, type ReceivedRequest } from "./checks.js";
import { ClientRuns, type Stall } from "./client-runs.js";
import { ProxyHarness, type ProxyHarnessOptions } from "./proxy-harness.js";
import type { Scenario, WorkerAction, WorkerScript } from "./scenario.js";
import { Schedule } from "./schedule.js";
import { responseBytes, ScriptedWorker, type WorkerRequest } from "./scripted-worker.js";
import { unreliableKeyService } from "./unreliable-key-service.js";
import { WorkerResponses } from "./worker-responses.js";

const MS = 1_000;
const STEP_US = 10 * MS;
const MAX_SCENARIO_US = 30_000 * MS;
/** How many steps requests that are open at the end may take to complete. */
const MAX_CLOSING_STEPS = 700;
const REJECTIONS: ReadonlySet<WorkerAction> = new Set(["sheds", "limits", "cuts its refusal"]);

/**
 * Defects of the proxy server that the scenario simulates in clients and workers. To the checks
 * they look the same as defects of the proxy server itself.
 */
export interface SimulatedDefects {
  /** Workers run requests that they reject. */
  readonly runsRejectedRequests?: boolean;
  /** Stray responses of workers carry the id of the current attempt. */
  readonly forgesAttemptIds?: boolean;
  /** The recorded bodies differ from those that clients sent. */
  readonly altersBodies?: boolean;
  /** Disconnecting clients keep their connections open, so that it goes undetected. */
  readonly keepsAbandonedConnections?: boolean;
}

/** A proxy server, its workers and its clients, on one manually advanced clock. */
export class ScenarioRun {
  private readonly harness: ProxyHarness;
  private readonly schedule: Schedule;
  private readonly clients: ClientRuns;
  private readonly responses: WorkerResponses;
  private readonly received: ReceivedRequest[] = [];
  private readonly firstBytes: { readonly attemptId: string; readonly atUs: number }[] = [];
  private readonly stalls: Stall[] = [];
  private readonly workers: ScriptedWorker[] = [];

  constructor(
    private readonly scenario: Scenario,
    options: ProxyHarnessOptions = {},
    private readonly simulatedDefects: SimulatedDefects = {},
  ) {
    const keyServiceOf = unreliableKeyService(scenario.keyMessages);
    this.harness = new ProxyHarness({ keyServiceOf, ...options });
    this.schedule = new Schedule(this.harness.skippingClock);
    this.clients = new ClientRuns({
      harness: this.harness,
      schedule: this.schedule,
      stalls: this.stalls,
      altersBodies: simulatedDefects.altersBodies === true,
      keepsAbandonedConnections: simulatedDefects.keepsAbandonedConnections === true,
    });
    this.responses = new WorkerResponses({
      after: this.schedule.after,
      forgesAttemptIds: simulatedDefects.forgesAttemptIds === true,
    });
  }

  /** Runs the scenario to its end. */
  readonly run = async (): Promise<History> => {
    const { harness, scenario, schedule } = this;
    const { skippingClock, clock } = harness;
    await harness.start();
    const startUs = skippingClock.nowUs();
    for (const [at, script] of scenario.workers.entries())
      await harness.join(this.newWorker(`w${at + 1}`, script));
    scenario.clients.forEach(this.clients.add);
    const stalls = [...scenario.stalls].sort((one, other) => one.atMs - other.atMs);
    while (this.clients.open > 0 && skippingClock.nowUs() - startUs < MAX_SCENARIO_US) {
      await clock.pass(STEP_US);
      schedule.runDue(skippingClock.nowUs());
      const next = stalls[0];
      if (!next || skippingClock.nowUs() < startUs + next.atMs * MS) continue;
      stalls.shift();
      await this.settleEverything();
      this.stall(next.spanMs * MS);
    }
    const openAtEnd = await this.waitForClose();
    harness.stop();
    this.workers.forEach((worker) => worker.stop());
    this.clients.stop();
    await settle(4);
    const { received, firstBytes } = this;
    const { written, interrupted } = this.responses;
    return { sent: this.clients.sent, received, written, firstBytes, interrupted, openAtEnd };
  };

  /** Waits until no request is open; returns how many still are when the wait times out. */
  private readonly waitForClose = async (): Promise<number> => {
    const { proxy, pool, clock } = this.harness;
    const open = () =>
      proxy.openRequests + pool.all().reduce((sum, { inFlight }) => sum + inFlight, 0);
    for (let step = 0; step < MAX_CLOSING_STEPS && open() > 0; step += 1) await clock.pass(STEP_US);
    return open();
  };

  /** Waits until all sent bytes, and those sent in reaction at the same time, have arrived. */
  private readonly settleEverything = async (): Promise<void> => {
    const eventCount = () =>
      this.firstBytes.length + this.received.length + this.clients.responseCount;
    for (let before = -1; before !== eventCount();) {
      before = eventCount();
      await settle(20);
    }
  };

  /**
   * Runs the scheduled actions of clients and workers synchronously. The proxy server, whose event
   * loop is blocked meanwhile, is stalled.
   */
  private readonly stall = (durationUs: number): void => {
    const { skippingClock } = this.harness;
    const fromUs = skippingClock.nowUs();
    const toUs = fromUs + durationUs;
    this.stalls.push({ fromUs, toUs });
    this.schedule.runDue(toUs);
    skippingClock.skip(Math.max(0, toUs - skippingClock.nowUs()));
  };

  private readonly newWorker = (id: string, { actions, delayMs }: WorkerScript): ScriptedWorker => {
    let requests = 0;
    const actionOf = new WeakMap<Socket, WorkerAction>();
    const answeredEarly = new WeakSet<Socket>();
    const worker = new ScriptedWorker(id, {
      onHead: (head, socket) => {
        const atUs = this.harness.skippingClock.nowUs();
        this.firstBytes.push({ attemptId: head.attemptId, atUs });
        const action = actions[requests % actions.length] ?? "answers";
        requests += 1;
        actionOf.set(socket, action);
        if (action === "resets at the head") socket.resetAndDestroy();
        if (action !== "answers early") return;
        answeredEarly.add(socket);
        socket.write(this.responses.write({ ...head, body: "" }, 413, "too early"));
      },
      onRequest: (request, socket) => {
        const action = actionOf.get(socket) ?? "answers";
        const isAddressee = request.expectedWorker === id && action !== "is another";
        this.record(request, isAddressee && this.runsRequest(action));
        if (!isAddressee) {
          const headers = { "Yewreel-Try-Id": request.attemptId, "Yewreel-Worker-Id": "w-other" };
          socket.write(responseBytes(421, headers));
          return;
        }
        if (!answeredEarly.has(socket))
          this.responses.respond(action, { request, socket, delayMs });
        answeredEarly.delete(socket);
      },
    });
    this.workers.push(worker);
    return worker;
  };

  private readonly runsRequest = (action: WorkerAction): boolean =>
    !REJECTIONS.has(action) || this.simulatedDefects.runsRejectedRequests === true;

  private readonly record = (request: WorkerRequest, ran: boolean): void => {
    const { worker, attemptId, method, path, body } = request;
    this.received.push({ worker, attemptId, method, path, digest: digestOf(body), ran });
  };
}
