import { Agent, request } from "node:http";
import { hostname } from "node:os";
import type { Command } from "commander";
import { SteadyClock, type Clock } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";

export interface LoadSettings {
  readonly targets: readonly string[];
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly body: string;
  readonly ratePerS: number;
  readonly seconds: number;
  readonly budgetMs: number;
}

export interface RequestResult {
  readonly outcome: string;
  /** From the moment at which it was meant to be sent, so that a target that stalls cannot hide its stall. */
  readonly tookUs: number;
}

export interface LoadReport {
  readonly takenOn: string;
  readonly sent: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly mostMs: number;
}

const sendOne = (
  load: LoadSettings,
  target: string,
  tryId: string,
  agent: Agent,
): Promise<string> =>
  new Promise((resolve) => {
    const headers = {
      Host: load.host,
      "Yewreel-Try-Id": tryId,
      "Yewreel-Time-Left-Ms": String(load.budgetMs),
    };
    const call = request(
      `http://${target}${load.path}`,
      {
        method: load.method,
        agent,
        timeout: load.budgetMs,
        headers: { ...headers, "Content-Length": Buffer.byteLength(load.body) },
      },
      (response) => {
        response.resume();
        response.on("end", () => resolve(String(response.statusCode)));
        response.on("error", () => resolve("broken"));
      },
    );
    call.on("timeout", () => call.destroy(new Error("out of time")));
    call.on("error", (error) =>
      resolve(error.message === "out of time" ? "out of time" : "no connection"),
    );
    call.end(load.body);
  });

/** Open loop: each request has its moment, and is sent then whatever became of the ones before. */
export const generateLoad = async (
  load: LoadSettings,
  clock: Clock,
): Promise<readonly RequestResult[]> => {
  const agent = new Agent({ keepAlive: true });
  const startUs = clock.nowUs();
  const count = Math.floor(load.ratePerS * load.seconds);
  const run = `${process.pid}${Math.floor(Math.random() * 1e9).toString(16)}`;
  const all = Array.from({ length: count }, (_, at): Promise<RequestResult> => {
    const dueUs = startUs + Math.round((at * SECOND_US) / load.ratePerS);
    return new Promise((resolve) => {
      clock.after(dueUs - clock.nowUs(), () => {
        const target = load.targets[at % load.targets.length] ?? "";
        void sendOne(load, target, `${run}-${at}`, agent).then((outcome) =>
          resolve({ outcome, tookUs: clock.nowUs() - dueUs }),
        );
      });
    });
  });
  const shunted = await Promise.all(all);
  agent.destroy();
  return shunted;
};

/** The smallest value that a share of all values does not exceed. */
const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;

export const summarize = (shunted: readonly RequestResult[]): LoadReport => {
  const tookMs = shunted.map(({ tookUs }) => tookUs / MILLISECOND_US).sort((a, b) => a - b);
  const outcomes: Record<string, number> = {};
  shunted.forEach(({ outcome }) => {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  });
  return {
    takenOn: hostname(),
    sent: shunted.length,
    outcomes,
    p50Ms: percentile(tookMs, 0.5),
    p90Ms: percentile(tookMs, 0.9),
    p99Ms: percentile(tookMs, 0.99),
    mostMs: percentile(tookMs, 1),
  };
};

const show = (report: LoadReport): string =>
  [
    `sent      ${report.sent}, measured on ${report.takenOn} with its own clock`,
    ...Object.entries(report.outcomes).map(([outcome, count]) => `${outcome.padEnd(14)} ${count}`),
    `ms        p50 ${report.p50Ms.toFixed(1)}, p90 ${report.p90Ms.toFixed(1)}, p99 ${report.p99Ms.toFixed(1)}, most ${report.mostMs.toFixed(1)}`,
  ].join("\n");

interface Flags {
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly body: string;
  readonly rate: string;
  readonly seconds: string;
  readonly budgetMs: string;
  readonly json?: boolean;
}

const WRONG_INPUT = 2;

/** The load generator; its targets are fronts of pointsmen. */
export const addLoadgenCommand = (cli: Command): void => {
  cli
    .command("loadgen <target...>")
    .description(
      "send an open-loop load to fronts (ip:port) and report latency from the intended send time",
    )
    .requiredOption("--host <host>", "the Host of the route")
    .option("--path <path>", "the path", "/")
    .option("--method <method>", "the method", "GET")
    .option("--body <text>", "the body", "")
    .option("--rate <number>", "requests a second", "10")
    .option("--seconds <number>", "for how long", "5")
    .option("--budget-ms <number>", "how long each request may take", "2000")
    .option("--json", "print JSON")
    .action(async (targets: string[], flags: Flags) => {
      const [ratePerS, seconds, budgetMs] = [
        Number(flags.rate),
        Number(flags.seconds),
        Number(flags.budgetMs),
      ];
      if (![ratePerS, seconds, budgetMs].every((number) => Number.isFinite(number) && number > 0)) {
        process.stderr.write(
          "loadgen: --rate, --seconds and --budget-ms must be numbers above 0.\n",
        );
        process.exitCode = WRONG_INPUT;
        return;
      }
      const { host, path, method, body } = flags;
      const report = summarize(
        await generateLoad(
          { targets, host, path, method, body, ratePerS, seconds, budgetMs },
          new SteadyClock(),
        ),
      );
      process.stdout.write(
        `${flags.json === true ? JSON.stringify(report, undefined, 2) : show(report)}\n`,
      );
    });
};
