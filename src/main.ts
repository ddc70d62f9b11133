#!/usr/bin/env node
import { stat } from "node:fs/promises";
import { Command } from "commander";
import { MetricsServer, processFigures } from "./programs/metrics-server.js";
import type { RunningProgram } from "./programs/running-program.js";
import { SteadyClock, type Clock } from "./common/clock.js";
import { EventLoopDelayRecorder } from "./common/event-loop-delay.js";
import { loggerFor, setLogLevel } from "./common/logger.js";
import { readSettings, type Settings } from "./common/settings.js";
import { SECOND_US } from "./common/duration.js";
import { takeOverFormerFolder, type Role } from "./storage/data-folder.js";
import { NodeFileSystem } from "./storage/file-system.js";

const SETTINGS_VARIABLE = "YEWREEL_CONFIG";
const LOOK_US = 2 * SECOND_US;
const WRONG_SETTINGS = 2;

const stamp = async (path: string): Promise<number> => {
  try {
    return (await stat(path)).mtimeMs;
  } catch {
    return 0;
  }
};

/**
 * The settings file may change with a signal or without one; what is wrong in it then changes
 * nothing.
 */
const watchSettings = async (
  path: string,
  clock: Clock,
  renew: (settings: Settings) => void,
): Promise<void> => {
  const log = loggerFor("settings");
  let last = await stamp(path);
  const look = async () => {
    const now = await stamp(path);
    if (now === last) return;
    last = now;
    const read = await readSettings(path);
    if (read.isOk) {
      setLogLevel(read.value.logLevel);
      renew(read.value);
    } else log.warn(`The changed settings are not taken: ${read.error.sentence}.`);
  };
  clock.every(LOOK_US, () => void look());
  process.on("SIGHUP", () => void look());
};

type Program = (settings: Settings, clock: Clock) => Promise<RunningProgram>;

const serveMetrics = async (
  role: Role,
  settings: Settings,
  clock: Clock,
  program: RunningProgram,
): Promise<void> => {
  const endpoint = settings.metrics.get(role);
  if (!endpoint) return;
  const delays = new EventLoopDelayRecorder(clock);
  await new MetricsServer({
    ...endpoint,
    ip: settings.ip,
    figures: [...processFigures(delays), ...program.figures],
    log: loggerFor("metrics"),
  }).listen();
};

/** Each program loads only what it is made of. */
const run = async (role: Role, load: () => Promise<Program>): Promise<void> => {
  const path = process.env[SETTINGS_VARIABLE] ?? "/etc/yewreel/boot.toml";
  const read = await readSettings(path);
  if (read.isErr) {
    process.stderr.write(`yewreel: ${path}: ${read.error.sentence}\n`);
    process.exit(WRONG_SETTINGS);
  }
  setLogLevel(read.value.logLevel);
  const log = loggerFor("yewreel");
  process.on("unhandledRejection", (error) =>
    log.warn(
      `unhandled promise rejection: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}.`,
    ),
  );
  await takeOverFormerFolder({
    role,
    folder: read.value.dataFolder,
    fileSystem: new NodeFileSystem(),
    logger: loggerFor("storage"),
  });
  const clock = new SteadyClock();
  const program = await load();
  const running = await program(read.value, clock);
  await serveMetrics(role, read.value, clock, running);
  await watchSettings(path, clock, running.applySettings);
  let stopping = false;
  const stop = () => {
    if (stopping) return;
    stopping = true;
    void running.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
};

const cli = new Command("yewreel").description(
  "An API gateway that repairs itself and explains what it did.",
);
cli
  .command("gateway")
  .description("proxy clients' requests to workers (data plane)")
  .action(() =>
    run("gateway", async () => (await import("./programs/gateway/gateway.js")).runGateway),
  );
cli
  .command("controller")
  .description("store the configuration, track workers and nodes, decide (control plane)")
  .action(() =>
    run(
      "controller",
      async () => (await import("./programs/controller/controller.js")).runController,
    ),
  );
cli
  .command("cache")
  .description("cache objects for all gateways (shared cache)")
  .action(() => run("cache", async () => (await import("./programs/cache/cache.js")).runCache));
if (!["gateway", "controller", "cache"].includes(process.argv[2] ?? "")) {
  (await import("./programs/ctl/ctl.js")).addCtlCommands(cli);
  (await import("./programs/loadgen/loadgen.js")).addLoadgenCommand(cli);
}
await cli.parseAsync();
