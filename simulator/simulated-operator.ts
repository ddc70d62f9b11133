/**
 * Operators who send changes and reads to controllers, as `yewreel ctl` does. A change without a
 * definite response is sent to the next controller.
 */
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { makeRegister, type Register } from "../src/consensus/register.js";
import type { Fleet, Machine } from "./fleet.js";
import type { History } from "./history.js";
import { MISSING_ITEM, type Item } from "./schedule.js";
import type { SeededRandom } from "./seeded-random.js";
import type { SimulatedController } from "./simulated-controller.js";
import type { VirtualTime } from "./virtual-time.js";

const ANSWER_TIMEOUT_US = 1 * SECOND_US;
/** How long an operator keeps trying to submit a change. */
const CHANGE_TIMEOUT_US = 6 * SECOND_US;

/** A configuration change and how it is sent. */
export interface ChangeRequest {
  readonly id: number;
  readonly items: readonly Item[];
  /** An item that must exist for the change to be valid; empty if none. */
  readonly requires: string;
  /** The position on the operator's list of the controller that receives it first. */
  readonly slot: number;
  readonly answerLossProbability: number;
}

/** Dependencies of {@link SimulatedOperator}. */
export interface OperatorOptions {
  readonly fleet: Fleet;
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly history: History;
  /** Padding appended to each body. */
  readonly padding: string;
}

interface Delivery {
  readonly id: number;
  readonly registers: readonly Register[];
  readonly requires: string;
  readonly slot: number;
  readonly deadlineUs: number;
  readonly answerLossProbability: number;
}

/** Sends the requests of a schedule and those after its last fault. */
export class SimulatedOperator {
  private readonly requirements = new Map<number, string>();

  constructor(private readonly options: OperatorOptions) {}

  /**
   * Sends a change until it gets a definite response or the time-out expires. Resolves with true if
   * it was confirmed.
   */
  readonly submit = (
    { id, items, requires, slot, answerLossProbability }: ChangeRequest,
    timeoutUs = CHANGE_TIMEOUT_US,
  ): Promise<boolean> => {
    const { history, time } = this.options;
    this.requirements.set(id, requires);
    if (requires === MISSING_ITEM) history.neverValid.add(id);
    const registers = this.recordChange(id, items);
    const deadlineUs = time.nowUs() + timeoutUs;
    return this.deliver({
      id,
      registers,
      requires,
      slot,
      deadlineUs,
      answerLossProbability,
    });
  };

  /** Sends an earlier change once more, to one controller. */
  readonly resend = (id: number, slot: number): void => {
    const registers = this.options.history.changes.get(id);
    if (!registers) return;
    const requires = this.requirements.get(id) ?? "";
    void this.deliver({ id, registers, requires, slot, deadlineUs: 0, answerLossProbability: 0 });
  };

  readonly readAt = (slot: number): void => {
    const controller = this.machineListedAt(slot)?.controller;
    if (controller?.isListening === true) void this.callWithTimeout(controller, controller.read);
  };

  /** Repeats a read at one controller until it is served. */
  readonly readUntilServed = async (
    controller: SimulatedController | undefined,
    onServed: () => void,
  ): Promise<void> => {
    if (controller && (await this.callWithTimeout(controller, controller.read)) === true)
      onServed();
    else
      await this.pause(200 * MILLISECOND_US).then(() => this.readUntilServed(controller, onServed));
  };

  private readonly recordChange = (id: number, items: readonly Item[]): readonly Register[] => {
    const { history, padding } = this.options;
    const registers = items.map(({ key, version, body }) =>
      makeRegister(key, version, body === "" ? "" : body + padding, body === ""),
    );
    history.changes.set(id, registers);
    return registers;
  };

  /** Tries one controller after the other until there is a definite response. */
  private readonly deliver = async ({
    id,
    registers,
    requires,
    slot,
    deadlineUs,
    answerLossProbability,
  }: Delivery): Promise<boolean> => {
    const { time, random } = this.options;
    let position = slot;
    do {
      const controller = this.machineListedAt(position)?.controller;
      const answer =
        controller?.isAlive === true && controller.isListening
          ? await this.callWithTimeout(controller, () =>
              controller.submitChange({ id, registers, requires }),
            )
          : "unclear";
      if (answer !== "unclear" && !random.occurs(answerLossProbability)) return answer === "ok";
      await this.pause(random.integer(50 * MILLISECOND_US, 500 * MILLISECOND_US));
      position += 1;
    } while (time.nowUs() < deadlineUs);
    return false;
  };

  private readonly machineListedAt = (at: number): Machine | undefined => {
    const listed = this.options.fleet.listed();
    return listed[at % Math.max(1, listed.length)];
  };

  private readonly pause = (waitUs: number): Promise<void> =>
    new Promise((resolve) => this.options.time.after(waitUs, resolve));

  private readonly callWithTimeout = <T>(
    controller: SimulatedController,
    call: () => Promise<T>,
  ): Promise<T | "unclear"> =>
    new Promise((resolve, reject) => {
      const { time, random } = this.options;
      time.after(ANSWER_TIMEOUT_US, () => resolve("unclear"));
      time.after(random.integer(300, 3_000), () =>
        controller.run(() => void call().then((value) => resolve(value), reject)),
      );
    });
}
