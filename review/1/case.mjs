/**
 * LOST: a gateway that gets SIGTERM tells a client that pipelines safe requests nothing, goes on
 * taking its requests, passes them on to workers and closes the connection when it exits.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BROKEN,
  call,
  COULD_NOT_RUN,
  GRACE_MS,
  HAS_TROUBLE,
  HELD,
  nowMs,
  runCase,
  sleep,
  ZONES,
} from "../lib/fleet.mjs";
import { PipeliningClient } from "../lib/pipelining-client.mjs";
import { HOST, planOf } from "../lib/plan.mjs";

const CONNECTIONS = 4;
const DEPTH = 3;
/** As `track-read` of the site rasa-cluj: work, deadline and the route's time-out in ms. */
const WORK_MS = 150;
const DEADLINE_MS = 2_500;
const WORKERS = 6;
const CALM_MS = 6_000;
const AFTER_MS = 9_000;
/** A request sent later than this after SIGTERM counts even if its worker is still at work. */
const LATE_MS = 3_000;

const main = async (record, fleet) => {
  await fleet.prepare(4, 1);
  const edge = fleet.machines.find(({ isCore }) => !isCore);
  fleet.startAll();
  const runs = new Map();
  const note = ({ worker, event, attemptId }) => {
    record.note(`worker ${worker}: ${event} ${attemptId ?? ""}`);
    if (event === "run") runs.set(attemptId, { startMs: nowMs(), endMs: Infinity });
    if (event === "ran" || event === "dropped") runs.get(attemptId).endMs = nowMs();
  };
  for (let at = 0; at < WORKERS; at += 1)
    fleet.startStandIn(
      "worker.mjs",
      {
        id: `i-u${at}`,
        service: "urmarire",
        zone: ZONES[at % ZONES.length],
        ip: fleet.workerIp,
        controls: fleet.controls,
        capacity: 3,
        workMs: WORK_MS,
        bodyBytes: 400,
      },
      note,
    );
  await sleep(1_500);
  await fleet.apply(
    planOf([
      { name: "track", kind: "safe", service: "urmarire", target: "400ms", giveUp: "2500ms" },
    ]),
  );
  await fleet.waitUntilReady();
  // Calm until every machine is in touch and every worker has sent beats.
  await sleep(4_000);
  const probe = await call(fleet.address(edge, "front"), "GET", "/track/x", undefined, 2_500, {
    Host: HOST,
    "Yewreel-Try-Id": "probe",
    "Yewreel-Time-Left-Ms": String(DEADLINE_MS),
  });
  if (probe?.status !== 200) throw new Error(`the probe was answered ${probe?.status}`);

  const clients = Array.from(
    { length: CONNECTIONS },
    (_, at) =>
      new PipeliningClient({
        name: `c${at}`,
        ip: edge.ip,
        port: fleet.ports.front,
        path: "/track/x",
        depth: DEPTH,
        timeLeftMs: DEADLINE_MS,
        record,
      }),
  );
  await sleep(CALM_MS);
  const termMs = nowMs();
  const gateway = fleet.child(edge, "gateway");
  if (HAS_TROUBLE) {
    record.note(`platform: SIGTERM to ${edge.name}, SIGKILL follows after grace`);
    gateway.kill("SIGTERM");
    const killTimer = setTimeout(() => gateway.kill("SIGKILL"), GRACE_MS);
    void gateway.exited.then(() => clearTimeout(killTimer));
  }
  await sleep(AFTER_MS);
  clients.forEach((client) => client.stop());
  await sleep(1_000);

  const requests = clients.flatMap((client) => client.requests);
  const isLost = ({ id, state, sentMs, endedMs }) =>
    state === "cut" &&
    // The request was handed on to a worker.
    runs.has(id) &&
    // The deadline and the route's time-out were not reached.
    endedMs - sentMs < DEADLINE_MS &&
    // Around the planned work: from SIGTERM until 1 s after grace.
    endedMs >= termMs &&
    endedMs <= termMs + GRACE_MS + 1_000 &&
    // Not excluded as work that its worker was still at in the last sixth of grace.
    sentMs > termMs + LATE_MS;
  const lost = requests.filter(isLost);
  const counts = Object.groupBy
    ? Object.entries(Object.groupBy(requests, ({ state }) => state)).map(
        ([state, list]) => `${list.length} ${state}`,
      )
    : ["answered", "not-read", "cut", "open"].map(
        (state) => `${requests.filter((one) => one.state === state).length} ${state}`,
      );
  record.say(`${requests.length} requests on ${CONNECTIONS} connections: ${counts.join(", ")}`);
  lost.forEach(({ id, sentMs, endedMs }) =>
    record.say(
      `LOST: ${id}, sent ${(sentMs - termMs).toFixed(0)} ms after SIGTERM, begun by a worker, ` +
        `cut without an answer after ${(endedMs - sentMs).toFixed(0)} ms of ${DEADLINE_MS}`,
    ),
  );
  const served = requests.filter(({ state, status }) => state === "answered" && status === 200);
  if (served.length < 100) {
    record.say("too few requests were served to judge");
    return COULD_NOT_RUN;
  }
  return lost.length > 0 ? BROKEN : HELD;
};

await runCase(dirname(fileURLToPath(import.meta.url)), main);
