import type { Clock, Pulse } from "../common/clock.js";
import { MS } from "../common/duration.js";
import type { Message, Wire } from "../transport/connection.js";
import type { Board } from "./update-store.js";
import type { DepotAt } from "./node-sessions.js";

/** How many live pointsmen there are, all in all and by cell. */
export interface Crew {
  readonly pointsmen: number;
  readonly cells: Readonly<Record<string, number>>;
  /** The depots with a session; left out where there are none. */
  readonly depots?: readonly DepotAt[];
  /** The pointsmen that give large objects out to the others of their cell. */
  readonly halls?: readonly DepotAt[];
}

const GATHER_US = 4 * MS;

/**
 * Hands the news on to the children of this node in the relay tree: everything on joining, then what changed.
 * Invariant: a child has been sent every fact of the board, but for those in `changed`, which the next pulse sends.
 */
export class Feeder {
  private readonly children = new Set<Wire>();
  private readonly changed = new Set<string>();
  private readonly forgotten = new Set<string>();
  private flushPulse: Pulse | undefined;
  private crew: Crew = { pointsmen: 0, cells: {} };

  constructor(
    private readonly clock: Clock,
    private readonly board: Board,
    private readonly isComplete: () => boolean,
  ) {
    board.events.on("changed", (facts) => {
      facts.forEach((fact) => this.changed.add(fact.key));
      this.flushSoon();
    });
    board.events.on("forgotten", (keys) => {
      keys.forEach((key) => this.forgotten.add(key));
      this.flushSoon();
    });
  }

  get size(): number {
    this.prune();
    return this.children.size;
  }

  readonly adopt = (wire: Wire): void => {
    this.children.add(wire);
    wire.send(this.whole());
    wire.send({ kind: "crew", ...this.crew });
  };

  readonly release = (wire: Wire): void => {
    this.children.delete(wire);
  };

  readonly setCrew = (crew: Crew): void => {
    if (JSON.stringify(crew) === JSON.stringify(this.crew)) return;
    this.crew = crew;
    this.sendAll({ kind: "crew", ...crew });
  };

  /** Tells that every purge acknowledged before so long ago is in what has been sent. */
  readonly setFresh = (ageUs: number): void => {
    if (this.changed.size > 0) this.flush();
    this.sendAll({ kind: "fresh", ageUs });
  };

  /** Sends everything again, for instance once the registry has become complete. */
  readonly sendWhole = (): void => this.sendAll(this.whole());

  readonly closeAll = (): void => this.children.forEach((wire) => wire.close());

  private readonly whole = (): Message => ({
    kind: "news",
    whole: true,
    complete: this.isComplete(),
    facts: this.board.pack(this.board.all()),
  });

  private readonly flushSoon = (): void => {
    this.flushPulse ??= this.clock.after(GATHER_US, this.flush);
  };

  private readonly flush = (): void => {
    this.flushPulse?.stop();
    this.flushPulse = undefined;
    const facts = [...this.changed].flatMap((key) => this.board.get(key) ?? []);
    const forget = [...this.forgotten].filter((key) => this.board.get(key) === undefined);
    this.changed.clear();
    this.forgotten.clear();
    if (facts.length + forget.length > 0)
      this.sendAll({
        kind: "news",
        whole: false,
        complete: false,
        facts: this.board.pack(facts),
        forget,
      });
  };

  private readonly sendAll = (message: Message): void => {
    this.prune();
    this.children.forEach((wire) => wire.send(message));
  };

  private readonly prune = (): void => {
    this.children.forEach((wire) => {
      if (wire.isClosed) this.children.delete(wire);
    });
  };
}
