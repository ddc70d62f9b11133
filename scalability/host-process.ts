import { Agent, request } from "node:http";
import { LoadCounters } from "../src/health/load-counters.js";
import { joinCluster, type DataPlaneNode } from "../src/programs/data-plane-node.js";
import { runGateway } from "../src/programs/gateway/gateway.js";
import { runController } from "../src/programs/controller/controller.js";
import { CONFIG_PREFIX, WORKER_PREFIX } from "../src/membership/update-store.js";
import { MonotonicClock, type Timer } from "../src/common/clock.js";
import { setLogLevel } from "../src/common/logger.js";
import {
  asRecord,
  readList,
  asNumber,
  readString,
  readNumber,
  type UnknownRecord,
} from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { sentFrameCounts } from "../src/transport/frame-codec.js";
import { controllerAddress, steadyUs, nodeIp, settingsOf } from "./loopback.js";

/**
 * A child process of a benchmark run. On request of its parent it runs a controller, many light
 * nodes, many light workers, or one real gateway.
 */
setLogLevel("silent");
const clock = new MonotonicClock();

const measure = (): UnknownRecord => {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    atUs: steadyUs(),
    cpuUs: user + system,
    rssMb: rss / 2 ** 20,
    heapMb: heapUsed / 2 ** 20,
    sent: Object.fromEntries([...sentFrameCounts].map(([kind, counts]) => [kind, { ...counts }])),
  };
};

// --- Light nodes: the real session, relay, update and report code, without a proxy

interface LightNode {
  readonly at: number;
  member: DataPlaneNode;
  report: Timer;
  items: number;
  workers: number;
  mark: number;
  markUs: number;
}

const MARK_KEY = `${CONFIG_PREFIX}route/mark`;
const lightNodes = new Map<number, LightNode>();
let zones = 1;
let controllers = 1;
let services = 1;

const startLightNode = async (at: number): Promise<void> => {
  const settings = settingsOf(`node-${at}`, nodeIp(at), `c${at % zones}`, controllers, "");
  const member = joinCluster(settings, clock, "gateway");
  const loadCounters = new LoadCounters(`${at}-${steadyUs()}`);
  const report = clock.every(2 * SECOND_US, () => {
    for (let service = 0; service < services; service += 1) {
      loadCounters.recordArrival(`s${service}`);
      loadCounters.recordCompletion(`s${service}`, settings.zone, 100 * MILLISECOND_US);
    }
    const message = loadCounters.takeReport();
    if (message) member.subscriber.report(message);
  });
  const node: LightNode = { at, member, report, items: 0, workers: 0, mark: 0, markUs: 0 };
  lightNodes.set(at, node);
  member.updates.events.on("changed", (changes) => {
    changes.forEach(({ key, version }) => {
      if (key === MARK_KEY && version > node.mark) {
        node.mark = version;
        node.markUs = steadyUs();
      }
    });
    node.items = 0;
    node.workers = 0;
    member.updates.all().forEach(({ key }) => {
      if (key.startsWith(CONFIG_PREFIX)) node.items += 1;
      else if (key.startsWith(WORKER_PREFIX)) node.workers += 1;
    });
  });
  await member.relay.listen(settings.ip, settings.relayPort);
  void member.subscriber.run();
};

const stopLightNode = (node: LightNode): void => {
  node.report.stop();
  node.member.subscriber.stop();
  node.member.relay.close();
  lightNodes.delete(node.at);
};

// --- Light workers: only send heartbeats over HTTP

const agent = new Agent({ keepAlive: true, maxSockets: 16 });
let heartbeatsAccepted = 0;
let heartbeatsFailed = 0;
const heartbeat = (at: number, callCount: number): void => {
  const body = JSON.stringify({
    service: `s${at % services}`,
    address: `127.43.${Math.floor(at / 250)}.${(at % 250) + 1}:80`,
    zone: `c${at % zones}`,
    cell: `c${at % zones}`,
    version: "v1",
    capacity: 2,
    state: "ready",
    warmLeft: "0ms",
    callCount,
  });
  const call = request(
    `http://${controllerAddress(at % controllers)}/workers/w-${at}/heartbeat`,
    {
      method: "POST",
      agent,
      timeout: SECOND_US / MILLISECOND_US,
      headers: { "Content-Length": Buffer.byteLength(body) },
    },
    (response) => {
      response.resume();
      if (response.statusCode === 200) heartbeatsAccepted += 1;
      else heartbeatsFailed += 1;
    },
  );
  call.on("timeout", () => call.destroy());
  call.on("error", () => (heartbeatsFailed += 1));
  call.end(body);
};
const startWorkers = (from: number, count: number): void => {
  for (let at = from; at < from + count; at += 1) {
    let callCount = 0;
    clock.after(((at - from) / count) * 1_500 * MILLISECOND_US, () => {
      const sendNext = () => heartbeat(at, (callCount += 1));
      sendNext();
      clock.every(1_500 * MILLISECOND_US, sendNext);
    });
  }
};

// --- Requests of the parent

const handleRequest = async (request: UnknownRecord): Promise<UnknownRecord> => {
  switch (readString(request, "what")) {
    case "box": {
      const [at, count] = [readNumber(request, "at"), readNumber(request, "boxes")];
      await runController(
        settingsOf(
          `box-${at}`,
          controllerAddress(at).split(":")[0] ?? "",
          `c${at}`,
          count,
          readString(request, "folder"),
        ),
        clock,
      );
      return {};
    }
    case "node":
      await runGateway(
        settingsOf("node", nodeIp(0), "c0", readNumber(request, "boxes"), ""),
        clock,
      );
      return {};
    case "nodes": {
      [zones, controllers, services] = [
        readNumber(request, "cells"),
        readNumber(request, "boxes"),
        readNumber(request, "services"),
      ];
      for (const at of readList(request, "numbers", asNumber)) await startLightNode(at);
      return {};
    }
    case "workers":
      [zones, controllers, services] = [
        readNumber(request, "cells"),
        readNumber(request, "boxes"),
        readNumber(request, "services"),
      ];
      startWorkers(readNumber(request, "from"), readNumber(request, "count"));
      return {};
    case "restart": {
      const selected = [...lightNodes.values()].filter(
        ({ at }) => at % readNumber(request, "every") === 0,
      );
      selected.forEach(stopLightNode);
      for (const { at } of selected) await startLightNode(at);
      return { restarted: selected.length };
    }
    case "status": {
      const all = [...lightNodes.values()];
      return {
        nodes: all.length,
        fed: all.filter(({ member }) => member.subscriber.isUpToDate).length,
        standing: all.filter(({ member }) => member.subscriber.isConnected).length,
        full: all.filter(
          ({ items, workers }) =>
            items >= readNumber(request, "items") && workers >= readNumber(request, "workers"),
        ).length,
        marked: all.filter(({ mark }) => mark >= readNumber(request, "mark")).length,
        lastMarkUs: Math.max(0, ...all.map(({ markUs }) => markUs)),
        beatsTaken: heartbeatsAccepted,
        beatsFailed: heartbeatsFailed,
      };
    }
    case "measure":
      return measure();
    default:
      return {};
  }
};

process.on("message", (value: unknown) => {
  const request = asRecord(value);
  void handleRequest(request).then(
    (reply) => process.send?.({ ...reply, re: request["ask"] }),
    (error: unknown) => process.send?.({ mishap: String(error), re: request["ask"] }),
  );
});
process.on("disconnect", () => process.exit(0));
