/**
 * Runs one schedule in virtual time, from the first start of all controllers to a fault-free end,
 * and records the history.
 */
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Fleet, type Machine } from "./fleet.js";
import { History, type FinalRequest } from "./history.js";
import {
  CATCH_UP_US,
  deploymentOf,
  REPLACEMENT_DELAY_US,
  REPLACEMENT_OVERLAP_US,
  SHUTDOWN_TIMEOUT_US,
  type Direction,
  type Event,
  type Schedule,
  type StopMode,
} from "./schedule.js";
import { SeededRandom } from "./seeded-random.js";
import { REAL_COMPONENTS, type Components } from "./simulated-controller.js";
import { NO_NOISE } from "./simulated-network.js";
import { SimulatedOperator } from "./simulated-operator.js";
import { VirtualTime } from "./virtual-time.js";

const SAMPLE_INTERVAL_US = 500 * MILLISECOND_US;
/**
 * The time within which a change must be confirmed and a read served, once `CATCH_UP_US` have
 * passed after the last fault.
 */
export const SERVE_TIMEOUT_US = 4 * SECOND_US;
/** The time within which the voter set must match the remaining machines, from the same start. */
const VOTER_SET_TIMEOUT_US = 4 * SECOND_US;
/** Separates the random numbers of the run from those of the schedule with the same seed. */
const RUN_SEED_MASK = 0x5bd1e995;

/** The history of a run, and the state of the deployment at its end. */
export interface Outcome {
  readonly history: History;
  /** The machines that belong to the deployment at the end. */
  readonly liveIds: readonly string[];
  readonly eventCount: number;
}

type EventOf<Kind extends Event["kind"]> = Extract<Event, { readonly kind: Kind }>;

class Simulation {
  private readonly time = new VirtualTime();
  private readonly history = new History();
  private readonly random: SeededRandom;
  private readonly fleet: Fleet;
  private readonly operator: SimulatedOperator;

  constructor(
    private readonly schedule: Schedule,
    components: Components,
  ) {
    const { time, history } = this;
    this.random = new SeededRandom(schedule.seed ^ RUN_SEED_MASK);
    const { random } = this;
    const deployment = deploymentOf(schedule.deployment);
    this.fleet = new Fleet({ deployment, time, random, history, components });
    const padding = " ".repeat(schedule.paddingBytes);
    this.operator = new SimulatedOperator({ fleet: this.fleet, time, random, history, padding });
  }

  readonly run = async (): Promise<Outcome> => {
    const { time, random, history, fleet, schedule } = this;
    fleet.slots.forEach((machine) =>
      time.after(random.integer(0, 300 * MILLISECOND_US), () => fleet.start(machine, true)),
    );
    schedule.events.forEach((event) => time.at(event.atUs, () => this.apply(event)));
    time.after(SAMPLE_INTERVAL_US, this.sampleRepeatedly);
    const quietUs = schedule.faultsEndUs + CATCH_UP_US;
    time.at(quietUs, this.sendFinalRequests);
    const endUs = quietUs + Math.max(SERVE_TIMEOUT_US, VOTER_SET_TIMEOUT_US) + SECOND_US;
    time.at(endUs - SECOND_US, () =>
      fleet.machines.forEach(
        ({ removedUs, controller }) =>
          void (removedUs === undefined && controller !== undefined
            ? controller.read()
            : undefined),
      ),
    );
    await time.run(endUs);
    this.sampleRepeatedly();
    return {
      history,
      liveIds: fleet.present().map(({ id }) => id),
      eventCount: time.eventCount(),
    };
  };

  private readonly apply = (event: Event): void => {
    const { fleet, operator } = this;
    switch (event.kind) {
      case "change":
        void operator.submit(event);
        break;
      case "resend":
        operator.resend(event.id, event.slot);
        break;
      case "read":
        operator.readAt(event.slot);
        break;
      case "kill":
      case "power-loss":
      case "wipe":
      case "corrupt":
        fleet.stop(fleet.machineAt(event.slot), event.downUs, event.kind);
        break;
      case "freeze":
        this.freeze(event);
        break;
      case "partition":
        this.partition(event);
        break;
      case "disk-fault":
        this.failDisk(event);
        break;
      case "replace":
        this.replace(event.slot);
        break;
      case "planned-replace":
        this.replaceGracefully(event.slot);
        break;
      case "stop-all":
        this.stopAll(event);
        break;
      case "noise":
        this.applyNoise(event);
        break;
    }
  };

  private readonly freeze = ({ slot, durationUs }: EventOf<"freeze">): void => {
    const { controller } = this.fleet.machineAt(slot);
    controller?.freeze();
    this.time.after(durationUs, () => controller?.thaw());
  };

  private readonly partition = ({
    slot,
    others,
    direction,
    durationUs,
  }: EventOf<"partition">): void => {
    const { fleet, time } = this;
    const machineId = fleet.machineAt(slot).id;
    const pairs = others.flatMap((other) =>
      directedPairs(machineId, fleet.machineAt(other).id, direction),
    );
    pairs.forEach(([from, to]) => fleet.network.partition(from, to));
    time.after(durationUs, () => pairs.forEach(([from, to]) => fleet.network.heal(from, to)));
  };

  private readonly failDisk = ({ slot, fault, durationUs }: EventOf<"disk-fault">): void => {
    const { disk } = this.fleet.machineAt(slot);
    disk.setFault(fault);
    this.time.after(durationUs, () => disk.setFault(undefined));
  };

  private readonly replace = (slot: number): void => {
    const { fleet, time } = this;
    fleet.remove(fleet.machineAt(slot));
    const machine = fleet.replaceAt(slot);
    time.after(REPLACEMENT_DELAY_US, () => fleet.start(machine, false));
  };

  private readonly replaceGracefully = (slot: number): void => {
    const { fleet, time } = this;
    const old = fleet.machineAt(slot);
    fleet.start(fleet.replaceAt(slot), false);
    time.after(REPLACEMENT_OVERLAP_US, () => {
      old.isDraining = true;
      const { controller } = old;
      if (controller?.isAlive === true)
        controller.run(() => void controller.shutDown().then(() => fleet.remove(old)));
      time.after(SHUTDOWN_TIMEOUT_US, () => fleet.remove(old));
    });
  };

  private readonly stopAll = ({ byPower, wiped, corrupted, downUs }: EventOf<"stop-all">): void => {
    const { fleet } = this;
    const modeOf = (slot: number): StopMode => {
      if (wiped.includes(slot)) return "wipe";
      if (corrupted.includes(slot)) return "corrupt";
      return byPower ? "power-loss" : "kill";
    };
    fleet
      .present()
      .filter(({ controller }) => controller !== undefined)
      .forEach((machine) => {
        const slot = fleet.slots.indexOf(machine);
        fleet.stop(machine, downUs[slot] ?? 500 * MILLISECOND_US, modeOf(slot));
      });
  };

  private readonly applyNoise = ({ noise, durationUs }: EventOf<"noise">): void => {
    const { network } = this.fleet;
    network.noise = noise;
    this.time.after(durationUs, () => (network.noise = NO_NOISE));
  };

  private readonly sampleRepeatedly = (): void => {
    const { time, history, fleet } = this;
    fleet.machines.forEach(({ id, controller }) => {
      if (controller?.isRunning === true && controller.store.isVoting)
        history.voterSets.push({
          atUs: time.nowUs(),
          controller: id,
          voterSet: controller.store.voterSet(),
        });
    });
    time.after(SAMPLE_INTERVAL_US, this.sampleRepeatedly);
  };

  /** After the last fault, each remaining controller must confirm a change and serve a read. */
  private readonly sendFinalRequests = (): void =>
    this.fleet.present().forEach((machine, at) => this.sendFinalRequestsAt(machine, at));

  private readonly sendFinalRequestsAt = ({ id, controller }: Machine, at: number): void => {
    const { time, history, operator } = this;
    const startUs = time.nowUs();
    const change: FinalRequest = {
      description: `a change at ${id}`,
      startUs,
      servedAtUs: undefined,
    };
    const read: FinalRequest = { description: `a read at ${id}`, startUs, servedAtUs: undefined };
    history.finalRequests.push(change, read);
    const changeId = -1 - at;
    const item = { key: `route/last${at}`, version: 1, body: `{"order":${changeId}}` };
    void operator
      .submit(
        { id: changeId, items: [item], requires: "", slot: at, answerLossProbability: 0 },
        SERVE_TIMEOUT_US,
      )
      .then((isConfirmed) => {
        if (isConfirmed) change.servedAtUs = time.nowUs();
      });
    void operator.readUntilServed(controller, () => (read.servedAtUs = time.nowUs()));
  };
}

/** The (sender, receiver) pairs whose messages a partition between two machines blocks. */
const directedPairs = (
  here: string,
  there: string,
  direction: Direction,
): readonly (readonly [string, string])[] => [
  ...(direction === "to" ? [] : [[here, there] as const]),
  ...(direction === "from" ? [] : [[there, here] as const]),
];

/** Runs a schedule, with the real components unless others are given. */
export const simulate = (
  schedule: Schedule,
  components: Components = REAL_COMPONENTS,
): Promise<Outcome> => new Simulation(schedule, components).run();
