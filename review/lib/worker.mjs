/**
 * A stand-in worker as the pages describe it. It runs `capacity` requests at a time, queues a few
 * more, turns the rest away, and reports each run on its standard output. Commands on its standard
 * input: `leave` (sends its leave call until it is acknowledged, and no beats from then on),
 * `end` (ends).
 */
import { createServer } from "node:http";
import { createInterface } from "node:readline";
import { call } from "./fleet.mjs";

const options = JSON.parse(process.argv[2]);
const { id, service, zone, ip, controls, capacity, workMs, bodyBytes } = options;
const QUEUE = 12;
const HEARTBEAT_MS = 1_500;
const tell = (event) => process.stdout.write(`${JSON.stringify({ worker: id, ...event })}\n`);

const body = Buffer.alloc(bodyBytes, `${id} `);
let running = 0;
const waiting = [];

const finish = (response, attemptId, status, headers, content) => {
  response.writeHead(status, {
    "Yewreel-Try-Id": attemptId,
    "Yewreel-Worker-Id": id,
    "Yewreel-Worker-Load": `${running},${waiting.length},${capacity}`,
    "Content-Length": content.length,
    ...headers,
  });
  response.end(content);
};

const runNext = () => {
  while (running < capacity && waiting.length > 0) {
    const { attemptId, path, response } = waiting.shift();
    if (response.destroyed) continue;
    running += 1;
    tell({ event: "run", attemptId, path });
    setTimeout(
      () => {
        running -= 1;
        tell({ event: response.destroyed ? "dropped" : "ran", attemptId });
        if (!response.destroyed)
          finish(response, attemptId, 200, { "Yewreel-Server-Seal": `s.${attemptId}` }, body);
        runNext();
      },
      workMs * (0.7 + 0.6 * Math.random()),
    );
  }
};

const server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
  request.resume();
  request.once("end", () => {
    const attemptId = String(request.headers["yewreel-try-id"] ?? "");
    const expected = request.headers["yewreel-expect-worker"];
    const empty = Buffer.alloc(0);
    if (request.url === "/health") finish(response, attemptId, 200, {}, empty);
    else if (expected !== undefined && expected !== id)
      finish(response, attemptId, 421, { "Yewreel-Not-Run": "1" }, empty);
    else if (waiting.length >= QUEUE)
      finish(response, attemptId, 503, { "Yewreel-Not-Run": "1" }, empty);
    else {
      tell({ event: "received", attemptId });
      waiting.push({ attemptId, path: request.url, response });
      runNext();
    }
  });
});

let callCount = 0;
let at = Math.floor(Math.random() * controls.length);
let reportTo;
let timer;
const beat = async () => {
  callCount += 1;
  const beatBody = {
    service,
    address: `${ip}:${server.address().port}`,
    cell: zone,
    version: "v1",
    capacity,
    state: "ready",
    warmLeft: "0ms",
    callCount,
  };
  for (let tries = 0; tries < controls.length + 1; tries += 1) {
    const reply = await call(
      reportTo ?? controls[at % controls.length],
      "POST",
      `/workers/${id}/heartbeat`,
      beatBody,
    );
    if (reply !== undefined && reply.status >= 200 && reply.status < 300) {
      reportTo = JSON.parse(reply.body || "{}").reportTo ?? reportTo;
      return;
    }
    reportTo = undefined;
    at += 1;
  }
};

const leave = async () => {
  clearInterval(timer);
  for (let tries = 0; tries < 20; tries += 1) {
    const control = reportTo ?? controls[at % controls.length];
    const reply = await call(control, "POST", `/workers/${id}/leave`);
    if (reply?.status === 200) {
      tell({ event: "left", control });
      return;
    }
    reportTo = undefined;
    at += 1;
  }
  tell({ event: "leave failed" });
};

createInterface({ input: process.stdin }).on("line", (line) => {
  if (line === "leave") void leave();
  if (line === "end") process.exit(0);
});
process.stdin.on("end", () => process.exit(0));

server.listen(0, ip, () => {
  tell({ event: "listening" });
  void beat();
  timer = setInterval(() => void beat(), HEARTBEAT_MS);
});
