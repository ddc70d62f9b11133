import { fork } from "node:child_process";
import { writeFile } from "node:fs/promises";
import { cpus, loadavg, tmpdir, totalmem } from "node:os";
import { Command } from "commander";
import { StubWorker } from "../features/support/stub-worker.js";
import { summarize, generateLoad } from "../src/programs/loadgen/loadgen.js";
import { UpdateStore, CONFIG_PREFIX, WORKER_PREFIX } from "../src/membership/update-store.js";
import { RouteTable } from "../src/proxy/route-table.js";
import { WorkerDirectory } from "../src/proxy/worker-directory.js";
import { sleep, MonotonicClock } from "../src/common/clock.js";
import { asRecord, readNumber, type UnknownRecord } from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Host, post, makeRule, waitUntil } from "./host.js";
import { controllerAddress, FRONT_PORT, steadyUs, nodeIp, READY_PORT } from "./loopback.js";

/** Measures one node: the memory it needs per worker and route, and the cost of a request. */
const clock = new MonotonicClock();
const ZONES = 7;
const WORKERS_PER_SERVICE = 50;

/** Runs in a separate process, so that the measured memory and time contain nothing else. */
const measureStateInProcess = async (workers: number, routes: number): Promise<void> => {
  const collectGarbage = globalThis.gc ?? (() => undefined);
  collectGarbage();
  const before = process.memoryUsage();
  const updates = new UpdateStore(clock);
  const table = new RouteTable();
  const directory = new WorkerDirectory(clock, "node", "c0");
  directory.setNodeCount({ inZone: 430, total: 3_000 });
  updates.events.on("changed", (changes) => {
    table.applyUpdates(changes);
    directory.applyUpdates(changes);
  });
  const cpuBefore = process.cpuUsage();
  updates.post(
    Array.from({ length: workers }, (_none, at) => ({
      key: `${WORKER_PREFIX}w-${at}`,
      version: 1,
      tie: "",
      body: {
        service: `s${at % Math.max(1, Math.floor(workers / WORKERS_PER_SERVICE))}`,
        address: `10.${at % 250}.${Math.floor(at / 250)}.9:80`,
        cell: `c${at % ZONES}`,
        capacity: 2,
        state: "ready",
        warmUs: 0,
        release: "v1",
      },
    })),
  );
  updates.post(
    Array.from({ length: routes }, (_none, at) => ({
      key: `${CONFIG_PREFIX}route/r-${at}`,
      version: 1,
      tie: "x",
      body: {
        dropped: false,
        item: JSON.stringify({
          host: `h${at % 500}.example`,
          rule: makeRule(`r-${at}`, 1, `s${at % 500}`),
        }),
      },
    })),
  );
  await sleep(clock, 200 * MILLISECOND_US);
  const services = Math.max(1, Math.floor(workers / WORKERS_PER_SERVICE));
  for (let service = 0; service < services; service += 1) directory.subsetFor(`s${service}`);
  const { user, system } = process.cpuUsage(cpuBefore);
  collectGarbage();
  const after = process.memoryUsage();
  process.send?.({
    workers,
    routes,
    heapMb: (after.heapUsed - before.heapUsed) / 2 ** 20,
    rssMb: after.rss / 2 ** 20,
    cpuMs: (user + system) / 1_000,
    held: updates.all().length,
    pool: directory.size,
  });
  process.disconnect();
};

const measureState = (workers: number, routes: number): Promise<UnknownRecord> =>
  new Promise((resolve, reject) => {
    const child = fork(new URL(import.meta.url), ["hold", String(workers), String(routes)], {
      execArgv: ["--expose-gc", "--max-semi-space-size=1"],
    });
    child.on("message", (value: unknown) => resolve(asRecord(value)));
    child.on("exit", (code) =>
      reject(new Error(`measurement process exited with code ${String(code)}`)),
    );
  });

/**
 * Measures a real gateway with stub workers at several request rates and, for comparison, the
 * same load sent directly to the workers.
 */
const measureLoad = async (
  rates: readonly number[],
  seconds: number,
): Promise<readonly UnknownRecord[]> => {
  const controller = new Host(300);
  const node = new Host(300);
  const workers = Array.from({ length: 8 }, (_none, at) => new StubWorker(`w-${at}`));
  try {
    await Promise.all(workers.map((worker) => worker.start()));
    await controller.request({
      what: "box",
      at: 0,
      boxes: 1,
      folder: `${tmpdir()}/scalability-node-${process.pid}`,
    });
    const configuration = {
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_048_576,
        headerWait: "3000ms",
        idle: "15000ms",
        version: 1,
      },
      listeners: [{ host: "track.example", rules: [makeRule("mark", 1, "s0")] }],
      groups: [{ name: "s0", statusPath: "/health", maxConnections: 1_300, version: 1 }],
    };
    await waitUntil(
      "the configuration is accepted",
      async () =>
        (await post(
          controllerAddress(0),
          "/plan/change",
          JSON.stringify({ putItems: configuration, remove: { routes: [] } }),
        )) === 200,
    );
    let callCount = 0;
    const sendHeartbeats = () => {
      callCount += 1;
      workers.forEach(
        ({ id, address }) =>
          void post(
            controllerAddress(0),
            `/workers/${id}/heartbeat`,
            JSON.stringify({
              service: "s0",
              address,
              cell: "c0",
              version: "v1",
              capacity: 8,
              state: "ready",
              warmLeft: "0ms",
              callCount,
            }),
          ),
      );
    };
    sendHeartbeats();
    const heartbeats = clock.every(1_500 * MILLISECOND_US, sendHeartbeats);
    await node.request({ what: "node", boxes: 1 });
    await waitUntil(
      "the node is ready",
      async () => (await fetch(`http://${nodeIp(0)}:${READY_PORT}/ready`)).status === 200,
    );
    const rows: UnknownRecord[] = [];
    for (const ratePerS of rates) {
      const common = {
        host: "track.example",
        path: "/mark/x",
        method: "GET",
        body: "",
        ratePerS,
        seconds,
        budgetMs: 2_000,
      };
      const direct = summarize(
        await generateLoad({ ...common, targets: workers.map(({ address }) => address) }, clock),
      );
      const [before, fromUs] = [await node.request({ what: "measure" }), steadyUs()];
      const through = summarize(
        await generateLoad({ ...common, targets: [`${nodeIp(0)}:${FRONT_PORT}`] }, clock),
      );
      const after = await node.request({ what: "measure" });
      const cpuUs = readNumber(after, "cpuUs") - readNumber(before, "cpuUs");
      rows.push({
        ratePerS,
        seconds: (steadyUs() - fromUs) / SECOND_US,
        sent: through.sent,
        outcomes: through.outcomes,
        cpuMsARequest: cpuUs / 1_000 / through.sent,
        rssMb: after["rssMb"],
        heapMb: after["heapMb"],
        throughMs: { p50: through.p50Ms, p99: through.p99Ms },
        directMs: { p50: direct.p50Ms, p99: direct.p99Ms },
        loadAverage: loadavg()[0],
      });
    }
    heartbeats.stop();
    return rows;
  } finally {
    workers.forEach((worker) => worker.stop());
    [controller, node].forEach((host) => host.kill());
  }
};

const cli = new Command("scalability-node");
cli
  .command("hold <workers> <routes>")
  .action((workers: string, routes: string) =>
    measureStateInProcess(Number(workers), Number(routes)),
  );
cli
  .command("measure")
  .requiredOption("--out <file>")
  .option("--commit <id>", "commit under test", "")
  .action(async ({ out, commit }: { readonly out: string; readonly commit: string }) => {
    const state: UnknownRecord[] = [];
    for (const workers of [250, 2_500, 10_000, 25_000]) state.push(await measureState(workers, 0));
    for (const routes of [500, 2_000, 4_000, 8_000]) state.push(await measureState(0, routes));
    state.push(await measureState(25_000, 8_000));
    const loads = await measureLoad([25, 50, 100, 200], 6);
    await writeFile(
      out,
      `${JSON.stringify({ commit, machine: { cores: cpus().length, memoryGb: Math.round(totalmem() / 2 ** 30), node: process.version }, state, loads }, undefined, 1)}\n`,
    );
    process.exit(0);
  });
await cli.parseAsync();
