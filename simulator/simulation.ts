import { makeRegister, type Register } from "../src/consensus/register.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Box, REAL_PARTS, type Parts } from "./simulated-controller.js";
import { Chance } from "./seeded-random.js";
import { SimDisk } from "./simulated-disk.js";
import { History, type Call } from "./history.js";
import { CALM, Net } from "./simulated-network.js";
import {
  CATCH_UP_US,
  deploymentOf,
  EMPTY_COMES_US,
  GRACE_US,
  NEVER,
  SUCCESSOR_UP_US,
  type Event,
  type Schedule,
  type Way,
} from "./schedule.js";
import { World } from "./virtual-time.js";

interface Machine {
  readonly id: string;
  readonly disk: SimDisk;
  box: Box | undefined;
  downUntilUs: number;
  /** When it went for good. */
  goneUs: number | undefined;
  isLeaving: boolean;
}

/** The operator's list of machines lags by so much. */
const LIST_LAG_US = 3 * SECOND_US;
const ANSWER_WAIT_US = 1 * SECOND_US;
/** An operator gives an order up after so long. */
const GIVE_UP_US = 6 * SECOND_US;
const SAMPLE_US = 500 * MILLISECOND_US;
/** After the calm's `catchUp`, an order must be confirmed and a read served in so much time. */
export const CONFIRM_US = 4 * SECOND_US;
/** And the roster must be as it should so long after the last trouble. */
const ROSTER_US = 4 * SECOND_US;

export interface Outcome {
  readonly history: History;
  /** Who runs at the end. */
  readonly live: readonly string[];
  readonly events: number;
}

/** One play of a schedule from the first start to a calm end. */
export const play = async (schedule: Schedule, parts: Parts = REAL_PARTS): Promise<Outcome> => {
  const size = deploymentOf(schedule.deployment);
  const world = new World();
  const chance = new Chance(schedule.seed ^ 0x5bd1e995);
  const history = new History();
  const machines: Machine[] = [];
  const pad = " ".repeat(schedule.padBytes);
  const boxOf = (id: string): Box | undefined => {
    const box = machines.find((machine) => machine.id === id)?.box;
    return box?.isAlive === true ? box : undefined;
  };
  const net = new Net(world, chance.fork(), boxOf, () =>
    machines.flatMap(({ box }) => (box?.isAlive === true ? [box] : [])),
  );

  const build = (): Machine => {
    const machine: Machine = {
      id: `box${machines.length}`,
      disk: new SimDisk(world, chance.fork()),
      box: undefined,
      downUntilUs: 0,
      goneUs: undefined,
      isLeaving: false,
    };
    machines.push(machine);
    return machine;
  };
  const listed = (): readonly Machine[] =>
    machines.filter(
      ({ goneUs, box }) =>
        box !== undefined && (goneUs === undefined || world.nowUs() - goneUs < LIST_LAG_US),
    );
  const firstSeeds = Array.from({ length: size.seeds }, (_none, at) => `box${at}`);
  /** Three of the operator's list, which may name one that has gone meanwhile; two are there when the file is written. */
  const seedsFor = (machine: Machine): readonly string[] => {
    const others = listed().filter((other) => other !== machine);
    const sound = others.filter(({ goneUs, isLeaving }) => goneUs === undefined && !isLeaving);
    const first = sound.length > 0 ? chance.whole(0, sound.length - 1) : 0;
    const picked = [
      sound[first],
      sound[(first + 1) % Math.max(1, sound.length)],
      others.length > 0 ? chance.pick(others) : undefined,
    ];
    return [...new Set(picked.flatMap((other) => (other ? [other.id] : [])))];
  };
  const start = (machine: Machine, firstRun: boolean): void => {
    if (machine.goneUs !== undefined || machine.box?.isAlive === true) return;
    const seeds = firstRun ? firstSeeds : seedsFor(machine);
    const box = new Box({
      id: machine.id,
      seeds,
      firstRun,
      world,
      net,
      disk: machine.disk,
      chance: chance.fork(),
      history,
      parts,
      withstandMachines: size.withstandMachines,
    });
    machine.box = box;
    void box
      .start()
      .catch((error: unknown) =>
        history.mishaps.push(`${machine.id} failed at its start: ${String(error)}`),
      );
  };
  const goForGood = (machine: Machine): void => {
    machine.box?.end(false);
    machine.goneUs ??= world.nowUs();
  };
  /** Ends the process, and with the power what wasn't synced; it is back after a while. */
  const stop = (
    machine: Machine,
    downUs: number,
    how: "kill" | "power" | "wipe" | "spoil",
  ): void => {
    machine.box?.end(how === "kill" || how === "spoil");
    if (machine.isLeaving) machine.goneUs ??= world.nowUs();
    if (how === "power") machine.disk.losePower();
    if (how === "wipe") machine.disk.wipe();
    if (how === "spoil") machine.disk.spoil();
    machine.downUntilUs = Math.max(machine.downUntilUs, world.nowUs() + downUs);
    world.at(machine.downUntilUs, () => {
      if (world.nowUs() >= machine.downUntilUs) start(machine, false);
    });
  };

  const slots = Array.from({ length: size.boxes }, build);
  const machineAt = (slot: number): Machine => {
    const machine = slots[slot];
    if (!machine) throw new Error(`there is no slot ${slot}`);
    return machine;
  };

  /** Sends an order to one machine after the other until it has a clear answer. */
  const send = async (
    id: number,
    registers: readonly Register[],
    needs: string,
    slot: number,
    untilUs: number,
    lostAnswers: number,
  ): Promise<boolean> => {
    let at = slot;
    do {
      const box = machineOnList(at)?.box;
      const answer =
        box?.isAlive === true && box.isListening
          ? await answerOf(box, () => box.take({ id, registers, needs }))
          : "unclear";
      if (answer !== "unclear" && !chance.hits(lostAnswers)) return answer === "ok";
      await rest(chance.whole(50 * MILLISECOND_US, 500 * MILLISECOND_US));
      at += 1;
    } while (world.nowUs() < untilUs);
    return false;
  };
  const machineOnList = (at: number): Machine | undefined => {
    const list = listed();
    return list[at % Math.max(1, list.length)];
  };
  const rest = (waitUs: number): Promise<void> =>
    new Promise((resolve) => world.after(waitUs, resolve));
  const answerOf = <T>(box: Box, call: () => Promise<T>): Promise<T | "unclear"> =>
    new Promise((resolve, reject) => {
      world.after(ANSWER_WAIT_US, () => resolve("unclear"));
      world.after(chance.whole(300, 3_000), () =>
        box.run(() => void call().then((value) => resolve(value), reject)),
      );
    });
  const orderOf = (
    id: number,
    parts: readonly { readonly key: string; readonly version: number; readonly body: string }[],
  ): readonly Register[] => {
    const registers = parts.map(({ key, version, body }) =>
      makeRegister(key, version, body === "" ? "" : body + pad, body === ""),
    );
    history.orders.set(id, registers);
    return registers;
  };
  const needsOf = new Map<number, string>();

  const cut = (slot: number, others: readonly number[], way: Way, forUs: number): void => {
    const here = machineAt(slot).id;
    const ways = others.flatMap((other): (readonly [string, string])[] => {
      const there = machineAt(other).id;
      return [
        ...(way === "to" ? [] : [[here, there] as const]),
        ...(way === "from" ? [] : [[there, here] as const]),
      ];
    });
    ways.forEach(([from, to]) => net.cut(from, to));
    world.after(forUs, () => ways.forEach(([from, to]) => net.join(from, to)));
  };

  const happen = (event: Event): void => {
    switch (event.kind) {
      case "order":
        needsOf.set(event.id, event.needs);
        if (event.needs === NEVER) history.hopeless.add(event.id);
        void send(
          event.id,
          orderOf(event.id, event.parts),
          event.needs,
          event.slot,
          world.nowUs() + GIVE_UP_US,
          event.lostAnswers,
        );
        break;
      case "resend": {
        const registers = history.orders.get(event.id);
        if (registers)
          void send(event.id, registers, needsOf.get(event.id) ?? "", event.slot, 0, 0);
        break;
      }
      case "read": {
        const box = machineOnList(event.slot)?.box;
        if (box?.isListening === true) void answerOf(box, box.read);
        break;
      }
      case "kill":
      case "power":
      case "wipe":
      case "spoil":
        stop(machineAt(event.slot), event.downUs, event.kind);
        break;
      case "freeze": {
        const { box } = machineAt(event.slot);
        box?.freeze();
        world.after(event.forUs, () => box?.thaw());
        break;
      }
      case "cut":
        cut(event.slot, event.others, event.way, event.forUs);
        break;
      case "disk": {
        const { disk } = machineAt(event.slot);
        disk.setTrouble(event.trouble);
        world.after(event.forUs, () => disk.setTrouble(undefined));
        break;
      }
      case "replace": {
        goForGood(machineAt(event.slot));
        const machine = build();
        slots[event.slot] = machine;
        world.after(EMPTY_COMES_US, () => start(machine, false));
        break;
      }
      case "succeed": {
        const before = machineAt(event.slot);
        const machine = build();
        slots[event.slot] = machine;
        start(machine, false);
        world.after(SUCCESSOR_UP_US, () => {
          before.isLeaving = true;
          const { box } = before;
          if (box?.isAlive === true) box.run(() => void box.leave().then(() => goForGood(before)));
          world.after(GRACE_US, () => goForGood(before));
        });
        break;
      }
      case "all":
        machines
          .filter(({ goneUs, box }) => goneUs === undefined && box !== undefined)
          .forEach((machine) => {
            const slot = slots.indexOf(machine);
            const how = event.wiped.includes(slot)
              ? "wipe"
              : event.spoiled.includes(slot)
                ? "spoil"
                : event.byPower
                  ? "power"
                  : "kill";
            stop(machine, event.downUs[slot] ?? 500 * MILLISECOND_US, how);
          });
        break;
      case "noise":
        net.noise = event.noise;
        world.after(event.forUs, () => (net.noise = CALM));
        break;
    }
  };

  slots.forEach((machine) =>
    world.after(chance.whole(0, 300 * MILLISECOND_US), () => start(machine, true)),
  );
  schedule.events.forEach((event) => world.at(event.atUs, () => happen(event)));
  const sample = (): void => {
    machines.forEach(({ id, box }) => {
      if (box?.isAwake === true && box.store.isVoting)
        history.rosters.push({ atUs: world.nowUs(), box: id, roster: box.store.voterSet() });
    });
    world.after(SAMPLE_US, sample);
  };
  world.after(SAMPLE_US, sample);

  const calmUs = schedule.calmUs + CATCH_UP_US;
  world.at(calmUs, () =>
    machines
      .filter(({ goneUs }) => goneUs === undefined)
      .forEach(({ id, box }, at) => {
        const order: Call = {
          what: `an order at ${id}`,
          fromUs: world.nowUs(),
          servedUs: undefined,
        };
        const read: Call = { what: `a read at ${id}`, fromUs: world.nowUs(), servedUs: undefined };
        history.calls.push(order, read);
        const number = -1 - at;
        void send(
          number,
          orderOf(number, [{ key: `route/last${at}`, version: 1, body: `{"order":${number}}` }]),
          "",
          at,
          world.nowUs() + CONFIRM_US,
          0,
        ).then((isOk) => {
          if (isOk) order.servedUs = world.nowUs();
        });
        const readOn = async (): Promise<void> => {
          if (box && (await answerOf(box, box.read)) === true) read.servedUs = world.nowUs();
          else await rest(200 * MILLISECOND_US).then(readOn);
        };
        void readOn();
      }),
  );
  const endUs = calmUs + Math.max(CONFIRM_US, ROSTER_US) + SECOND_US;
  world.at(endUs - SECOND_US, () =>
    machines.forEach(
      ({ goneUs, box }) =>
        void (goneUs === undefined && box !== undefined ? box.read() : undefined),
    ),
  );
  await world.run(endUs);
  sample();
  return {
    history,
    live: machines.filter(({ goneUs }) => goneUs === undefined).map(({ id }) => id),
    events: world.count(),
  };
};
