import Emittery from "emittery";
import { Asks } from "../transport/pending-requests.js";
import { rest, within, type Clock } from "../common/clock.js";
import type { Log } from "../common/logger.js";
import { splitAddress } from "../common/settings.js";
import { asList, asRec, flag, list, text, textOf, whole } from "../common/decode.js";
import { MS } from "../common/duration.js";
import { dial, type Message, type Wire, type WireTimes } from "../transport/connection.js";
import { WORKER_PREFIX, type Board } from "./update-store.js";
import type { Crew } from "./update-publisher.js";
import { readCrew, type Role } from "./node-sessions.js";

export interface TakerOptions {
  readonly name: string;
  readonly cell: string;
  readonly role: Role;
  readonly linkMbps?: number;
  readonly relay: string;
  readonly seeds: readonly string[];
  readonly signalPort: number;
  readonly clock: Clock;
  readonly times: WireTimes;
  readonly board: Board;
  readonly log: Log;
  /** Answers what a signalbox asks this node. */
  readonly answer?: (question: Message) => Message | undefined;
}

export type SessionState = "looking" | "greeting" | "standing";

const LOOK_AGAIN_US = 150 * MS;
const RELAY_WAIT_US = 600 * MS;
/** How many signalboxes are remembered, those told last first. */
const MOST_BOXES = 32;
const OTHERS_EVERY = 3;

/**
 * A pointsman's way to the news: one session with a signalbox, and the news from it or from the relay it names.
 * Cut off, it goes on with the board as it is.
 */
export class Taker {
  readonly events = new Emittery<{
    crew: Crew;
    whole: undefined;
    fresh: number;
    unfed: undefined;
  }>();
  private state: SessionState = "looking";
  /** Every signalbox that was told of, those told last first; who is no longer told of is kept behind, since a teller may be cut off. */
  private boxes: readonly {
    readonly id: string;
    readonly cell: string;
    readonly isTold: boolean;
  }[] = [];
  private seeds: readonly string[];
  private wire: Wire | undefined;
  /** Invariant: set exactly while a relay feeds this node. */
  private relayWire: Wire | undefined;
  private parent = "";
  private tried = new Map<string, number>();
  private stopping = false;
  /** How often a signalbox was looked for since the last session. */
  private looks = 0;
  private readonly asks: Asks;

  constructor(private readonly options: TakerOptions) {
    this.asks = new Asks(options.clock);
    this.seeds = options.seeds;
  }

  /** Takes the seeds of a settings file that was read again. */
  readonly renewSeeds = (seeds: readonly string[]): void => {
    this.seeds = seeds;
  };

  /** Whether the news comes in, so that children may be fed. */
  get isFed(): boolean {
    return this.parent === "" ? this.state === "standing" : this.relayWire !== undefined;
  }

  /** The relay that is to feed this node; empty where its signalbox does. */
  get parentRelay(): string {
    return this.parent;
  }

  /** Whether a session with a signalbox stands. */
  get isStanding(): boolean {
    return this.state === "standing";
  }

  readonly run = async (): Promise<void> => {
    for await (const state of this.life()) this.state = state;
  };

  readonly stop = (): void => {
    this.stopping = true;
    this.wire?.close();
    this.relayWire?.close();
  };

  readonly report = (message: Message): void => {
    if (this.state === "standing") this.wire?.send(message);
  };

  /** Asks the signalbox; undefined when the session ends or the wait is over first. */
  readonly ask = (message: Message, waitUs: number): Promise<Message | undefined> => {
    return this.state === "standing" && this.wire
      ? this.asks.ask(this.wire.send, message, waitUs)
      : Promise.resolve(undefined);
  };

  private async *life(): AsyncGenerator<SessionState, void, undefined> {
    const { name, cell, relay, role, linkMbps, signalPort, clock, times, log } = this.options;
    while (!this.stopping) {
      yield "looking";
      const box = this.choose();
      const wire = await dial(splitAddress(box).ip, signalPort, clock, times.silenceUs / 2, times);
      if (wire) {
        yield "greeting";
        this.wire = wire;
        wire.send({
          kind: "pointsman",
          node: { name, cell, relay, role, ...(linkMbps === undefined ? {} : { linkMbps }) },
        });
        const incoming = wire.incoming();
        const first = await within(clock, times.silenceUs, incoming.next(), undefined);
        if (first && !first.done) {
          this.learnBoxes(first.value);
          if (first.value.kind === "welcome") {
            log.info(`Session with ${box} stands.`);
            this.tried.clear();
            this.looks = 0;
            yield "standing";
            for await (const message of incoming) this.take(message);
            log.info(`Session with ${box} is over.`);
          }
        }
        wire.close();
        this.wire = undefined;
        this.asks.drop();
        yield "looking";
        this.sayUnfed();
      }
      this.tried.set(box, clock.nowUs());
      if (!this.stopping) await rest(clock, LOOK_AGAIN_US);
    }
  }

  /**
   * Of the signalboxes told last, that of the own cell first, else the one whose failure is longest ago. Every third look
   * goes to the others, seeds and those told before: after replacements many of these are gone, and each costs a wait.
   */
  private readonly choose = (): string => {
    this.looks += 1;
    const told = this.boxes.filter(({ isTold }) => isTold);
    const others = [...new Set([...this.boxes.map(({ id }) => id), ...this.seeds])].filter(
      (id) => !told.some((box) => box.id === id),
    );
    const isOthersTurn =
      told.length === 0 || (others.length > 0 && this.looks % OTHERS_EVERY === 0);
    const near = new Set(told.filter(({ cell }) => cell === this.options.cell).map(({ id }) => id));
    const pool = isOthersTurn ? others : told.map(({ id }) => id);
    const scores = new Map(
      pool.map((id) => [
        id,
        (this.tried.get(id) ?? 0) + (near.has(id) ? 0 : 1) + Math.random() * 0.5,
      ]),
    );
    return pool.sort((a, b) => (scores.get(a) ?? 0) - (scores.get(b) ?? 0))[0] ?? "";
  };

  private readonly learnBoxes = (message: Message): void => {
    const told = list(message, "boxes", asRec).map((rec) => ({
      id: text(rec, "id"),
      cell: text(rec, "cell"),
      isTold: true,
    }));
    const ids = new Set(told.map(({ id }) => id));
    const others = this.boxes
      .filter(({ id }) => !ids.has(id))
      .map((box) => ({ ...box, isTold: false }));
    this.boxes = [...told, ...others].slice(0, MOST_BOXES);
  };

  /** Without news of its own a relay feeds nobody. */
  private readonly sayUnfed = (): void => {
    if (!this.isFed) void this.events.emit("unfed");
  };

  private readonly take = (message: Message): void => {
    if (this.asks.settle(message)) return;
    if (typeof message["ask"] === "number")
      return this.report({
        ...(this.options.answer?.(message) ?? { kind: "unknown" }),
        re: message["ask"],
      });
    switch (message.kind) {
      case "boxes":
        return this.learnBoxes(message);
      case "parent":
        return this.follow(text(message, "parent"));
      default:
        return this.takeNews(message);
    }
  };

  private readonly takeNews = (message: Message): void => {
    const { board } = this.options;
    if (message.kind === "crew") void this.events.emit("crew", readCrew(message));
    if (message.kind === "fresh") void this.events.emit("fresh", whole(message, "ageUs"));
    if (message.kind !== "news") return;
    const facts = asList(message["facts"], "facts");
    board.take(facts);
    board.forget(list(message, "forget", textOf));
    if (flag(message, "whole")) {
      if (flag(message, "complete"))
        this.forgetUntold(new Set(facts.map((fact) => text(asRec(fact), "key"))));
      void this.events.emit("whole");
    }
  };

  /** A complete telling names every worker there is; plan items never vanish, since drops stay as tombstones. */
  private readonly forgetUntold = (told: ReadonlySet<string>): void => {
    const { board } = this.options;
    board.forget(
      board
        .all()
        .map((fact) => fact.key)
        .filter((key) => key.startsWith(WORKER_PREFIX) && !told.has(key)),
    );
  };

  private readonly follow = (parent: string): void => {
    this.parent = parent;
    this.relayWire?.close();
    this.relayWire = undefined;
    if (parent !== "") void this.feedFrom(parent);
  };

  private readonly feedFrom = async (parent: string): Promise<void> => {
    const { clock, times, name } = this.options;
    const { ip, port } = splitAddress(parent);
    const wire = await dial(ip, port, clock, RELAY_WAIT_US, times);
    if (wire && this.parent === parent) {
      this.relayWire = wire;
      wire.send({ kind: "child", name });
      for await (const message of wire.incoming()) {
        if (this.parent === parent) this.takeNews(message);
      }
      if (this.relayWire === wire) {
        this.relayWire = undefined;
        this.sayUnfed();
      }
    }
    wire?.close();
    if (this.parent === parent) this.report({ kind: "lost-news", parent });
  };
}
