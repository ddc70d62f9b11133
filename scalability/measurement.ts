/**
 * Measures the control plane at one size: real controllers, one process each, with light nodes and
 * workers that share a few processes, all over loopback.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { loadavg, tmpdir } from "node:os";
import { join } from "node:path";
import { sleep, MonotonicClock } from "../src/common/clock.js";
import { readNumber, type UnknownRecord } from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Host, makeRule, post, waitUntil } from "./host.js";
import { controllerAddress, steadyUs } from "./loopback.js";
import { packSize, type Size } from "./size.js";
import { usageBetween } from "./usage.js";

const ZONES = 7;
const WORKERS_PER_HOST = 2_000;
const HEAP_MB = { controller: 700, nodes: 1_800, workers: 500 };
/** One of this many nodes is restarted. */
const RESTART_EVERY_NTH = 7;

const clock = new MonotonicClock();

const configurationOf = (size: Size): string =>
  JSON.stringify({
    putItems: {
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_048_576,
        headerWait: "3000ms",
        idle: "15000ms",
        version: 1,
      },
      listeners: [
        {
          host: "track.example",
          rules: [
            makeRule("mark", 1, "s0"),
            ...Array.from({ length: size.routes - 1 }, (_none, at) =>
              makeRule(`r-${at}`, 1, `s${at % size.services}`),
            ),
          ],
        },
      ],
      groups: Array.from({ length: size.services }, (_none, at) => ({
        name: `s${at}`,
        statusPath: "/health",
        maxConnections: 1_300,
        version: 1,
      })),
    },
    remove: { routes: [] },
  });

/** Numbers of nodes in each state, summed over the processes. */
interface NodeStatus {
  /** Nodes that have all items and workers. */
  readonly upToDate: number;
  /** Nodes that have the route `mark` at the requested version or a later one. */
  readonly marked: number;
  /** Nodes with a session. */
  readonly connected: number;
  /** When the last node received the route `mark`, by {@link steadyUs}. */
  readonly lastMarkUs: number;
}

/** Resource usage reported by the processes of each role. */
interface Snapshot {
  readonly controllers: readonly UnknownRecord[];
  readonly nodes: readonly UnknownRecord[];
}

const measureAll = (hosts: readonly Host[]): Promise<UnknownRecord[]> =>
  Promise.all(hosts.map((host) => host.request({ what: "measure" })));

class Measurement {
  private readonly controllers: readonly Host[];
  private readonly nodeHosts: readonly Host[];
  private readonly workerHosts: readonly Host[];

  constructor(
    private readonly size: Size,
    private readonly folder: string,
  ) {
    const { controllers, hosts, workers } = size;
    this.controllers = Array.from({ length: controllers }, () => new Host(HEAP_MB.controller));
    this.nodeHosts = Array.from({ length: hosts }, () => new Host(HEAP_MB.nodes));
    this.workerHosts = Array.from(
      { length: workers > 0 ? Math.ceil(workers / WORKERS_PER_HOST) : 0 },
      () => new Host(HEAP_MB.workers),
    );
  }

  readonly run = async (): Promise<UnknownRecord> => {
    const { size } = this;
    await this.startControllers();
    await this.startWorkersAndNodes();
    const joinedUs = await this.waitUntilAllUpToDate("every node has all updates", 180);
    await sleep(clock, size.settleSeconds * SECOND_US);
    const joined = await this.snapshot();
    await sleep(clock, size.seconds * SECOND_US);
    const rested = await this.snapshot();
    const change = await this.timeChange();
    const changed = await this.snapshot();
    const restart = await this.timeRestart();
    const restarted = await measureAll(this.controllers);
    const killUs = await this.timeControllerLoss();
    return {
      size: packSize(size),
      joinedUs,
      atRest: { seconds: size.seconds, ...usageOf(joined, rested) },
      change: { ...change, ...usageOf(rested, changed) },
      restart: { ...restart, boxes: usageBetween(changed.controllers, restarted) },
      boxKilled: { tookUs: killUs },
      loadAverage: loadavg()[0] ?? 0,
    };
  };

  readonly close = async (): Promise<void> => {
    [...this.controllers, ...this.nodeHosts, ...this.workerHosts].forEach((host) => host.kill());
    await sleep(clock, 300 * MILLISECOND_US);
  };

  private readonly startControllers = async (): Promise<void> => {
    const { size, folder } = this;
    await Promise.all(
      this.controllers.map((controller, at) =>
        controller.request({
          what: "box",
          at,
          boxes: size.controllers,
          folder: join(folder, String(at)),
        }),
      ),
    );
    await waitUntil(
      "the configuration is accepted",
      async () => (await post(controllerAddress(0), "/plan/change", configurationOf(size))) === 200,
    );
  };

  private readonly startWorkersAndNodes = async (): Promise<void> => {
    const { size, workerHosts, nodeHosts } = this;
    const topology = {
      cells: Math.min(ZONES, size.controllers),
      boxes: size.controllers,
      services: size.services,
    };
    const workersPerHost = Math.ceil(size.workers / Math.max(1, workerHosts.length));
    await Promise.all(
      workerHosts.map((host, at) => {
        const count = Math.min(workersPerHost, size.workers - at * workersPerHost);
        return host.request({ what: "workers", from: at * workersPerHost, count, ...topology });
      }),
    );
    const numbers = Array.from({ length: size.nodes }, (_none, at) => at);
    await Promise.all(
      nodeHosts.map((host, at) =>
        host.request({
          what: "nodes",
          numbers: numbers.filter((number) => number % size.hosts === at),
          ...topology,
        }),
      ),
    );
  };

  private readonly status = async (mark: number): Promise<NodeStatus> => {
    const { routes, services, workers } = this.size;
    const wanted = { items: routes + services + 1, workers };
    const replies = await Promise.all(
      this.nodeHosts.map((host) => host.request({ what: "status", mark, ...wanted })),
    );
    const sum = (field: string) =>
      replies.reduce((total, reply) => total + readNumber(reply, field), 0);
    return {
      upToDate: sum("full"),
      marked: sum("marked"),
      connected: sum("standing"),
      lastMarkUs: Math.max(...replies.map((reply) => readNumber(reply, "lastMarkUs"))),
    };
  };

  private readonly waitUntilAllUpToDate = (what: string, seconds: number): Promise<number> =>
    waitUntil(what, async () => (await this.status(0)).upToDate === this.size.nodes, seconds);

  private readonly snapshot = async (): Promise<Snapshot> => ({
    controllers: await measureAll(this.controllers),
    nodes: await measureAll(this.nodeHosts),
  });

  /** Changes one route; times the acknowledgement, and from there the arrival at the last node. */
  private readonly timeChange = async (): Promise<UnknownRecord> => {
    const { size } = this;
    const startUs = steadyUs();
    const change = JSON.stringify({
      putItems: { listeners: [{ host: "track.example", rules: [makeRule("mark", 2, "s0")] }] },
      remove: { routes: [] },
    });
    const status = await post(controllerAddress(1 % size.controllers), "/plan/change", change);
    const acknowledgedUs = steadyUs();
    await waitUntil(
      "every node has the change",
      async () => (await this.status(2)).marked === size.nodes,
    );
    const { lastMarkUs } = await this.status(2);
    await sleep(clock, SECOND_US);
    return {
      status,
      acknowledgedUs: acknowledgedUs - startUs,
      lastNodeUs: lastMarkUs - acknowledgedUs,
    };
  };

  /** Restarts a seventh of the nodes at once; times until all nodes have all updates again. */
  private readonly timeRestart = async (): Promise<UnknownRecord> => {
    const startUs = steadyUs();
    const replies = await Promise.all(
      this.nodeHosts.map((host) => host.request({ what: "restart", every: RESTART_EVERY_NTH })),
    );
    const nodes = replies.reduce((sum, reply) => sum + readNumber(reply, "restarted"), 0);
    await this.waitUntilAllUpToDate("every restarted node has all updates", 120);
    return { nodes, tookUs: steadyUs() - startUs };
  };

  /** Kills the last controller; resolves to the time until every node has a session again. */
  private readonly timeControllerLoss = async (): Promise<number> => {
    const startUs = steadyUs();
    this.controllers[this.controllers.length - 1]?.kill();
    await sleep(clock, 1_500 * MILLISECOND_US);
    await waitUntil(
      "every node has a session again",
      async () => (await this.status(0)).connected === this.size.nodes,
      120,
    );
    return steadyUs() - startUs;
  };
}

/** Usage between two snapshots, with the field names of committed results. */
const usageOf = (before: Snapshot, after: Snapshot): UnknownRecord => ({
  boxes: usageBetween(before.controllers, after.controllers),
  nodes: usageBetween(before.nodes, after.nodes),
});

/**
 * Measures one size: starts the processes, lets them settle, measures them idle, times one change,
 * restarts a seventh of the nodes and kills a controller. Resolves to one entry of a result file;
 * rejects if a step times out.
 */
export const measureSize = async (size: Size): Promise<UnknownRecord> => {
  const folder = await mkdtemp(join(tmpdir(), "scalability-"));
  const measurement = new Measurement(size, folder);
  try {
    return await measurement.run();
  } finally {
    await measurement.close();
    await rm(folder, { recursive: true, force: true });
  }
};
