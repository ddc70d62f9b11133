/**
 * DENIED: the stored answers of keyed requests are not given to a replica that comes back without
 * its disk. Once the disks that held them were lost one after the other, within `withstand`, every
 * repeat is refused as "at work".
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BROKEN,
  call,
  COULD_NOT_RUN,
  HAS_TROUBLE,
  HELD,
  nowMs,
  runCase,
  sleep,
  ZONES,
} from "../lib/fleet.mjs";
import { HOST, planOf } from "../lib/plan.mjs";

/** As `receipt` of the site qvra-cdn: work in ms, bytes of an answer, deadline in ms. */
const WORK_MS = 270;
const BODY_BYTES = 1_500;
const DEADLINE_MS = 8_449;
const CONTACT_MS = 4_000;
const CATCH_UP_MS = 6_000;
const KEY_WINDOW_MS = 60_000;
const KEYS = 60;
const KEY_GAP_MS = 100;
const DOWN_MS = 1_000;
/** The rule: repeats of more than this many keys. */
const ALLOWED = 3;

const main = async (record, fleet) => {
  await fleet.prepare(4, 0);
  fleet.startAll();
  const runs = new Map();
  for (let at = 0; at < 8; at += 1)
    fleet.startStandIn(
      "worker.mjs",
      {
        id: `i-d${at}`,
        service: "deliv-app",
        zone: ZONES[at % ZONES.length],
        ip: fleet.workerIp,
        controls: fleet.controls,
        capacity: 3,
        workMs: WORK_MS,
        bodyBytes: BODY_BYTES,
      },
      ({ worker, event, attemptId }) => {
        record.note(`worker ${worker}: ${event} ${attemptId ?? ""}`);
        if (event === "run") runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1);
      },
    );
  await sleep(1_500);
  await fleet.apply(
    planOf([
      { name: "receipt", kind: "keyed", service: "deliv-app", target: "1200ms", giveUp: "8s" },
    ]),
  );
  await fleet.waitUntilReady();
  await sleep(6_000);

  const send = async (key, attempt, machine) => {
    const id = `${key}.${attempt}`;
    const sentMs = nowMs();
    const reply = await call(
      fleet.address(machine, "front"),
      "POST",
      "/receipt/x",
      { receipt: key },
      DEADLINE_MS,
      {
        Host: HOST,
        "Yewreel-Try-Id": id,
        "Yewreel-Operation-Key": key,
        "Yewreel-Time-Left-Ms": String(DEADLINE_MS),
      },
    );
    const seal = reply?.headers["yewreel-server-seal"];
    record.note(`client: ${id} at ${machine.name}: ${reply?.status ?? "no answer"} ${seal ?? ""}`);
    return { id, sentMs, endedMs: nowMs(), status: reply?.status, seal, body: reply?.body };
  };

  const first = new Map();
  const open = [];
  for (let at = 0; at < KEYS; at += 1) {
    const key = `k-${at}`;
    open.push(send(key, 1, fleet.machines[at % 4]).then((tried) => first.set(key, tried)));
    await sleep(KEY_GAP_MS);
  }
  await Promise.all(open);
  const done = [...first].filter(([, { status }]) => status === 200);
  if (done.length < KEYS / 2) {
    record.say(`only ${done.length} of ${KEYS} keyed requests were answered with 200`);
    return COULD_NOT_RUN;
  }
  // The machines that answered stay in touch for more than 2 s after their answers.
  await sleep(3_000);

  /** Machines lose power and their disks at once; they come back after a second. */
  const lose = async (machines) => {
    if (HAS_TROUBLE) {
      machines.forEach((machine) => {
        fleet.child(machine, "controller").kill("SIGKILL");
        fleet.child(machine, "gateway").kill("SIGKILL");
        fleet.wipe(machine);
      });
    }
    await sleep(DOWN_MS);
    if (HAS_TROUBLE)
      machines.forEach((machine) => {
        fleet.start(machine, "controller");
        fleet.start(machine, "gateway");
      });
    // The machines count as lost until `catchUp` after their return.
    await sleep(CATCH_UP_MS + 1_000);
  };
  await lose(fleet.machines.slice(0, 2));
  await lose(fleet.machines.slice(2, 3));
  await fleet.waitUntilReady();
  // All machines are in touch: the last start was more than `contact` ago.
  const last = [];
  for (const [at, [key]] of done.entries())
    last.push({ key, ...(await send(key, 2, fleet.machines[at % 4])) });
  await sleep(500);

  const inWindow = last.filter(
    ({ key, endedMs }) => endedMs - first.get(key).sentMs < KEY_WINDOW_MS - 1_000,
  );
  const refused = inWindow.filter(({ status }) => status === 409);
  const replayed = inWindow.filter(
    ({ key, status, seal, body }) =>
      status === 200 && seal === first.get(key).seal && body === first.get(key).body,
  );
  const again = last.filter(({ id }) => runs.has(id));
  record.say(
    `${done.length} keyed requests were answered with 200; of ${inWindow.length} repeats inside ` +
      `keyWindow (${CONTACT_MS} ms of contact kept) ${replayed.length} got the first answer, ` +
      `${refused.length} got 409, ${again.length} ran again`,
  );
  refused.forEach(({ key, sentMs }) =>
    record.note(
      `DENIED: ${key} got 409 ${(sentMs - first.get(key).endedMs).toFixed(0)} ms after its answer`,
    ),
  );
  if (inWindow.length < KEYS / 2) return COULD_NOT_RUN;
  return refused.length > ALLOWED ? BROKEN : HELD;
};

await runCase(dirname(fileURLToPath(import.meta.url)), main, {
  deployment: "content",
  withstand: 2,
  drainMs: 2_500,
  applyMs: 2_500,
  contactMs: CONTACT_MS,
  confirmMs: 5_000,
  retrySlack: 186,
  moreBounds: `keyWindow = "60s"\npurge = "2000ms"\nstaleSlack = "2s"\n`,
});
