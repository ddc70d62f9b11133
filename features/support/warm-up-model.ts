/**
 * Model of one worker that warms up: two controllers and many gateways with the real registry,
 * planner and worker directory. Every gateway sends as often as it may.
 */
import { chooseSenders, planSenders, type WarmUpLimit } from "../../src/membership/warm-up.js";
import type { ClusterNode, Heartbeat } from "../../src/membership/cluster.js";
import { packEvacuationState, type EvacuationState } from "../../src/membership/evacuation.js";
import {
  EVACUATION_PREFIX,
  WORKER_PREFIX,
  UpdateStore,
  type Update,
} from "../../src/membership/update-store.js";
import { WorkerRegistry } from "../../src/membership/worker-registry.js";
import { MILLISECOND_US, SECOND_US } from "../../src/common/duration.js";
import { WarmUpPlanner } from "../../src/programs/controller/warm-up-planner.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import { ManualClock } from "./manual-clock.js";

/** Parts of the design that can be left out, to show that the model notices. */
export type WarmUpFlaw =
  | "none"
  | "every gateway is a sender"
  | "a restarted gateway sends at once"
  | "the end of an evacuation says nothing about the workers";

/** How the model runs. */
export interface WarmUpModelOptions {
  readonly gateways: number;
  readonly random: () => number;
  readonly flaw: WarmUpFlaw;
}

const LIMIT: WarmUpLimit = { durationUs: 3 * SECOND_US, requestsPerS: 2.7 };
const TOLERANCE = { excess: 1.5, slack: 8 };
/** What the limit and its tolerance allow within a second. */
export const MAX_PER_SECOND = LIMIT.requestsPerS * TOLERANCE.excess + TOLERANCE.slack;
const STEP_US = 10 * MILLISECOND_US;
const HEARTBEAT_US = 1_500 * MILLISECOND_US;
const ZONE = "c1";
const WORKER = "w-1";

const toNode = (at: number): ClusterNode => ({
  name: `gateway-${at}`,
  zone: ZONE,
  relay: "",
  role: "gateway",
  linkMbps: 0,
});

/** A heartbeat of the model's worker. */
export const workerHeartbeat = (fields: Pick<Heartbeat, "warmUs" | "callCount">): Heartbeat => ({
  id: WORKER,
  service: "s",
  address: "127.0.0.1:1",
  zone: ZONE,
  version: "",
  capacity: 3,
  state: "ready",
  ...fields,
});

/** A controller that knows only some of the gateways. */
class ModelController {
  readonly updates: UpdateStore;
  readonly registry: WorkerRegistry;
  readonly planner: WarmUpPlanner;

  constructor(
    clock: ManualClock,
    nodes: readonly ClusterNode[],
    zoneReturnedUs: () => number | undefined,
  ) {
    this.updates = new UpdateStore(clock);
    this.registry = new WorkerRegistry(clock, this.updates, HEARTBEAT_US);
    this.planner = new WarmUpPlanner({
      settings: { warmUpTolerance: TOLERANCE },
      clock,
      services: { limitOf: () => LIMIT },
      registry: this.registry,
      zoneReturnedUs,
      nodes: () => nodes,
    });
  }
}

/** A gateway whose process may be replaced by a new one. */
class ModelGateway {
  directory: WorkerDirectory;

  constructor(
    readonly node: ClusterNode,
    private readonly clock: ManualClock,
    private readonly flaw: WarmUpFlaw,
  ) {
    this.directory = this.newProcess(clock);
  }

  readonly restart = (updates: readonly Update[]): void => {
    const startsLongAgo = this.flaw === "a restarted gateway sends at once";
    this.directory = this.newProcess(startsLongAgo ? { nowUs: () => 0 } : this.clock);
    this.directory.applyUpdates(updates);
  };

  readonly trySend = (): boolean => this.directory.get(WORKER)?.trySend() ?? false;

  private readonly newProcess = (clock: Pick<ManualClock, "nowUs">): WorkerDirectory => {
    const startedUs = clock.nowUs();
    let isStarted = false;
    const processClock = {
      after: this.clock.after,
      every: this.clock.every,
      nowUs: () => (isStarted ? this.clock.nowUs() : startedUs),
    };
    const directory = new WorkerDirectory(processClock, this.node.name, ZONE, {
      warmUpLimitOf: () => ({
        durationUs: LIMIT.durationUs,
        senders: planSenders(LIMIT, TOLERANCE),
      }),
    });
    isStarted = true;
    return directory;
  };
}

/** Runs the model and records when the worker got requests. */
export class WarmUpModel {
  readonly sentUs: number[] = [];
  private readonly clock = new ManualClock();
  private readonly gateways: readonly ModelGateway[];
  private readonly controllers: readonly [ModelController, ModelController];
  private returnedUs: number | undefined;
  private callCount = 0;
  private evacuationVersion = 0;

  constructor(private readonly options: WarmUpModelOptions) {
    const nodes = Array.from({ length: options.gateways }, (_none, at) => toNode(at));
    const half = Math.floor(nodes.length / 2);
    const zoneReturnedUs = () => this.returnedUs;
    this.gateways = nodes.map((node) => new ModelGateway(node, this.clock, options.flaw));
    this.controllers = [
      new ModelController(this.clock, nodes.slice(0, half), zoneReturnedUs),
      new ModelController(this.clock, nodes.slice(half), zoneReturnedUs),
    ];
  }

  /** The most requests that the worker got within a second. */
  get busiestSecond(): number {
    let firstWithin = 0;
    let most = 0;
    this.sentUs.forEach((sentUs, at) => {
      while ((this.sentUs[firstWithin] ?? sentUs) <= sentUs - SECOND_US) firstWithin += 1;
      most = Math.max(most, at - firstWithin + 1);
    });
    return most;
  }

  /**
   * The worker starts cold. The first controller that hears of it is lost before it has told the
   * other one, which then chooses other senders; the gateways keep both announcements apart until
   * the end.
   */
  readonly startCold = async (): Promise<void> => {
    const [first, second] = this.controllers;
    const half = Math.floor(this.gateways.length / 2);
    this.receive(first, LIMIT.durationUs);
    this.tell(this.gateways.slice(0, half), first);
    await this.serve(300 * MILLISECOND_US);
    this.receive(second, LIMIT.durationUs - 300 * MILLISECOND_US);
    this.tell(this.gateways.slice(half), second);
    await this.serve(LIMIT.durationUs - 300 * MILLISECOND_US);
  };

  /**
   * The worker was known as warm, with senders of an earlier warm-up; its zone is evacuated, and it
   * turns cold unnoticed before the evacuation ends.
   */
  readonly returnCold = async (): Promise<void> => {
    const [controller] = this.controllers;
    this.receive(controller, 500 * MILLISECOND_US);
    this.tell(this.gateways, controller);
    await this.clock.pass(5 * SECOND_US);
    this.evacuate("evacuated");
    await this.serve(SECOND_US);
    this.returnedUs = this.clock.nowUs();
    if (this.options.flaw !== "the end of an evacuation says nothing about the workers")
      this.evacuate("returning");
    else this.evacuate("open");
    await this.serve(700 * MILLISECOND_US);
    this.receive(controller, 0);
    this.tell(this.gateways, controller);
    await this.serve(LIMIT.durationUs - 700 * MILLISECOND_US);
  };

  private readonly receive = (controller: ModelController, warmUs: number): void => {
    this.callCount += 1;
    const heartbeat = workerHeartbeat({ warmUs, callCount: this.callCount });
    const planned = controller.planner.plan(heartbeat);
    const everyone = this.gateways.map(({ node }) => node);
    const senders =
      this.options.flaw === "every gateway is a sender"
        ? chooseSenders(heartbeat, everyone, everyone.length)
        : planned.senders;
    controller.registry.record({ ...planned, ...(senders ? { senders } : {}) });
  };

  private readonly tell = (
    gateways: readonly ModelGateway[],
    { updates }: ModelController,
    key = WORKER_PREFIX + WORKER,
  ): void => {
    const update = updates.get(key);
    if (update) gateways.forEach(({ directory }) => directory.applyUpdates([update]));
  };

  private readonly evacuate = (state: EvacuationState): void => {
    this.evacuationVersion += 1;
    const key = EVACUATION_PREFIX + ZONE;
    const update = {
      key,
      version: this.evacuationVersion,
      tie: "",
      body: packEvacuationState(state),
    };
    this.controllers.forEach(({ updates }) => updates.post([update]));
    this.tell(this.gateways, this.controllers[0], key);
  };

  /** Every gateway sends as often as it may, and one restarts now and then. */
  private readonly serve = async (spanUs: number): Promise<void> => {
    const endUs = this.clock.nowUs() + spanUs;
    while (this.clock.nowUs() < endUs && this.sentUs.length < MAX_REQUESTS) {
      this.gateways.forEach((gateway) => {
        while (this.sentUs.length < MAX_REQUESTS && gateway.trySend())
          this.sentUs.push(this.clock.nowUs());
      });
      this.restartOne();
      this.clock.jump(STEP_US);
    }
    await this.clock.pass(0);
  };

  private readonly restartOne = (): void => {
    const { random } = this.options;
    const gateway = this.gateways[Math.floor(random() * this.gateways.length)];
    const controller = this.controllers.find(({ updates }) => updates.size > 0);
    if (gateway && controller && random() < RESTART_PROBABILITY)
      gateway.restart(controller.updates.all());
  };
}

/** Far above any bound; a flawed model ends there, since it would send without end. */
const MAX_REQUESTS = 2_000;
/** Of some gateway in each step. With 40 of them, each restarts every two seconds. */
const RESTART_PROBABILITY = 0.2;
