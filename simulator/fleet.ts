/** The machines of a simulated deployment with their disks and processes. */
import { SECOND_US } from "../src/common/duration.js";
import type { History } from "./history.js";
import type { Deployment, StopMode } from "./schedule.js";
import type { SeededRandom } from "./seeded-random.js";
import { SimulatedController, type Components } from "./simulated-controller.js";
import { SimulatedDisk } from "./simulated-disk.js";
import { SimulatedNetwork } from "./simulated-network.js";
import type { VirtualTime } from "./virtual-time.js";

/** A machine at a fixed address. Its disk persists across restarts of its process. */
export interface Machine {
  readonly id: string;
  readonly disk: SimulatedDisk;
  /** The most recent process, which may have terminated. */
  controller: SimulatedController | undefined;
  downUntilUs: number;
  /** When it was removed permanently; undefined while it belongs to the deployment. */
  removedUs: number | undefined;
  isDraining: boolean;
}

/** Dependencies of {@link Fleet}. */
export interface FleetOptions {
  readonly deployment: Deployment;
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly history: History;
  readonly components: Components;
}

/** How long a removed machine stays on the operator's list. */
const LISTED_AFTER_REMOVAL_US = 3 * SECOND_US;
/**
 * Prefix of machine ids. Ids are stored on the simulated disks, so like the bodies of changes they
 * affect the outcome of a seed: a new prefix would make the seeds that docs/simulator.md names run
 * differently.
 */
const ID_PREFIX = "box";

/**
 * Starts, stops and replaces machines. Invariant: each slot refers to a machine of the deployment;
 * `machines` also contains those that were replaced.
 */
export class Fleet {
  readonly machines: Machine[] = [];
  readonly slots: Machine[];
  readonly network: SimulatedNetwork;
  private readonly initialSeeds: readonly string[];

  constructor(private readonly options: FleetOptions) {
    const { deployment, time, random } = options;
    this.network = new SimulatedNetwork(
      time,
      random.fork(),
      this.liveControllerOf,
      this.liveControllers,
    );
    this.slots = Array.from({ length: deployment.controllers }, this.addMachine);
    this.initialSeeds = Array.from(
      { length: deployment.seeds },
      (_none, at) => `${ID_PREFIX}${at}`,
    );
  }

  readonly machineAt = (slot: number): Machine => {
    const machine = this.slots[slot];
    if (!machine) throw new Error(`no machine in slot ${slot}`);
    return machine;
  };

  /** The machines that have not been removed, whether or not their process runs. */
  readonly present = (): readonly Machine[] =>
    this.machines.filter(({ removedUs }) => removedUs === undefined);

  /** The operator's list, which still contains a machine for a while after its removal. */
  readonly listed = (): readonly Machine[] =>
    this.machines.filter(
      ({ removedUs, controller }) =>
        controller !== undefined &&
        (removedUs === undefined ||
          this.options.time.nowUs() - removedUs < LISTED_AFTER_REMOVAL_US),
    );

  /** Starts a machine's process unless it is running or the machine has been removed. */
  readonly start = (machine: Machine, isFirstRun: boolean): void => {
    if (machine.removedUs !== undefined || machine.controller?.isAlive === true) return;
    const { deployment, time, random, history, components } = this.options;
    const seeds = isFirstRun ? this.initialSeeds : this.seedsFor(machine);
    const controller = new SimulatedController({
      id: machine.id,
      seeds,
      isFirstRun,
      time,
      network: this.network,
      disk: machine.disk,
      random: random.fork(),
      history,
      components,
      withstandMachines: deployment.withstandMachines,
    });
    machine.controller = controller;
    void controller
      .start()
      .catch((error: unknown) =>
        history.errors.push(`${machine.id} failed to start: ${String(error)}`),
      );
  };

  /** Terminates the process, applies the mode's damage to the disk, and restarts after `downUs`. */
  readonly stop = (machine: Machine, downUs: number, mode: StopMode): void => {
    const { time } = this.options;
    machine.controller?.terminate(mode === "kill" || mode === "corrupt");
    if (machine.isDraining) machine.removedUs ??= time.nowUs();
    if (mode === "power-loss") machine.disk.losePower();
    if (mode === "wipe") machine.disk.wipe();
    if (mode === "corrupt") machine.disk.corrupt();
    machine.downUntilUs = Math.max(machine.downUntilUs, time.nowUs() + downUs);
    time.at(machine.downUntilUs, () => {
      if (time.nowUs() >= machine.downUntilUs) this.start(machine, false);
    });
  };

  /** Removes a machine from the deployment permanently. */
  readonly remove = (machine: Machine): void => {
    machine.controller?.terminate(false);
    machine.removedUs ??= this.options.time.nowUs();
  };

  /** Assigns a new machine with an empty disk to a slot, without starting it. */
  readonly replaceAt = (slot: number): Machine => {
    const machine = this.addMachine();
    this.slots[slot] = machine;
    return machine;
  };

  private readonly addMachine = (): Machine => {
    const machine: Machine = {
      id: `${ID_PREFIX}${this.machines.length}`,
      disk: new SimulatedDisk(this.options.time, this.options.random.fork()),
      controller: undefined,
      downUntilUs: 0,
      removedUs: undefined,
      isDraining: false,
    };
    this.machines.push(machine);
    return machine;
  };

  private readonly liveControllerOf = (id: string): SimulatedController | undefined => {
    const controller = this.machines.find((machine) => machine.id === id)?.controller;
    return controller?.isAlive === true ? controller : undefined;
  };

  private readonly liveControllers = (): readonly SimulatedController[] =>
    this.machines.flatMap(({ controller }) => (controller?.isAlive === true ? [controller] : []));

  /**
   * Picks up to three seeds from the operator's list: two that are neither removed nor draining,
   * and one that may have been removed already.
   */
  private readonly seedsFor = (machine: Machine): readonly string[] => {
    const { random } = this.options;
    const others = this.listed().filter((other) => other !== machine);
    const staying = others.filter(
      ({ removedUs, isDraining }) => removedUs === undefined && !isDraining,
    );
    const first = staying.length > 0 ? random.integer(0, staying.length - 1) : 0;
    const picked = [
      staying[first],
      staying[(first + 1) % Math.max(1, staying.length)],
      others.length > 0 ? random.pick(others) : undefined,
    ];
    return [...new Set(picked.flatMap((other) => (other ? [other.id] : [])))];
  };
}
