/**
 * `yewreel loadgen`: an open-loop load generator that reports latency from the intended send time.
 */
import { Agent, request } from "node:http";
import { hostname } from "node:os";
import type { Command } from "commander";
import { MonotonicClock, type Clock } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import { EXIT_INVALID_INPUT } from "../ctl/exit-codes.js";

/** Parameters of a load run. */
export interface LoadSettings {
  /** Proxy addresses of the gateways as `ip:port`, used in round-robin order. */
  readonly targets: readonly string[];
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly body: string;
  readonly ratePerS: number;
  readonly seconds: number;
  /** Timeout of one request, which is also sent to the gateway. */
  readonly budgetMs: number;
}

/** Result of one request. */
export interface RequestResult {
  /** The HTTP status, or one of `broken`, `out of time` and `no connection`. */
  readonly outcome: string;
  /**
   * Measured from the intended send time, so that a target that stalls cannot hide the stall
   * (coordinated omission).
   */
  readonly latencyUs: number;
}

/** Summary of a run. It is printed by `--json`, so the field names must not change. */
export interface LoadReport {
  readonly takenOn: string;
  readonly sent: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly mostMs: number;
}

const sendRequest = (
  load: LoadSettings,
  target: string,
  requestId: string,
  agent: Agent,
): Promise<string> =>
  new Promise((resolve) => {
    const headers = {
      Host: load.host,
      "Yewreel-Try-Id": requestId,
      "Yewreel-Time-Left-Ms": String(load.budgetMs),
    };
    const outgoing = request(
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
    outgoing.on("timeout", () => outgoing.destroy(new Error("out of time")));
    outgoing.on("error", (error) =>
      resolve(error.message === "out of time" ? "out of time" : "no connection"),
    );
    outgoing.end(load.body);
  });

/**
 * Sends an open-loop load: each request is sent at its scheduled time, regardless of earlier ones.
 */
export const generateLoad = async (
  load: LoadSettings,
  clock: Clock,
): Promise<readonly RequestResult[]> => {
  const agent = new Agent({ keepAlive: true });
  const startUs = clock.nowUs();
  const count = Math.floor(load.ratePerS * load.seconds);
  const runId = `${process.pid}${Math.floor(Math.random() * 1e9).toString(16)}`;
  const all = Array.from({ length: count }, (_, index): Promise<RequestResult> => {
    const dueUs = startUs + Math.round((index * SECOND_US) / load.ratePerS);
    return new Promise((resolve) => {
      clock.after(dueUs - clock.nowUs(), () => {
        const target = load.targets[index % load.targets.length] ?? "";
        void sendRequest(load, target, `${runId}-${index}`, agent).then((outcome) =>
          resolve({ outcome, latencyUs: clock.nowUs() - dueUs }),
        );
      });
    });
  });
  const results = await Promise.all(all);
  agent.destroy();
  return results;
};

/**
 * The nearest-rank percentile: the smallest value that the given fraction of all values does not
 * exceed.
 */
const percentile = (sorted: readonly number[], fraction: number): number =>
  sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0;

/** Counts the outcomes and computes the percentiles of the latency. */
export const summarize = (results: readonly RequestResult[]): LoadReport => {
  const latenciesMs = results
    .map(({ latencyUs: tookUs }) => tookUs / MILLISECOND_US)
    .sort((a, b) => a - b);
  const outcomes: Record<string, number> = {};
  results.forEach(({ outcome }) => {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  });
  return {
    takenOn: hostname(),
    sent: results.length,
    outcomes,
    p50Ms: percentile(latenciesMs, 0.5),
    p90Ms: percentile(latenciesMs, 0.9),
    p99Ms: percentile(latenciesMs, 0.99),
    mostMs: percentile(latenciesMs, 1),
  };
};

const formatReport = (report: LoadReport): string =>
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

/** Adds `loadgen` to the program. */
export const addLoadgenCommand = (cli: Command): void => {
  cli
    .command("loadgen <target...>")
    .summary("send load and report latency")
    .description(
      "Send an open-loop load to gateways (ip:port) and report latency from the intended send time.",
    )
    .requiredOption("--host <host>", "Host header of the requests")
    .option("--path <path>", "path of the requests", "/")
    .option("--method <method>", "HTTP method", "GET")
    .option("--body <text>", "request body", "")
    .option("--rate <number>", "requests per second", "10")
    .option("--seconds <number>", "duration of the run in seconds", "5")
    .option("--budget-ms <number>", "timeout of each request in milliseconds", "2000")
    .option("--json", "print JSON")
    .action(async (targets: string[], flags: Flags) => {
      const [ratePerS, seconds, budgetMs] = [
        Number(flags.rate),
        Number(flags.seconds),
        Number(flags.budgetMs),
      ];
      if (![ratePerS, seconds, budgetMs].every((number) => Number.isFinite(number) && number > 0)) {
        process.stderr.write(
          "loadgen: --rate, --seconds and --budget-ms must be positive numbers.\n",
        );
        process.exitCode = EXIT_INVALID_INPUT;
        return;
      }
      const { host, path, method, body } = flags;
      const report = summarize(
        await generateLoad(
          { targets, host, path, method, body, ratePerS, seconds, budgetMs },
          new MonotonicClock(),
        ),
      );
      process.stdout.write(
        `${flags.json === true ? JSON.stringify(report, undefined, 2) : formatReport(report)}\n`,
      );
    });
};
