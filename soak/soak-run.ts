/** Runs one schedule against real programs over loopback and records the history. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { messageOf } from "../src/common/errors.js";
import { BOUNDS } from "./bounds.js";
import { Client } from "./client.js";
import { PipeliningClient } from "./pipelining-client.js";
import { HistoryRecorder, type FaultRecord, type History } from "./history.js";
import { callApi } from "./http-call.js";
import { KeyedClient } from "./keyed-client.js";
import { Operator } from "./operator.js";
import { Program } from "./program.js";
import { SeededRandom } from "../simulator/seeded-random.js";
import type { Action, SoakSchedule } from "./schedule.js";
import { Worker } from "./worker.js";

const CONTROLLERS = 3;
/** Second byte of the run's loopback addresses. */
const FIRST_SUBNET = 100;
const SUBNETS = 100;
const SERVICES = ["s0", "s1", "s2", "s3"] as const;
const WORKERS_PER_SERVICE = 2;
const CLIENT_INTERVAL_MS = 40;
const LARGE_CHANGE_ROUTES = 1_200;
const FREEZE_MS = 1_200;
const RESTART_MS = 300;
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;
/** A disk loss that has to wait any longer is left out, so that none comes near the end. */
const MAX_DISK_LOSS_DELAY_US = 4_000_000;
const DELAY_CHECK_MS = 50;
/** A timer of the test process that fires this late shows that the host machine was delayed. */
const MACHINE_DELAY_US = 250_000;

/** Options of {@link runSoak}. */
export interface SoakRunOptions {
  readonly schedule: SoakSchedule;
  /** Number of gateways. */
  readonly gateways: number;
  /** Whether the files of the programs are kept after the run. */
  readonly keepsFiles: boolean;
}

/** Result of {@link runSoak}. */
export interface SoakRunResult {
  readonly history: History;
  /** Errors of actions, such as a gateway that did not become ready again in time. */
  readonly failures: readonly string[];
  /** Folder with the settings, data and output of the programs, if they were kept. */
  readonly folder: string;
}

const pause = (waitMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, waitMs));
const nowUs = (): number => Math.round(performance.now() * 1_000);

/** The programs, workers, clients and operator of one run. */
class SoakFleet {
  readonly history = new HistoryRecorder();
  readonly failures: string[] = [];
  readonly controllers: readonly Program[];
  readonly gateways: readonly Program[];
  readonly operator: Operator;
  private readonly workers: readonly Worker[];
  private readonly clients: readonly (Client | PipeliningClient | KeyedClient)[];
  private readonly keyedClient: KeyedClient;
  /** Until when no other controller may fail, since one has lost its disk. */
  private diskRepairUntilUs = 0;
  private readonly random: SeededRandom;
  private readonly faultyPrograms = new Set<Program>();
  private delayTimer: NodeJS.Timeout | undefined;

  constructor(folder: string, { schedule, gateways }: SoakRunOptions) {
    const { seed } = schedule;
    const { history } = this;
    this.random = new SeededRandom(seed + 1_000_000);
    const zones = ["z1", "z2", "z3"];
    // Two runs of one seed at the same time must not share addresses.
    const subnet = FIRST_SUBNET + ((seed + process.pid) % SUBNETS);
    const controllerIps = Array.from(
      { length: CONTROLLERS },
      (_, at) => `127.${subnet}.0.${at + 1}`,
    );
    const makeProgram = (role: "gateway" | "controller", at: number): Program =>
      new Program({
        name: `${role}-${at + 1}`,
        role,
        ip: `127.${subnet}.${role === "gateway" ? 1 : 0}.${at + 1}`,
        zone: zones[at % zones.length] ?? "",
        zones,
        controllerIps,
        folder: join(folder, `${role}-${at + 1}`),
        history,
        nowUs,
      });
    this.controllers = controllerIps.map((_, at) => makeProgram("controller", at));
    this.gateways = Array.from({ length: gateways }, (_, at) => makeProgram("gateway", at));
    const { random, controllers } = this;
    this.operator = new Operator({ controllers, services: SERVICES, history, nowUs, random });
    this.workers = SERVICES.flatMap((service, serviceAt) =>
      Array.from(
        { length: WORKERS_PER_SERVICE },
        (_, at) =>
          new Worker({
            id: `${service}-${at}`,
            service,
            zone: zones[at % zones.length] ?? "",
            ip: `127.${subnet}.2.${serviceAt * WORKERS_PER_SERVICE + at + 1}`,
            controllers: controllers.map(({ control }) => control),
            history,
            nowUs,
            random,
          }),
      ),
    );
    this.keyedClient = new KeyedClient({ gateways: this.gateways, history, nowUs, random, seed });
    this.clients = [
      ...this.gateways.flatMap((gateway) => [
        new Client({ gateway, history, nowUs, random, seed, intervalMs: CLIENT_INTERVAL_MS }),
        new PipeliningClient({ gateway, history, nowUs, seed }),
      ]),
      this.keyedClient,
    ];
  }

  /** Starts everything. Throws if a gateway is not ready in time. */
  readonly start = async (): Promise<void> => {
    await Promise.all(
      [...this.controllers, ...this.gateways].map((program) => program.start(true)),
    );
    await this.operator.applyInitial();
    await Promise.all(this.workers.map((worker) => worker.start(BOUNDS.heartbeatUs / 1_000)));
    await Promise.all(this.gateways.map(this.waitUntilReady));
    this.monitorMachine();
    this.clients.forEach((client) => client.start());
  };

  /** Starts each action at its time, whether or not earlier actions have finished. */
  readonly run = async ({ actions, durationMs }: SoakSchedule): Promise<void> => {
    const startMs = nowUs() / 1_000;
    const running: Promise<void>[] = [];
    for (const action of actions) {
      await pause(Math.max(0, startMs + action.atMs - nowUs() / 1_000));
      running.push(
        this.execute(action).catch((error: unknown) => void this.failures.push(messageOf(error))),
      );
    }
    await pause(Math.max(0, startMs + durationMs - nowUs() / 1_000));
    await Promise.all(running);
    this.clients.forEach((client) => client.stop());
    await this.keyedClient.repeatAll();
    for (const controller of this.controllers) await this.operator.read(controller);
  };

  readonly close = async (): Promise<void> => {
    clearInterval(this.delayTimer);
    this.clients.forEach((client) => client.stop());
    this.workers.forEach((worker) => worker.close());
    await Promise.all([...this.controllers, ...this.gateways].map((program) => program.close()));
  };

  private readonly execute = async (action: Action): Promise<void> => {
    const { operator, controllers, random } = this;
    switch (action.kind) {
      case "move-probe":
        await operator.moveProbe();
        return;
      case "add-routes":
        await operator.addRoutes(LARGE_CHANGE_ROUTES);
        return;
      case "send-invalid":
        await operator.sendInvalid();
        return;
      case "read":
        return operator.read(random.pick(controllers));
      case "kill-all-controllers":
        // Right after an acknowledgement, a change that is not yet durable would be lost.
        await operator.moveProbe();
        await Promise.all(controllers.map((controller) => this.injectFault(controller, "kill")));
        return;
      case "lose-disk": {
        const controller = controllers[action.slot % controllers.length];
        if (controller) await this.loseDiskWhenAllowed(controller);
        return;
      }
      default: {
        const programs = action.role === "gateway" ? this.gateways : controllers;
        const program = programs[action.slot % programs.length];
        if (program) await this.injectFault(program, action.kind);
      }
    }
  };

  /**
   * Injects a fault and waits until the program is up again. Does nothing while another fault of
   * this program is in progress.
   */
  private readonly injectFault = async (
    program: Program,
    action: "terminate" | "kill" | "freeze" | "wipe",
  ): Promise<void> => {
    if (this.faultyPrograms.has(program) || this.isSpared(program)) return;
    if (action === "wipe") this.diskRepairUntilUs = Number.POSITIVE_INFINITY;
    this.faultyPrograms.add(program);
    const kinds = { terminate: "term", kill: "kill", freeze: "stop", wipe: "wipe" } as const;
    const fault = { process: program.name, kind: kinds[action], fromUs: nowUs() };
    const ongoing: FaultRecord = { ...fault, toUs: Number.POSITIVE_INFINITY };
    this.history.faults.push(ongoing);
    if (action === "freeze") {
      program.freeze();
      await pause(FREEZE_MS);
      program.thaw();
    } else {
      await (action === "terminate" ? program.terminate() : program.kill());
      if (action === "wipe") await program.loseDisk();
      await pause(RESTART_MS);
      await program.start(false);
      await this.waitUntilUp(program);
    }
    const { faults } = this.history;
    faults[faults.indexOf(ongoing)] = { ...fault, toUs: nowUs() };
    this.faultyPrograms.delete(program);
    if (action === "wipe") this.diskRepairUntilUs = nowUs() + BOUNDS.catchUpUs;
  };

  /** Waits until the disk lost before has been repaired; gives up after a while. */
  private readonly loseDiskWhenAllowed = async (controller: Program): Promise<void> => {
    const untilUs = nowUs() + MAX_DISK_LOSS_DELAY_US;
    while (!this.mayLoseDisk()) {
      if (nowUs() > untilUs) return;
      await pause(POLL_MS);
    }
    await this.injectFault(controller, "wipe");
  };

  /** Whether a controller must not fail now, since another one has lost its disk. */
  private readonly isSpared = (program: Program): boolean =>
    program.options.role === "controller" && nowUs() < this.diskRepairUntilUs;

  /** Whether all controllers are up, and have been for as long as the repair of a disk may take. */
  private readonly mayLoseDisk = (): boolean =>
    nowUs() >= this.diskRepairUntilUs &&
    !this.controllers.some((controller) => this.faultyPrograms.has(controller));

  private readonly waitUntilUp = (program: Program): Promise<void> =>
    program.options.role === "gateway"
      ? this.waitUntilReady(program)
      : this.waitUntilAnswering(program);

  private readonly waitUntilReady = (gateway: Program): Promise<void> =>
    this.waitForStatus(gateway.ready, "/ready", [200], `${gateway.name} is ready`);

  private readonly waitUntilAnswering = (controller: Program): Promise<void> =>
    this.waitForStatus(controller.control, "/tell/copy", [200], `${controller.name} answers`);

  private readonly waitForStatus = async (
    address: string,
    path: string,
    statuses: readonly number[],
    what: string,
  ): Promise<void> => {
    const deadlineMs = nowUs() / 1_000 + START_TIMEOUT_MS;
    while (nowUs() / 1_000 < deadlineMs) {
      const reply = await callApi(address, "GET", path, "", 1_000);
      if (reply && statuses.includes(reply.status)) return;
      await pause(POLL_MS);
    }
    throw new Error(`timed out after ${START_TIMEOUT_MS} ms waiting until ${what}`);
  };

  /** Records when the host machine is delayed, by how late a timer of the test process fires. */
  private readonly monitorMachine = (): void => {
    let dueUs = nowUs() + DELAY_CHECK_MS * 1_000;
    this.delayTimer = setInterval(() => {
      const atUs = nowUs();
      if (atUs - dueUs > MACHINE_DELAY_US)
        this.history.machineDelays.push({ fromUs: dueUs, toUs: atUs });
      dueUs = atUs + DELAY_CHECK_MS * 1_000;
    }, DELAY_CHECK_MS);
  };
}

/** Starts all programs, runs a schedule and stops the programs. */
export const runSoak = async (options: SoakRunOptions): Promise<SoakRunResult> => {
  const folder = await mkdtemp(join(tmpdir(), "yewreel-soak-"));
  const fleet = new SoakFleet(folder, options);
  try {
    await fleet.start();
    await fleet.run(options.schedule);
  } finally {
    await fleet.close();
    if (!options.keepsFiles) await rm(folder, { recursive: true, force: true });
  }
  return { history: fleet.history, failures: fleet.failures, folder };
};
