/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, with
 * the commands of the deploy file and settings like those of the site rasa-cluj.
 */
import { spawn } from "node:child_process";
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const LIB = dirname(fileURLToPath(import.meta.url));
export const TOP = dirname(dirname(LIB));
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const ZONES = ["manastur", "gheorgheni", "marasti", "centru"];
export const GRACE_MS = 6_000;
export const DRAIN_MS = 2_000;
export const CONTACT_MS = 3_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAt = performance.now();
/** Milliseconds since the start of this process. */
export const nowMs = () => Math.round((performance.now() - startedAt) * 10) / 10;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** The record of a run, written to record.txt in the folder of the case. */
export class Record {
  #lines = [];
  constructor(folder) {
    this.folder = folder;
  }
  note = (text) => {
    this.#lines.push(`${nowMs().toFixed(1).padStart(9)} ms  ${text}`);
  };
  say = (text) => {
    this.note(text);
    process.stdout.write(`${text}\n`);
  };
  write = () => writeFileSync(join(this.folder, "record.txt"), `${this.#lines.join("\n")}\n`);
}

/** The command of a role, split at spaces as the platform does. */
const commandOf = (role) => {
  const deploy = readFileSync(join(TOP, "deploy/system.toml"), "utf8");
  const section = deploy.split(`[roles.${role}]`)[1]?.split("\n[")[0] ?? "";
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (command === undefined) throw new Error(`the deploy file has no command for ${role}`);
  return command.split(" ");
};

/** One HTTP call; undefined if there was no answer within `timeoutMs`. */
export const call = (address, method, path, body, timeoutMs = 1_000, headers = {}) =>
  new Promise((resolve) => {
    const data = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = request(
      `http://${address}${path}`,
      {
        method,
        agent: false,
        headers: {
          ...headers,
          ...(data === undefined
            ? {}
            : { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(data) }),
        },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => resolve(undefined));
        response.on("close", () =>
          resolve(
            response.complete
              ? {
                  status: response.statusCode,
                  headers: response.headers,
                  body: Buffer.concat(chunks).toString(),
                }
              : undefined,
          ),
        );
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.on("close", () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    outgoing.on("error", () => resolve(undefined));
    outgoing.end(data);
  });

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen({ host, port, exclusive: true }, () => server.close(() => resolve(true)));
  });

const random = (low, high) => low + Math.floor(Math.random() * (high - low));
const PORTS = ["front", "ready", "control", "gatewayMetrics", "controllerMetrics"];
const SPARE_PORTS = 8;

/** A fleet of machines, each with its own loopback address and the same ports. */
export class Fleet {
  #children = new Map();
  #standIns = new Set();

  /** @param options - what differs from the settings of rasa-cluj */
  constructor(record, options = {}) {
    this.record = record;
    this.options = {
      deployment: "",
      withstand: 1,
      drainMs: DRAIN_MS,
      applyMs: 2_000,
      contactMs: CONTACT_MS,
      confirmMs: 4_000,
      retrySlack: 70,
      moreBounds: "",
      ...options,
    };
    this.folder = mkdtempSync(join(tmpdir(), "yewreel-review-"));
    process.once("exit", this.killAll);
    ["SIGINT", "SIGTERM"].forEach((signal) =>
      process.once(signal, () => process.exit(COULD_NOT_RUN)),
    );
  }

  /** Chooses addresses and free ports: `coreCount` machines with a disk, then `edgeCount` without. */
  prepare = async (coreCount, edgeCount) => {
    const count = coreCount + edgeCount;
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const net = `127.${random(10, 250)}.${random(1, 250)}`;
      const base = random(20_000, 31_000);
      const names = ["front", "ready", "control", "gatewayMetrics", "controllerMetrics"];
      this.ports = Object.fromEntries(names.map((name, at) => [name, base + at]));
      this.ports.spare = base + PORTS.length;
      this.machines = Array.from({ length: count }, (_, at) => ({
        name: `edge-${ZONES[at % ZONES.length]}-${1 + Math.floor(at / ZONES.length)}`,
        ip: `${net}.${at + 1}`,
        zone: ZONES[at % ZONES.length],
        isCore: at < coreCount,
      }));
      this.workerIp = `${net}.200`;
      const all = this.machines.flatMap(({ ip }) =>
        Array.from({ length: PORTS.length + SPARE_PORTS }, (_, at) => isFree(ip, base + at)),
      );
      if ((await Promise.all(all)).every(Boolean)) return;
    }
    throw new Error("no free ports were found");
  };

  get controls() {
    return this.machines
      .filter(({ isCore }) => isCore)
      .map(({ ip }) => `${ip}:${this.ports.control}`);
  }

  address = (machine, port) => `${machine.ip}:${this.ports[port]}`;

  #settings = (machine, role, firstRun) => {
    const { ports, options } = this;
    const folder = join(this.folder, machine.name, role);
    mkdirSync(join(folder, "data"), { recursive: true });
    const listen = (port, isUsed) => (isUsed ? `"${machine.ip}:${ports[port]}"` : '""');
    const isController = role === "controller";
    const file = join(folder, "settings.toml");
    writeFileSync(
      file,
      `[node]
name = "${machine.name}"
role = "${role}"
cell = "${machine.zone}"
ip = "${machine.ip}"
sparePorts = [${ports.spare}, ${ports.spare + SPARE_PORTS - 1}]
seedNodes = [${this.controls
        .slice(0, 3)
        .map((seed) => `"${seed}"`)
        .join(", ")}]
firstRun = ${firstRun}
heartbeat = "1500ms"
dataFolder = "${isController ? join(folder, "data") : ""}"
deployment = "${options.deployment}"
region = "cluj"
logLevel = "info"
[cells]
${ZONES.map((zone) => `${zone} = "cluj"`).join("\n")}
[listen]
front = ${listen("front", !isController)}
ready = ${listen("ready", !isController)}
control = ${listen("control", isController)}
[limits]
memoryMb = 350
fileHandles = 3000
linkMbps = 1000.0
diskMb = 64
[withstand]
machines = ${options.withstand}
[rollout]
late = 0.3
lostSafe = 1
lostUnsafe = 2
doubled = 5
[metrics]
gateway = "${ports.gatewayMetrics}/metrics"
controller = "${ports.controllerMetrics}/metrics"
[forecast]
acts = false
[bounds]
drain = "${options.drainMs}ms"
grace = "${GRACE_MS}ms"
apply = "${options.applyMs}ms"
contact = "${options.contactMs}ms"
confirm = "${options.confirmMs}ms"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = ${options.retrySlack}
stretch = "5000ms"
${options.moreBounds}`,
    );
    return { folder, file };
  };

  /** Starts one process of a machine. */
  start = (machine, role, firstRun = false) => {
    const { folder, file } = this.#settings(machine, role, firstRun);
    const [program, ...args] = commandOf(role);
    const log = openSync(join(folder, "log.txt"), "a");
    const child = spawn(program, args, {
      cwd: TOP,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, YEWREEL_CONFIG: file },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    const key = `${machine.name}/${role}`;
    this.#children.set(key, child);
    this.record.note(`${key} started`);
    child.exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.record.note(`${key} ended (${signal ?? code})`);
        if (this.#children.get(key) === child) this.#children.delete(key);
        resolve();
      });
    });
    return child;
  };

  /** Starts all machines for the first time. */
  startAll = () =>
    this.machines.forEach((machine) => {
      if (machine.isCore) this.start(machine, "controller", true);
      this.start(machine, "gateway", true);
    });

  child = (machine, role) => this.#children.get(`${machine.name}/${role}`);

  /** Starts a stand-in of this folder as a process of its own; `onLine` gets each line it prints. */
  startStandIn = (file, settings, onLine) => {
    const child = spawn(process.execPath, [join(LIB, file), JSON.stringify(settings)], {
      cwd: TOP,
      env: { PATH: process.env.PATH },
      stdio: ["pipe", "pipe", "inherit"],
    });
    this.#standIns.add(child);
    let text = "";
    child.stdout.on("data", (chunk) => {
      text += chunk;
      const lines = text.split("\n");
      text = lines.pop();
      lines.forEach((line) => onLine(JSON.parse(line)));
    });
    child.once("exit", () => this.#standIns.delete(child));
    return child;
  };

  /** The machine's disk is lost: its next process finds an empty data folder. */
  wipe = (machine) => {
    rmSync(join(this.folder, machine.name, "controller", "data"), { recursive: true, force: true });
    this.record.note(`${machine.name}: its disk is lost`);
  };

  killAll = () => {
    [...this.#children.values(), ...this.#standIns].forEach((child) => child.kill("SIGKILL"));
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true });
  };

  /** The operator: sends a change to one controller after another until one acknowledges it. */
  apply = async (change, triesLeft = 60) => {
    for (let at = 0; at < triesLeft; at += 1) {
      const control = this.controls[at % this.controls.length];
      const reply = await call(control, "POST", "/plan/change", change, 1_500);
      this.record.note(`operator: change sent to ${control}: ${reply?.status ?? "no answer"}`);
      if (reply?.status === 200) return;
      await sleep(300);
    }
    throw new Error("the configuration was not acknowledged");
  };

  /** Resolves once the machines' gateways call themselves ready. */
  waitUntilReady = async (machines = this.machines, timeoutMs = 20_000) => {
    const untilMs = nowMs() + timeoutMs;
    for (const machine of machines)
      for (;;) {
        if (nowMs() > untilMs) throw new Error(`${machine.name} did not become ready`);
        const reply = await call(this.address(machine, "ready"), "GET", "/ready", undefined, 500);
        if (reply?.status === 200) break;
        await sleep(100);
      }
    this.record.note(`ready: ${machines.map(({ name }) => name).join(", ")}`);
  };
}

/** Runs a case and ends this process with its exit code. */
export const runCase = async (folder, body, options = {}) => {
  const record = new Record(folder);
  record.note(HAS_TROUBLE ? "with the disruption" : "TROUBLE=0: without the disruption");
  const limit = setTimeout(() => {
    record.say("could not run: the time limit was reached");
    record.write();
    process.exit(COULD_NOT_RUN);
  }, 115_000);
  let code = COULD_NOT_RUN;
  try {
    code = await body(record, new Fleet(record, options));
  } catch (error) {
    record.say(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  record.say({ 0: "the rule held", 1: "the rule was broken", 2: "could not run" }[code]);
  record.write();
  process.exit(code);
};
