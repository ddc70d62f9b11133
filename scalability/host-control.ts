import { fork, type ChildProcess } from "node:child_process";
import { request } from "node:http";
import { sleep, SteadyClock } from "../src/common/clock.js";
import { asRecord, asNumber, type UnknownRecord } from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { machineUs } from "./place.js";

const clock = new SteadyClock();

/** One child process, asked over its channel. */
export class Host {
  private readonly pending = new Map<number, (reply: UnknownRecord) => void>();
  private last = 0;
  readonly child: ChildProcess;

  constructor(heapMb: number) {
    this.child = fork(new URL("./host.js", import.meta.url), [], {
      execArgv: [`--max-old-space-size=${heapMb}`, "--max-semi-space-size=1"],
    });
    this.child.on("message", (value: unknown) => {
      const reply = asRecord(value);
      this.pending.get(asNumber(reply["re"]))?.(reply);
    });
    this.child.on("exit", () => this.pending.forEach((resolve) => resolve({ mishap: "it ended" })));
  }

  readonly ask = async (order: UnknownRecord): Promise<UnknownRecord> => {
    this.last += 1;
    const id = this.last;
    const reply = await new Promise<UnknownRecord>((resolve) => {
      this.pending.set(id, resolve);
      this.child.send({ ...order, ask: id });
    });
    this.pending.delete(id);
    if (typeof reply["mishap"] === "string") throw new Error(reply["mishap"]);
    return reply;
  };

  readonly end = (): boolean => this.child.kill("SIGKILL");
}

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

export const ruleOf = (name: string, version: number, service: string): UnknownRecord => ({
  name,
  routeKind: "safe",
  target_time: "600ms",
  rank: 1,
  version,
  matchOn: { pathStart: `/${name}/` },
  then: { service, giveUp: "2000ms", tries: 2 },
});

export const until = async (
  what: string,
  isSo: () => Promise<boolean>,
  seconds = 90,
): Promise<number> => {
  const fromUs = machineUs();
  while (machineUs() - fromUs < seconds * SECOND_US) {
    if (await isSo()) return machineUs() - fromUs;
    await sleep(clock, 50 * MILLISECOND_US);
  }
  throw new Error(`after ${seconds} s it was still not so that ${what}`);
};
