import { fork, type ChildProcess } from "node:child_process";
import { request } from "node:http";
import { sleep, MonotonicClock } from "../src/common/clock.js";
import { asRecord, asNumber, type UnknownRecord } from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { steadyUs } from "./loopback.js";

const clock = new MonotonicClock();

/** A child process that answers requests over its IPC channel. */
export class Host {
  private readonly pending = new Map<number, (reply: UnknownRecord) => void>();
  private lastId = 0;
  readonly child: ChildProcess;

  constructor(heapMb: number) {
    this.child = fork(new URL("./host-process.js", import.meta.url), [], {
      execArgv: [`--max-old-space-size=${heapMb}`, "--max-semi-space-size=1"],
    });
    this.child.on("message", (value: unknown) => {
      const reply = asRecord(value);
      this.pending.get(asNumber(reply["re"]))?.(reply);
    });
    this.child.on("exit", () =>
      this.pending.forEach((resolve) => resolve({ mishap: "host process exited" })),
    );
  }

  readonly request = async (request: UnknownRecord): Promise<UnknownRecord> => {
    this.lastId += 1;
    const id = this.lastId;
    const reply = await new Promise<UnknownRecord>((resolve) => {
      this.pending.set(id, resolve);
      this.child.send({ ...request, ask: id });
    });
    this.pending.delete(id);
    if (typeof reply["mishap"] === "string") throw new Error(reply["mishap"]);
    return reply;
  };

  readonly kill = (): boolean => this.child.kill("SIGKILL");
}

/** Sends a POST request. Resolves to the response status, or to 0 if the request failed. */
export const post = (address: string, path: string, body: string): Promise<number> =>
  new Promise((resolve) => {
    const call = request(
      `http://${address}${path}`,
      { method: "POST", timeout: 8_000, headers: { "Content-Length": Buffer.byteLength(body) } },
      (response) => {
        response.resume();
        response.on("end", () => resolve(response.statusCode ?? 0));
      },
    );
    call.on("timeout", () => call.destroy());
    call.on("error", () => resolve(0));
    call.end(body);
  });

/** Makes a route to the service for all paths under `/name/`. */
export const makeRule = (name: string, version: number, service: string): UnknownRecord => ({
  name,
  routeKind: "safe",
  target_time: "600ms",
  rank: 1,
  version,
  matchOn: { pathStart: `/${name}/` },
  then: { service, giveUp: "2000ms", tries: 2 },
});

/**
 * Polls until the condition holds and resolves to the time this took in microseconds. Rejects after
 * the given number of seconds; `what` describes the condition in the error message.
 */
export const waitUntil = async (
  what: string,
  condition: () => Promise<boolean>,
  seconds = 90,
): Promise<number> => {
  const fromUs = steadyUs();
  while (steadyUs() - fromUs < seconds * SECOND_US) {
    if (await condition()) return steadyUs() - fromUs;
    await sleep(clock, 50 * MILLISECOND_US);
  }
  throw new Error(`timed out after ${seconds} s waiting until ${what}`);
};
