/**
 * `yewreel loadgen`: an open-loop load generator that reports latency from the intended send time.
 */
import { Agent, request } from "node:http";
import { hostname } from "node:os";
import type { Command } from "commander";
import { SteadyClock, type Clock } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import { EXIT_INVALID_INPUT } from "../ctl/exit-codes.js";

/** What is sent, where to and how often. */
export interface LoadSettings {
  /** The gateways' proxy addresses as `ip:port`, used in turn. */
  readonly targets: readonly string[];
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly body: string;
  readonly ratePerS: number;
  readonly seconds: number;
  /** The time-out of one request, also told to the gateway. */
  readonly budgetMs: number;
}

/** What became of one request. */
export interface RequestResult {
  /** The status, or `broken`, `out of time`, `no connection`. */
  readonly outcome: string;
  /**
   * From the intended send time, so that a target that stalls cannot hide its stall (coordinated
   * omission).
   */
  readonly tookUs: number;
}

/** The summary of a run; printed by `--json`, so the names of the fields stay. */
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

/** Open loop: each request is sent at its time, whatever became of the earlier ones. */
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
        void sendRequest(load, target, `${run}-${at}`, agent).then((outcome) =>
          resolve({ outcome, tookUs: clock.nowUs() - dueUs }),
        );
      });
    });
  });
  const results = await Promise.all(all);
  agent.destroy();
  return results;
};

/**
 * The nearest-rank percentile: the smallest value that the given share of all values does not
 * exceed.
 */
const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;

/** Counts the outcomes and gives the percentiles of the latency. */
export const summarize = (results: readonly RequestResult[]): LoadReport => {
  const tookMs = results.map(({ tookUs }) => tookUs / MILLISECOND_US).sort((a, b) => a - b);
  const outcomes: Record<string, number> = {};
  results.forEach(({ outcome }) => {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  });
  return {
    takenOn: hostname(),
    sent: results.length,
    outcomes,
    p50Ms: percentile(tookMs, 0.5),
    p90Ms: percentile(tookMs, 0.9),
    p99Ms: percentile(tookMs, 0.99),
    mostMs: percentile(tookMs, 1),
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
        process.exitCode = EXIT_INVALID_INPUT;
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
        `${flags.json === true ? JSON.stringify(report, undefined, 2) : formatReport(report)}\n`,
      );
    });
};
