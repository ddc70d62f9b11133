import { request } from "node:http";
import { StandIn } from "./stand-in.js";

/** Runs one stand-in worker that beats: run-stand-in.js SERVICE CELL BOX [BOX...] */
const [service = "", zone = "", ...boxes] = process.argv.slice(2);
if (service === "" || zone === "" || boxes.length === 0) {
  process.stderr.write("run-stand-in: give SERVICE CELL BOX [BOX...], a box as ip:port.\n");
  process.exit(2);
}

const worker = new StandIn(`i-${process.pid}`);
await worker.start();
let callCount = 0;

const heartbeat = (at: number): void => {
  const box = boxes[at];
  if (box === undefined) return;
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
    `http://${box}/workers/${worker.id}/heartbeat`,
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
const next = (): void => {
  callCount += 1;
  heartbeat(0);
};
next();
setInterval(next, 1_500);
process.stdout.write(`${worker.id} serves ${service} at ${worker.address}.\n`);
