/** A controller, a gateway and stub workers on loopback addresses, on a manual clock. */
import { setLogLevel } from "../../src/common/logger.js";
import type { Settings } from "../../src/common/settings.js";
import { runController } from "../../src/programs/controller/controller.js";
import { runGateway } from "../../src/programs/gateway/gateway.js";
import type { Metric } from "../../src/programs/metrics-server.js";
import type { RunningProgram } from "../../src/programs/running-program.js";
import { callHttp, type Reply } from "./http-call.js";
import { ManualClock, settle } from "./manual-clock.js";
import { StubWorker } from "./stub-worker.js";
import { testSettings } from "./test-settings.js";

const CONTROLLER_IP = "127.15.0.1";
const GATEWAY_IP = "127.15.0.2";
const STEP_US = 5_000;
const MAX_STEPS = 4_000;
/** Time in which a committed change has reached the gateway. */
const DISTRIBUTION_US = 500_000;

let systemCount = 0;

/** One controller and one gateway that run in this process. */
export class SmallSystem {
  readonly clock = new ManualClock();
  readonly workers: StubWorker[] = [];
  private readonly programs: RunningProgram[] = [];
  private readonly basePort: number;
  private requestCount = 0;
  private callCount = 0;

  constructor() {
    systemCount += 1;
    this.basePort = 14_000 + systemCount * 20;
  }

  /** Starts the programs, which log at the given level. */
  readonly start = async (logLevel = "silent"): Promise<void> => {
    setLogLevel(logLevel);
    this.programs.push(await runController(this.settingsOf(CONTROLLER_IP), this.clock));
    this.programs.push(await runGateway(this.settingsOf(GATEWAY_IP), this.clock));
    await this.clock.pass(3_000_000);
  };

  readonly stop = async (): Promise<void> => {
    for (const program of [...this.programs].reverse()) await this.advance(program.stop());
    this.workers.forEach((worker) => worker.stop());
    setLogLevel("silent");
    await settle();
  };

  /** Starts a worker of the service, which sends one heartbeat. */
  readonly addWorker = async (id: string, service: string): Promise<StubWorker> => {
    const worker = new StubWorker(id);
    await worker.start();
    this.workers.push(worker);
    await this.sendHeartbeat(worker, { service });
    return worker;
  };

  /** Sends a heartbeat of a ready worker and waits until the gateway may have its update. */
  readonly sendHeartbeat = async (
    worker: StubWorker,
    fields: { readonly service: string; readonly warmLeft?: string },
  ): Promise<Reply> => {
    this.callCount += 1;
    const heartbeat = {
      address: worker.address,
      cell: "c1",
      version: "v1",
      capacity: 3,
      state: "ready",
      warmLeft: "0ms",
      callCount: this.callCount,
      ...fields,
    };
    const path = `/workers/${worker.id}/heartbeat`;
    const reply = await this.callController("POST", path, JSON.stringify(heartbeat));
    await this.passDistribution();
    return reply;
  };

  /** Sends a change to the controller and waits until the gateway may have it. */
  readonly change = async (change: unknown): Promise<Reply> => {
    const reply = await this.callController("POST", "/plan/change", JSON.stringify(change));
    await this.passDistribution();
    return reply;
  };

  /** Lets the time pass in which a change or an order reaches the gateway. */
  readonly passDistribution = (): Promise<void> => this.clock.pass(DISTRIBUTION_US);

  readonly callController = (method: string, path: string, body = ""): Promise<Reply> =>
    this.advance(callHttp(`${CONTROLLER_IP}:${this.basePort + 2}`, method, path, body));

  /** Sends a request to the gateway. */
  readonly request = (
    method: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Reply> => {
    this.requestCount += 1;
    return this.advance(
      callHttp(`${GATEWAY_IP}:${this.basePort + 4}`, method, path, method === "GET" ? "" : "body", {
        Host: "a.example",
        "Yewreel-Try-Id": `request-${this.requestCount}`,
        "Yewreel-Time-Left-Ms": "1500",
        ...headers,
      }),
    );
  };

  /** The metrics of the controller and the gateway. */
  readonly metrics = (): readonly Metric[] => this.programs.flatMap(({ metrics }) => metrics);

  /** Advances the clock in small steps until the operation ends. */
  private readonly advance = async <T>(operation: Promise<T>): Promise<T> => {
    let isDone = false;
    const finished = operation.finally(() => {
      isDone = true;
    });
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
    for (let step = 0; step < MAX_STEPS && !isDone; step += 1) await this.clock.pass(STEP_US);
    return finished;
  };

  private readonly settingsOf = (ip: string): Settings => ({
    ...testSettings({
      name: ip,
      ip,
      zone: "c1",
      peerPort: this.basePort,
      controlPort: this.basePort + 2,
      frontPort: this.basePort + 4,
      controllerIps: [CONTROLLER_IP],
      withstandMachines: 0,
    }),
    regions: new Map([["c1", "r1"]]),
  });
}
