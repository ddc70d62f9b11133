/** A program under test: a real process with its own settings file and data folder. */
import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, type WriteStream } from "node:fs";
import { mkdir, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { stringify } from "smol-toml";
import { BOUNDS } from "./bounds.js";
import type { HistoryRecorder } from "./history.js";

/** All programs of a run use the same ports, each on its own loopback address. */
const PORTS = {
  front: 18_100,
  ready: 18_101,
  control: 18_102,
  metrics: 18_103,
  firstSpare: 18_110,
} as const;
const MS_PER_US = 0.001;
const RETRY_WINDOW = "10s";
const KILL_AFTER_GRACE_US = 3_000_000;

/** Options of a {@link Program}. */
export interface ProgramOptions {
  readonly name: string;
  readonly role: "gateway" | "controller";
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly controllerIps: readonly string[];
  /** Holds the program's settings file, data and output. */
  readonly folder: string;
  readonly history: HistoryRecorder;
  readonly nowUs: () => number;
}

const formatMs = (us: number): string => `${us * MS_PER_US}ms`;

const settingsOf = (options: ProgramOptions, firstRun: boolean): string => {
  const { name, role, ip, zone, zones, controllerIps, folder } = options;
  const isGateway = role === "gateway";
  return stringify({
    node: {
      name,
      role,
      cell: zone,
      ip,
      sparePorts: [PORTS.firstSpare, PORTS.firstSpare + 5],
      seedNodes: controllerIps.map((seed) => `${seed}:${PORTS.control}`),
      firstRun,
      heartbeat: formatMs(BOUNDS.heartbeatUs),
      dataFolder: isGateway ? "" : join(folder, "data"),
      deployment: "content",
    },
    cells: Object.fromEntries(zones.map((other) => [other, "r1"])),
    listen: {
      front: isGateway ? `${ip}:${PORTS.front}` : "",
      ready: isGateway ? `${ip}:${PORTS.ready}` : "",
      control: isGateway ? "" : `${ip}:${PORTS.control}`,
    },
    limits: { memoryMb: 200, fileHandles: 1_000, diskMb: 64, linkMbps: 100 },
    withstand: { machines: 1 },
    metrics: { [role]: `${PORTS.metrics}/metrics` },
    bounds: {
      drain: formatMs(BOUNDS.drainUs),
      grace: formatMs(BOUNDS.graceUs),
      apply: formatMs(BOUNDS.applyUs),
      contact: formatMs(BOUNDS.contactUs),
      confirm: formatMs(BOUNDS.confirmUs),
      retryRatio: 0.2,
      retryWindow: RETRY_WINDOW,
      retrySlack: 50,
      keyWindow: formatMs(BOUNDS.keyWindowUs),
      purge: formatMs(BOUNDS.purgeUs),
      staleSlack: formatMs(BOUNDS.staleSlackUs),
    },
  });
};

/** A process that can be started, signalled and restarted. */
export class Program {
  private child: ChildProcess | undefined;
  private output: WriteStream | undefined;
  private termUs: number | undefined;
  private isKilled = false;
  private exited: Promise<void> = Promise.resolve();

  constructor(readonly options: ProgramOptions) {}

  get name(): string {
    return this.options.name;
  }

  /** Address (ip:port) for client traffic. */
  get front(): string {
    return `${this.options.ip}:${PORTS.front}`;
  }

  /** Address (ip:port) of the API for operators and workers. */
  get control(): string {
    return `${this.options.ip}:${PORTS.control}`;
  }

  /** Address (ip:port) of the readiness check. */
  get ready(): string {
    return `${this.options.ip}:${PORTS.ready}`;
  }

  /** URL of the metrics. */
  get metricsUrl(): string {
    return `http://${this.options.ip}:${PORTS.metrics}/metrics`;
  }

  /** Starts the process; does nothing if it is already running. */
  readonly start = async (firstRun: boolean): Promise<void> => {
    if (this.child) return;
    const { folder, role } = this.options;
    const settings = join(folder, "settings.toml");
    await mkdir(join(folder, "data"), { recursive: true });
    await writeFile(settings, settingsOf(this.options, firstRun));
    this.output ??= createWriteStream(join(folder, "output.log"), { flags: "a" });
    const child = spawn(process.execPath, ["target/bundle/main.js", role], {
      env: { PATH: process.env["PATH"], YEWREEL_CONFIG: settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(this.output, { end: false });
    child.stderr.pipe(this.output, { end: false });
    this.child = child;
    // The child must not outlive this process.
    const killAtExit = (): void => void child.kill("SIGKILL");
    process.once("exit", killAtExit);
    this.termUs = undefined;
    this.isKilled = false;
    this.exited = new Promise((resolve) => {
      child.once("exit", (code) => {
        process.removeListener("exit", killAtExit);
        this.recordExit(code);
        resolve();
      });
    });
  };

  /**
   * Sends SIGTERM and waits for the exit. A process that is still running some time after its grace
   * period is killed.
   */
  readonly terminate = async (): Promise<void> => {
    const { child } = this;
    if (!child) return;
    this.termUs = this.options.nowUs();
    child.kill("SIGTERM");
    const killTimer = setTimeout(
      () => child.kill("SIGKILL"),
      (BOUNDS.graceUs + KILL_AFTER_GRACE_US) * MS_PER_US,
    );
    await this.exited;
    clearTimeout(killTimer);
  };

  readonly kill = async (): Promise<void> => {
    this.isKilled = true;
    this.child?.kill("SIGKILL");
    await this.exited;
  };

  /** Deletes the data folder, as the loss of the machine's disk does. The process must not run. */
  readonly loseDisk = (): Promise<void> =>
    rm(join(this.options.folder, "data"), { recursive: true, force: true });

  /** Suspends the process until {@link thaw}, as a pause of its machine would. */
  readonly freeze = (): void => void this.child?.kill("SIGSTOP");

  readonly thaw = (): void => void this.child?.kill("SIGCONT");

  /** Kills the process and closes its output file; it cannot be started again. */
  readonly close = async (): Promise<void> => {
    await this.kill();
    this.output?.end();
  };

  private readonly recordExit = (code: number | null): void => {
    const { history, nowUs, name } = this.options;
    const { termUs, isKilled } = this;
    this.child = undefined;
    history.exits.push({ process: name, atUs: nowUs(), code, termUs, wasKilled: isKilled });
  };
}
