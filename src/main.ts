#!/usr/bin/env node
import { stat } from "node:fs/promises";
import { Command } from "commander";
import { MetricsServer, processMetrics } from "./programs/metrics-server.js";
import type { RunningProgram } from "./programs/running-program.js";
import { MonotonicClock, type Clock } from "./common/clock.js";
import { EventLoopDelayRecorder } from "./common/event-loop-delay.js";
import { loggerFor, setLogLevel } from "./common/logger.js";
import { readSettings, type Settings } from "./common/settings.js";
import { SECOND_US } from "./common/duration.js";
import { migrateDataFolder, type Role } from "./storage/data-folder.js";
import { NodeFileSystem } from "./storage/file-system.js";

const SETTINGS_VARIABLE = "YEWREEL_CONFIG";
const SETTINGS_POLL_INTERVAL_US = 2 * SECOND_US;
const EXIT_INVALID_SETTINGS = 2;

const modificationTimeMs = async (path: string): Promise<number> => {
  try {
    return (await stat(path)).mtimeMs;
  } catch {
    return 0;
  }
};

/**
 * Reloads the settings file when its modification time has changed, which is checked periodically
 * and on SIGHUP. An invalid file is logged, and the current settings stay in force.
 */
const watchSettings = async (
  path: string,
  clock: Clock,
  applySettings: (settings: Settings) => void,
): Promise<void> => {
  const log = loggerFor("settings");
  let lastModifiedMs = await modificationTimeMs(path);
  const reloadIfModified = async () => {
    const modifiedMs = await modificationTimeMs(path);
    if (modifiedMs === lastModifiedMs) return;
    lastModifiedMs = modifiedMs;
    const read = await readSettings(path);
    if (read.isOk) {
      setLogLevel(read.value.logLevel);
      applySettings(read.value);
    } else log.warn(`The changed settings are not applied: ${read.error.message}.`);
  };
  clock.every(SETTINGS_POLL_INTERVAL_US, () => void reloadIfModified());
  process.on("SIGHUP", () => void reloadIfModified());
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
    metrics: [...processMetrics(delays), ...program.metrics],
    log: loggerFor("metrics"),
  }).listen();
};

/** Runs a program. `load` imports its modules, so that only those of one program are loaded. */
const run = async (role: Role, load: () => Promise<Program>): Promise<void> => {
  const path = process.env[SETTINGS_VARIABLE] ?? "/etc/yewreel/boot.toml";
  const read = await readSettings(path);
  if (read.isErr) {
    process.stderr.write(`yewreel: ${path}: ${read.error.message}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  setLogLevel(read.value.logLevel);
  const log = loggerFor("yewreel");
  process.on("unhandledRejection", (error) =>
    log.warn(
      `unhandled promise rejection: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}.`,
    ),
  );
  await migrateDataFolder({
    role,
    folder: read.value.dataFolder,
    fileSystem: new NodeFileSystem(),
    logger: loggerFor("storage"),
  });
  const clock = new MonotonicClock();
  const program = await load();
  const running = await program(read.value, clock);
  await serveMetrics(role, read.value, clock, running);
  await watchSettings(path, clock, running.applySettings);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
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
