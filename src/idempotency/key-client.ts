/**
 * Client side of idempotency keys: the requests of a gateway to the controller that it has a
 * session with.
 */
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import { asRecord, isRecord, readList, asString, readNumber } from "../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packReleaseAll,
  packStoredResponse,
  readStored,
  type StoredResponse,
} from "./key-codec.js";
import { TokenReleases } from "./token-releases.js";

/** The response of a key's first run, as stored and returned to repeated requests. */
export interface KeyedResponse {
  readonly status: number;
  readonly heads: readonly string[];
  readonly body: Uint8Array;
}

/** The result of a claim; see `KeyClaimResult`. `none`: no controller responded in time. */
export type ClaimResult =
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: KeyedResponse }
  | { readonly kind: "unavailable" }
  | { readonly kind: "working" }
  | { readonly kind: "split" }
  | { readonly kind: "none" };

const RESULTS_WITHOUT_RESPONSE = ["won", "unavailable", "working", "split"] as const;
const CLAIM_TIMEOUT_US = 600 * MILLISECOND_US;
const STORE_TIMEOUT_US = 400 * MILLISECOND_US;
const RETRY_DELAY_US = 100 * MILLISECOND_US;
const RETRY_DELAY_GROWTH = 1.5;
const MAX_RETRY_DELAY_US = 2 * SECOND_US;
/** For how long a response is offered to the controllers. Claims are kept for a longer time. */
const MAX_STORE_US = 30 * SECOND_US;
/** Bytes of responses that wait to be stored; beyond that a response is given up with its caller. */
const MAX_UNSTORED_BYTES = 4 * 1024 * 1024;

const readResponse = (value: unknown): KeyedResponse => {
  const fields = asRecord(value, "answer");
  const body = fields["body"];
  return {
    status: readNumber(fields, "status"),
    heads: readList(fields, "heads", asString),
    body: body instanceof Uint8Array ? body : Buffer.alloc(0),
  };
};

const sizeOf = ({ body }: StoredResponse): number => body?.length ?? 0;

/** Claims idempotency keys at the controller that this gateway has a session with. */
export class IdempotencyClient {
  private readonly releases: TokenReleases;
  private unstoredBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly request: (message: Message, waitUs: number) => Promise<Message | undefined>,
    private readonly send: (message: Message) => void,
  ) {
    this.releases = new TokenReleases(clock, async (claims) =>
      readStored(await this.request(packReleaseAll(claims), CLAIM_TIMEOUT_US)),
    );
  }

  /** Claims a key for a token. */
  readonly claim = async (key: string, token: string): Promise<ClaimResult> => {
    const reply = await this.request({ kind: KEY_MESSAGE.claim, key, token }, CLAIM_TIMEOUT_US);
    const result = reply?.["verdict"];
    if (result === "done" && isRecord(reply?.["answer"]))
      return { kind: "done", answer: readResponse(reply["answer"]) };
    return { kind: RESULTS_WITHOUT_RESPONSE.find((kind) => kind === result) ?? "none" };
  };

  /**
   * Releases a token whose operation has not run; the token must never be used again. The release
   * is sent at once, and repeated until every controller has confirmed it.
   */
  readonly release = (key: string, token: string): void => {
    this.send({ kind: KEY_MESSAGE.release, key, token });
    this.releases.add({ key, token });
  };

  /**
   * Stores the response of a key's run; false if that was not confirmed within `waitUs`. It is then
   * repeated in the background, since the caller may send the response to its client meanwhile. A
   * response without its body only says that the operation has completed.
   */
  readonly complete = (
    key: string,
    token: string,
    answer: StoredResponse,
    waitUs: number,
  ): Promise<boolean> => {
    const hasRoom = this.unstoredBytes + sizeOf(answer) <= MAX_UNSTORED_BYTES;
    const stored = this.storeRepeatedly(key, token, answer, hasRoom ? MAX_STORE_US : waitUs);
    return withTimeout(this.clock, waitUs, stored, false);
  };

  private readonly storeRepeatedly = async (
    key: string,
    token: string,
    answer: StoredResponse,
    maxUs: number,
  ): Promise<boolean> => {
    const untilUs = this.clock.nowUs() + maxUs;
    const message = {
      kind: KEY_MESSAGE.complete,
      key,
      token,
      answer: packStoredResponse(answer),
    };
    let delayUs = RETRY_DELAY_US;
    let isStored = false;
    this.unstoredBytes += sizeOf(answer);
    for (;;) {
      isStored = readStored(await this.request(message, STORE_TIMEOUT_US));
      if (isStored || this.clock.nowUs() + delayUs >= untilUs) break;
      await sleep(this.clock, delayUs);
      delayUs = Math.min(Math.round(delayUs * RETRY_DELAY_GROWTH), MAX_RETRY_DELAY_US);
    }
    this.unstoredBytes -= sizeOf(answer);
    return isStored;
  };
}
