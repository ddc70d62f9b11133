import { sleep, type Clock } from "../common/clock.js";
import { asRecord, isRecord, readList, asString, readNumber } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";

/** The answer of a key's first run, as it is kept and given to repeats. */
export interface KeyedResponse {
  readonly status: number;
  readonly heads: readonly string[];
  readonly body: Uint8Array;
}

export type ClaimResult =
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: KeyedResponse }
  | { readonly kind: "working" }
  | { readonly kind: "split" }
  | { readonly kind: "none" };

const CLAIM_WAIT_US = 600 * MILLISECOND_US;
const KEEP_WAIT_US = 400 * MILLISECOND_US;
const AGAIN_US = 100 * MILLISECOND_US;

const readAnswer = (value: unknown): KeyedResponse => {
  const record = asRecord(value, "answer");
  const body = record["body"];
  return {
    status: readNumber(record, "status"),
    heads: readList(record, "heads", asString),
    body: body instanceof Uint8Array ? body : Buffer.alloc(0),
  };
};

/** Where a pointsman claims operation keys: at the signalbox it has its session with. */
export class IdempotencyClient {
  constructor(
    private readonly clock: Clock,
    private readonly request: (message: Message, waitUs: number) => Promise<Message | undefined>,
    private readonly tell: (message: Message) => void,
  ) {}

  readonly claim = async (key: string, token: string): Promise<ClaimResult> => {
    const reply = await this.request({ kind: "key-claim", key, token }, CLAIM_WAIT_US);
    const result = reply?.["verdict"];
    if (result === "done" && isRecord(reply?.["answer"]))
      return { kind: "done", answer: readAnswer(reply["answer"]) };
    return {
      kind: result === "won" || result === "working" || result === "split" ? result : "none",
    };
  };

  /** Takes back a token that has not run; it must never be used again. */
  readonly release = (key: string, token: string): void =>
    this.tell({ kind: "key-free", key, token });

  /** Keeps the answer; false if nobody confirmed it in time. */
  readonly complete = async (
    key: string,
    token: string,
    answer: KeyedResponse,
    waitUs: number,
  ): Promise<boolean> => {
    const untilUs = this.clock.nowUs() + waitUs;
    for (;;) {
      const reply = await this.request({ kind: "key-done", key, token, answer }, KEEP_WAIT_US);
      if (reply?.["kept"] === true) return true;
      if (this.clock.nowUs() + AGAIN_US >= untilUs) return false;
      await sleep(this.clock, AGAIN_US);
    }
  };
}
