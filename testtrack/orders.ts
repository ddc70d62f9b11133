import { mkdtemp, readdir, rm, stat, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Command } from "commander";
import { quantileSorted } from "simple-statistics";
import { rest, SteadyClock } from "../src/trackbed/clock.js";
import { asRec, numberOf, type Rec } from "../src/trackbed/shape.js";
import { MS, SECOND } from "../src/trackbed/span.js";
import { Host, post, ruleOf, until } from "./host-control.js";
import { boxAddress, machineUs } from "./place.js";

/** What an order costs: real signalboxes over loopback, orders one after the other, then rest. */
const clock = new SteadyClock();

const bytesUnder = async (folder: string): Promise<number> => {
  const entries = await readdir(folder, { withFileTypes: true });
  const sizes = await Promise.all(entries.map((entry) => (entry.isDirectory() ? bytesUnder(join(folder, entry.name)) : stat(join(folder, entry.name)).then(({ size }) => size))));
  return sizes.reduce((sum, size) => sum + size, 0);
};

interface Looked {
  readonly cpuUs: number;
  readonly frames: number;
  readonly bytes: number;
  readonly atUs: number;
}

const look = async (boxes: readonly Host[]): Promise<Looked> => {
  const told = await Promise.all(boxes.map((box) => box.ask({ what: "measure" })));
  const sent = told.flatMap((rec) => Object.values(asRec(rec["sent"])).map((counts) => asRec(counts)));
  const sum = (values: readonly unknown[]): number => values.map(numberOf).reduce((all, value) => all + value, 0);
  return { cpuUs: sum(told.map((rec) => rec["cpuUs"])), frames: sum(sent.map((counts) => counts["frames"])), bytes: sum(sent.map((counts) => counts["bytes"])), atUs: machineUs() };
};

const perBoxSecond = (before: Looked, after: Looked, boxes: number): Rec => {
  const seconds = ((after.atUs - before.atUs) / SECOND) * boxes;
  return { cpuMs: round((after.cpuUs - before.cpuUs) / MS / seconds), frames: round((after.frames - before.frames) / seconds), bytes: round((after.bytes - before.bytes) / seconds) };
};

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

const measure = async (count: number, orders: number, routes: number, seconds: number): Promise<Rec> => {
  const folder = await mkdtemp(join(tmpdir(), "testtrack-"));
  const boxes = Array.from({ length: count }, () => new Host(300));
  try {
    await Promise.all(boxes.map((box, at) => box.ask({ what: "box", at, boxes: count, folder: join(folder, String(at)) })));
    const rules = Array.from({ length: routes }, (_none, at) => ruleOf(`r-${at}`, 1, "s0"));
    const plan = { putItems: { limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerWait: "3000ms", idle: "15000ms", version: 1 }, listeners: [{ host: "track.example", rules }], groups: [{ name: "s0", statusPath: "/health", maxConnections: 100, version: 1 }] }, remove: { routes: [] } };
    await until("the plan is taken", async () => (await post(boxAddress(0), "/plan/change", JSON.stringify(plan))) === 200);
    await rest(clock, 6 * SECOND);
    const idleFrom = await look(boxes);
    await rest(clock, seconds * SECOND);
    const idleTo = await look(boxes);
    const times: number[] = [];
    let failed = 0;
    for (let at = 0; at < orders; at += 1) {
      const change = { putItems: { listeners: [{ host: "track.example", rules: [ruleOf(`r-${at % routes}`, 2 + at, "s0")] }] }, remove: { routes: [] } };
      const fromUs = machineUs();
      const status = await post(boxAddress(at % count), "/plan/change", JSON.stringify(change));
      if (status === 200) times.push((machineUs() - fromUs) / MS);
      else failed += 1;
    }
    const busyTo = await look(boxes);
    times.sort((a, b) => a - b);
    return {
      boxes: count,
      orders,
      routes,
      failed,
      ms: { median: round(quantileSorted(times, 0.5)), p99: round(quantileSorted(times, 0.99)) },
      cpuMsAnOrder: round((busyTo.cpuUs - idleTo.cpuUs) / MS / orders),
      bytesAnOrder: round((busyTo.bytes - idleTo.bytes) / orders),
      idlePerBoxSecond: perBoxSecond(idleFrom, idleTo, count),
      diskBytesPerBox: round((await bytesUnder(folder)) / count),
    };
  } finally {
    boxes.forEach((box) => box.end());
    await rm(folder, { recursive: true, force: true });
  }
};

const main = async (): Promise<void> => {
  const cli = new Command("orders").description("measures what an operator's order costs the control side, over loopback");
  cli
    .option("--boxes <n>", "real signalboxes, a process each", "4")
    .option("--orders <n>", "orders, one after the other, through each box in turn", "200")
    .option("--routes <n>", "routes that stand", "1400")
    .option("--seconds <n>", "for how long it is measured at rest", "10")
    .option("--commit <id>", "the commit that is measured", "")
    .option("--out <file>", "where the result is written")
    .action(async (options: Readonly<Record<string, string>>) => {
      const result = { commit: options["commit"], node: process.version, ...(await measure(Number(options["boxes"]), Number(options["orders"]), Number(options["routes"]), Number(options["seconds"]))) };
      process.stdout.write(`${JSON.stringify(result)}\n`);
      if (options["out"] !== undefined) await writeFile(options["out"], `${JSON.stringify(result, undefined, 1)}\n`);
    });
  await cli.parseAsync();
};

await main();
