/**
 * Operators who send changes and reads to controllers, as `yewreel ctl` does, and try the next one
 * without a clear answer.
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
/** An operator gives a change up after so long. */
const CHANGE_TIMEOUT_US = 6 * SECOND_US;

export interface ChangeRequest {
  readonly id: number;
  readonly items: readonly Item[];
  /** An item that must exist for the change to be valid; empty if none. */
  readonly requires: string;
  /** The place in the operator's list where it is sent first. */
  readonly slot: number;
  readonly answerLossProbability: number;
}

export interface OperatorOptions {
  readonly fleet: Fleet;
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly history: History;
  /** Appended to each body. */
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

export class SimulatedOperator {
  private readonly requirements = new Map<number, string>();

  constructor(private readonly options: OperatorOptions) {}

  /**
   * Sends a change until it has a clear answer or the operator gives up; true if it was confirmed.
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
      deadlineUs: deadlineUs,
      answerLossProbability,
    });
  };

  /** Sends a change of before once more, to one controller. */
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

  /** Reads at one controller until a read is served. */
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

  /** To one controller after the other. */
  private readonly deliver = async ({
    id,
    registers,
    requires,
    slot,
    deadlineUs: deadlineUs,
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
