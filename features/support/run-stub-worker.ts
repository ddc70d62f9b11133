import { request } from "node:http";
import { StubWorker } from "./stub-worker.js";

/**
 * Runs a stub worker that sends heartbeats to the first controller that accepts them:
 * run-stub-worker.js SERVICE ZONE CONTROLLER [CONTROLLER...]
 */
const [service = "", zone = "", ...controllers] = process.argv.slice(2);
if (service === "" || zone === "" || controllers.length === 0) {
  process.stderr.write(
    "usage: run-stub-worker.js SERVICE ZONE CONTROLLER [CONTROLLER...] (CONTROLLER: ip:port)\n",
  );
  process.exit(2);
}

const worker = new StubWorker(`i-${process.pid}`);
await worker.start();
let callCount = 0;

const heartbeat = (at: number): void => {
  const controller = controllers[at];
  if (controller === undefined) return;
  const body = JSON.stringify({
    service,
    address: worker.address,
    cell: zone,
    version: "v1",
    capacity: 3,
    state: "ready",
    warmLeft: "0ms",
    callCount,
  });
  const call = request(
    `http://${controller}/workers/${worker.id}/heartbeat`,
    { method: "POST", timeout: 1_000, headers: { "Content-Length": Buffer.byteLength(body) } },
    (response) => {
      response.resume();
      if (response.statusCode !== 200) heartbeat(at + 1);
    },
  );
  call.on("timeout", () => call.destroy());
  call.on("error", () => heartbeat(at + 1));
  call.end(body);
};
const sendNextHeartbeat = (): void => {
  callCount += 1;
  heartbeat(0);
};
sendNextHeartbeat();
setInterval(sendNextHeartbeat, 1_500);
process.stdout.write(`${worker.id} serves ${service} at ${worker.address}.\n`);
