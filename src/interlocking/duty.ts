import { type Clock, type Pulse } from "../trackbed/clock.js";
import type { Log } from "../trackbed/log.js";
import { asRec, flag, parseJson, text } from "../trackbed/shape.js";
import { MS } from "../trackbed/span.js";
import type { Message } from "../trackbed/wire.js";
import { GRANT_KEY, membersOf, rosterRegister, ROSTER_KEY, STORE_WAIT_US, type Ledger } from "./ledger.js";
import { makeRegister, type Register } from "./register.js";

const EPOCH_STEP = 256;

const holderOf = (grant: Register | undefined): string => (grant ? text(asRec(parseJson(grant.body)), "holder") : "");

const grantRegister = (epoch: number, holder: string): Register => makeRegister(GRANT_KEY, epoch, JSON.stringify({ holder }));

export interface DutyOptions {
  readonly self: string;
  readonly ledger: Ledger;
  readonly clock: Clock;
  readonly log: Log;
  readonly stands: (id: string) => boolean;
  readonly ask: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly hasDisk: boolean;
  readonly withstandMachines: number;
  /** For how long a holder must be unseen before others propose themselves. */
  readonly patienceUs: number;
}

/**
 * The duty that one signalbox does: changing the roster and deciding ejections.
 * Invariants: an epoch names its proposer (its remainder is the place in the roster), so no two signalboxes ever hold
 * the same one; a holder acts only while the grant it won is the newest it knows, and every act carries its epoch,
 * which a majority refuses once it has accepted a newer.
 */
export class Duty {
  private wonEpoch = 0;
  private unseenSinceUs: number | undefined;
  private busy = false;
  private pulse: Pulse | undefined;

  constructor(private readonly options: DutyOptions) {}

  readonly start = (): void => {
    this.pulse = this.options.clock.every(250 * MS, () => void this.tick());
  };

  readonly stop = (): void => this.pulse?.stop();

  readonly holder = (): string => holderOf(this.options.ledger.get(GRANT_KEY));

  readonly epoch = (): number => this.options.ledger.epoch();

  readonly isHolder = (): boolean => this.wonEpoch !== 0 && this.wonEpoch === this.epoch();

  /** Whether more than half of the roster stands, this one included if its copy counts. */
  readonly hasMajority = (): boolean => {
    const { self, ledger, stands } = this.options;
    const members = ledger.members();
    return members.filter((id) => stands(id) && (id !== self || ledger.isCounting)).length > members.length / 2;
  };

  /** Answers votes, joins, leaves and namings. */
  readonly answer = async (message: Message): Promise<Message> => {
    switch (message.kind) {
      case "vote":
        return { kind: "voted", yes: await this.vote(message) };
      case "join":
        return { kind: "done", yes: await this.changeRoster((members) => [...members.filter((id) => id !== message["id"]), text(message, "id")]) };
      case "leave":
        return { kind: "done", yes: await this.changeRoster((members) => members.filter((id) => id !== message["id"])) };
      default:
        return { kind: "done", yes: await this.propose(text(message, "namedBy")) };
    }
  };

  /** Gives the duty to the first standing member that fits. */
  readonly handTo = async (fits: (id: string) => boolean): Promise<boolean> => {
    const { self, ledger, stands, ask } = this.options;
    const other = ledger.members().find((id) => id !== self && stands(id) && fits(id));
    if (!this.isHolder() || other === undefined) return false;
    const reply = await ask(other, { kind: "succeed", namedBy: self }, STORE_WAIT_US);
    return reply !== undefined && flag(reply, "yes");
  };

  /** Before an orderly end: name a successor if this one holds the duty, then leave the roster. */
  readonly handOver = async (): Promise<void> => {
    this.stop();
    const { self, ledger, ask } = this.options;
    await this.handTo(() => true);
    const holder = this.holder();
    if (holder !== self && ledger.isMember()) await ask(holder, { kind: "leave", id: self }, STORE_WAIT_US);
  };

  /** The wanted state is one standing holder and every caught-up signalbox with a disk on the roster. */
  private readonly tick = async (): Promise<void> => {
    if (this.busy) return;
    this.busy = true;
    try {
      const { self, ledger, stands, ask, hasDisk, clock, patienceUs } = this.options;
      if (!ledger.isCounting) return;
      const holder = this.holder();
      const members = ledger.members();
      if (!ledger.isMember()) {
        if (hasDisk && holder !== "" && stands(holder)) await ask(holder, { kind: "join", id: self }, STORE_WAIT_US * 2);
        return;
      }
      const seen = holder === self ? this.isHolder() : members.includes(holder) && stands(holder);
      if (seen) {
        this.unseenSinceUs = undefined;
        return;
      }
      const nowUs = clock.nowUs();
      this.unseenSinceUs ??= nowUs;
      const first = holder === "" || holder === self;
      const waitUs = (first ? 0 : patienceUs) + members.indexOf(self) * 300 * MS;
      if (nowUs - this.unseenSinceUs >= waitUs) await this.propose("");
    } finally {
      this.busy = false;
    }
  };

  private readonly propose = async (namedBy: string): Promise<boolean> => {
    const { self, ledger, log } = this.options;
    const members = ledger.members();
    const place = members.indexOf(self);
    // One that is cut off proposes nothing: its epochs would rise and unseat the holder once it is joined.
    if (place < 0 || !ledger.isCounting || !this.hasMajority()) return false;
    const epoch = (Math.floor(this.epoch() / EPOCH_STEP) + 1) * EPOCH_STEP + place;
    const message: Message = { kind: "vote", epoch, holder: self, namedBy };
    const won = await ledger.gather(
      message,
      (reply) => flag(reply, "yes"),
      () => this.vote(message),
      () => [ledger.members()],
      STORE_WAIT_US,
    );
    if (won.isErr || this.epoch() !== epoch) return false;
    this.wonEpoch = epoch;
    this.unseenSinceUs = undefined;
    log.info(`Took the duty with epoch ${epoch}.`);
    return true;
  };

  /** Says yes once to a newer epoch, if the holder is unseen here, named this one itself, or asks again. */
  private readonly vote = async (message: Message): Promise<boolean> => {
    const { ledger, stands, self } = this.options;
    const holder = this.holder();
    const proposer = text(message, "holder");
    const epoch = Number(message["epoch"]);
    const holderSeen = holder !== "" && (holder === self ? this.isHolder() : stands(holder));
    const free = !holderSeen || holder === proposer || message["namedBy"] === holder;
    if (!(epoch > this.epoch()) || !free || !ledger.isCounting) return false;
    ledger.merge([grantRegister(epoch, proposer)]);
    return ledger.safe();
  };

  private readonly changeRoster = async (change: (members: readonly string[]) => readonly string[]): Promise<boolean> => {
    const { ledger, withstandMachines, log } = this.options;
    if (!this.isHolder()) return false;
    const epoch = this.epoch();
    const read = await ledger.readAndMend();
    if (read.isErr || !this.isHolder()) return false;
    const before = ledger.get(ROSTER_KEY);
    const members = membersOf(before);
    const wanted = [...new Set(change(members))].sort();
    if (wanted.join() === members.join()) return true;
    if (wanted.length < members.length && wanted.length < 2 * withstandMachines + 1) return false;
    const written = await ledger.write([rosterRegister((before?.version ?? 0) + 1, wanted)], epoch);
    if (written.isOk) log.info(`The roster is now ${wanted.join(", ")}.`);
    return written.isOk;
  };
}
