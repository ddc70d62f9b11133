import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { RawCaller, type Told } from "../../fuzz/raw-caller.js";
import { Rig } from "../../fuzz/rig.js";
import { answerOf, ScriptedWorker, type Arrival } from "../../fuzz/scripted-worker.js";
import { settle } from "../support/manual-clock.js";

const LEFT = { "Yewreel-Time-Left-Ms": "2500" };
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

let rig: Rig;
let workers: ScriptedWorker[] = [];
let tries = 0;
let told: Told | undefined;

const own = (arrival: Arrival, body = `ran ${arrival.tryId}`): string =>
  answerOf(200, { "Yewreel-Try-Id": arrival.tryId, "Yewreel-Server-Seal": `s.${arrival.worker}.${arrival.tryId}` }, body);

const newRig = async (): Promise<void> => {
  rig = new Rig();
  workers = [];
  await rig.start();
};
const join = async (worker: ScriptedWorker): Promise<ScriptedWorker> => {
  workers.push(worker);
  await rig.join(worker);
  return worker;
};
const first = (): ScriptedWorker => {
  const [worker] = workers;
  assert.ok(worker);
  return worker;
};
const arrivalsOf = (tryId: string): readonly Arrival[] => workers.flatMap(({ arrivals }) => arrivals).filter((arrival) => arrival.tryId === tryId);

const ask = async (method: string, path: string, body = "", heads: Readonly<Record<string, string>> = {}): Promise<Told | undefined> => {
  tries += 1;
  const caller = new RawCaller(rig.host, rig.port);
  caller.send(method, path, { "Yewreel-Try-Id": `t-${tries}`, ...LEFT, ...heads }, body);
  await rig.until(() => caller.told.length > 0 || caller.isClosed);
  caller.socket.destroy();
  return caller.told[0];
};

After({ tags: "not @none" }, async () => {
  if (workers.length === 0) return;
  rig.stop();
  workers.forEach((worker) => worker.stop());
  workers = [];
  await settle();
});

Given("a front and a worker that keeps its connections", async () => {
  await newRig();
  await join(new ScriptedWorker("w1", { onRequest: (arrival, socket) => void socket.write(own(arrival)) }));
});
Given("another worker that answers well", async () => {
  await join(new ScriptedWorker("w2", { onRequest: (arrival, socket) => void socket.write(own(arrival)) }));
});

When(/^on a kept connection the worker runs an order and a late (\d+)( with Not-Run)? (?:and|with) (another try's|no) id comes first$/, async (status: string, notRun: string | null, whose: string) => {
  for (let at = 0; at < 40 && first().arrivals.length === 0; at += 1) await ask("GET", "/safe/x");
  assert.equal(first().bytes.length, 1);
  const late = answerOf(Number(status), { ...(whose === "no" ? {} : { "Yewreel-Try-Id": "somebody-else" }), ...(notRun === null ? {} : { "Yewreel-Not-Run": "1" }) });
  first().script = { onRequest: (arrival, socket) => void socket.write(arrival.method === "POST" ? late + own(arrival) : own(arrival)) };
  for (let at = 0; at < 40 && !first().arrivals.some(({ method }) => method === "POST"); at += 1) told = await ask("POST", "/unsafe/x", "an order");
  const [order] = first().arrivals.filter(({ method }) => method === "POST");
  assert.deepEqual([order?.tryId, order?.connection], [`t-${tries}`, 1]);
});
Then("the order's caller is told {int}", (status: number) => assert.equal(told?.status, status));
Then("the order ran once, and no promise was given for it", () => {
  assert.equal(arrivalsOf(`t-${tries}`).length, 1);
  assert.ok(told && !PROMISES.has(told.status));
});
Then("the worker is still known", () => assert.ok(rig.yard.all().some(({ id }) => id === "w1")));
