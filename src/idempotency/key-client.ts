import { rest, type Clock } from "../common/clock.js";
import { asRec, isRec, list, textOf, whole } from "../common/decode.js";
import { MS } from "../common/duration.js";
import type { Message } from "../transport/connection.js";

/** The answer of a key's first run, as it is kept and given to repeats. */
export interface KeyAnswer {
  readonly status: number;
  readonly heads: readonly string[];
  readonly body: Uint8Array;
}

export type DeskVerdict =
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: KeyAnswer }
  | { readonly kind: "working" }
  | { readonly kind: "split" }
  | { readonly kind: "none" };

const CLAIM_WAIT_US = 600 * MS;
const KEEP_WAIT_US = 400 * MS;
const AGAIN_US = 100 * MS;

const readAnswer = (value: unknown): KeyAnswer => {
  const rec = asRec(value, "answer");
  const body = rec["body"];
  return {
    status: whole(rec, "status"),
    heads: list(rec, "heads", textOf),
    body: body instanceof Uint8Array ? body : Buffer.alloc(0),
  };
};

/** Where a pointsman claims operation keys: at the signalbox it has its session with. */
export class KeyDesk {
  constructor(
    private readonly clock: Clock,
    private readonly ask: (message: Message, waitUs: number) => Promise<Message | undefined>,
    private readonly tell: (message: Message) => void,
  ) {}

  readonly claim = async (key: string, token: string): Promise<DeskVerdict> => {
    const reply = await this.ask({ kind: "key-claim", key, token }, CLAIM_WAIT_US);
    const verdict = reply?.["verdict"];
    if (verdict === "done" && isRec(reply?.["answer"]))
      return { kind: "done", answer: readAnswer(reply["answer"]) };
    return {
      kind: verdict === "won" || verdict === "working" || verdict === "split" ? verdict : "none",
    };
  };

  /** Takes back a token that has not run; it must never be used again. */
  readonly free = (key: string, token: string): void => this.tell({ kind: "key-free", key, token });

  /** Keeps the answer; false if nobody confirmed it in time. */
  readonly keep = async (
    key: string,
    token: string,
    answer: KeyAnswer,
    waitUs: number,
  ): Promise<boolean> => {
    const untilUs = this.clock.nowUs() + waitUs;
    for (;;) {
      const reply = await this.ask({ kind: "key-done", key, token, answer }, KEEP_WAIT_US);
      if (reply?.["kept"] === true) return true;
      if (this.clock.nowUs() + AGAIN_US >= untilUs) return false;
      await rest(this.clock, AGAIN_US);
    }
  };
}
