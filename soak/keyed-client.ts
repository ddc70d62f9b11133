/**
 * Clients of a keyed route. Each operation has a key; every further request with the key is a
 * repeat, through any gateway, and must not run the operation again.
 */
import type { HistoryRecorder } from "./history.js";
import { callApi } from "./http-call.js";
import type { Program } from "./program.js";
import type { SeededRandom } from "../simulator/seeded-random.js";

const BUDGET_MS = 2_000;
const HOST = "soak.example";
const FIRST_INTERVAL_MS = 50;
const REPEAT_INTERVAL_MS = 150;
const SEAL_HEADER = "yewreel-server-seal";

/** Path of the keyed route. */
export const KEYED_PATH = "/keyed/";

/** Large enough that not every controller stores it. */
const KEYED_BODY_BYTES = 1_500;

/** The body of a worker's response to an attempt on the keyed route. */
export const keyedAnswerTo = (attemptId: string): string =>
  `answer to ${attemptId}`.padEnd(KEYED_BODY_BYTES, ".");

/** Options of {@link KeyedClient}. */
export interface KeyedClientOptions {
  readonly gateways: readonly Program[];
  readonly history: HistoryRecorder;
  readonly nowUs: () => number;
  readonly random: SeededRandom;
  readonly seed: number;
}

/** The key of the operation that an attempt belongs to. */
export const keyOf = (attemptId: string): string => attemptId.split("#")[0] ?? "";

/** Sends operations with new keys, and repeats earlier ones. */
export class KeyedClient {
  private readonly attempts = new Map<string, number>();
  private timers: readonly NodeJS.Timeout[] = [];

  constructor(private readonly options: KeyedClientOptions) {}

  readonly start = (): void => {
    this.timers = [
      setInterval(() => void this.send(this.newKey()), FIRST_INTERVAL_MS),
      setInterval(() => void this.repeatOne(), REPEAT_INTERVAL_MS),
    ];
  };

  readonly stop = (): void => this.timers.forEach((timer) => clearInterval(timer));

  /** Repeats every operation once, after all faults have ended. */
  readonly repeatAll = async (): Promise<void> => {
    for (const key of this.attempts.keys()) await this.send(key);
  };

  private readonly newKey = (): string => `keyed-${this.options.seed}-${this.attempts.size}`;

  private readonly repeatOne = async (): Promise<void> => {
    const keys = [...this.attempts.keys()];
    if (keys.length > 0) await this.send(this.options.random.pick(keys));
  };

  private readonly send = async (key: string): Promise<void> => {
    const { gateways, history, nowUs, random } = this.options;
    const count = (this.attempts.get(key) ?? 0) + 1;
    this.attempts.set(key, count);
    const attemptId = `${key}#${count}`;
    const gateway = random.pick(gateways);
    const sentUs = nowUs();
    const reply = await callApi(gateway.front, "POST", `${KEYED_PATH}x`, "", BUDGET_MS * 2, {
      Host: HOST,
      "Yewreel-Try-Id": attemptId,
      "Yewreel-Operation-Key": key,
      "Yewreel-Time-Left-Ms": String(BUDGET_MS),
    });
    history.keyedRequests.push({
      key,
      attemptId,
      gateway: gateway.name,
      sentUs,
      endedUs: nowUs(),
      status: reply?.status,
      hasSeal: reply?.headers[SEAL_HEADER] !== undefined,
      body: reply?.body ?? "",
    });
  };
}
