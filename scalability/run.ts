import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { cpus, tmpdir, totalmem, loadavg } from "node:os";
import { join } from "node:path";
import { Command } from "commander";
import { sleep, SteadyClock } from "../src/common/clock.js";
import { asRecord, isRecord, readNumber, type UnknownRecord } from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Host, post, makeRule, waitUntil } from "./host.js";
import { controllerAddress, steadyUs } from "./loopback.js";

/** What a run may take of the machine: half of its memory, and so many processes. */
const MAX_PROCESSES = 300;
const MAX_NODES = 10_000;
const MAX_WORKERS = 30_000;
const MEMORY_SHARE = 0.5;
const ZONES = 7;

const clock = new SteadyClock();

export interface Size {
  readonly nodes: number;
  readonly workers: number;
  readonly routes: number;
  readonly services: number;
  readonly boxes: number;
  readonly hosts: number;
  readonly seconds: number;
  /** For how long nodes rest after joining before they are measured. */
  readonly settle: number;
}

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

interface Usage {
  readonly cpuUs: number;
  readonly rssMb: number;
  readonly heapMb: number;
  readonly sent: Readonly<Record<string, { readonly frames: number; readonly bytes: number }>>;
}

const readFrameCounts = (replies: UnknownRecord): Map<string, { frames: number; bytes: number }> =>
  new Map(
    Object.entries(asRecord(replies["sent"])).map(([kind, counts]) => [
      kind,
      {
        frames: readNumber(asRecord(counts), "frames"),
        bytes: readNumber(asRecord(counts), "bytes"),
      },
    ]),
  );

/** What processes did between two looks, all in all; memory as it is at the second. */
const usageBetween = (before: readonly UnknownRecord[], after: readonly UnknownRecord[]): Usage => {
  const sent: Record<string, { frames: number; bytes: number }> = {};
  let cpuUs = 0;
  after.forEach((now, at) => {
    const was = before[at];
    cpuUs += readNumber(now, "cpuUs") - (was ? readNumber(was, "cpuUs") : 0);
    const earlier = was
      ? readFrameCounts(was)
      : new Map<string, { frames: number; bytes: number }>();
    readFrameCounts(now).forEach(({ frames, bytes }, kind) => {
      const sum = sent[kind] ?? { frames: 0, bytes: 0 };
      const rise = {
        frames: sum.frames + frames - (earlier.get(kind)?.frames ?? 0),
        bytes: sum.bytes + bytes - (earlier.get(kind)?.bytes ?? 0),
      };
      if (rise.frames > 0) sent[kind] = rise;
    });
  });
  const max = (field: string) => Math.max(...after.map((now) => readNumber(now, field)));
  return { cpuUs, rssMb: max("rssMb"), heapMb: max("heapMb"), sent };
};

/** One size: start, settle, measure at rest, time one change, restart a seventh of the nodes, kill a signalbox. */
export const runSize = async (size: Size): Promise<UnknownRecord> => {
  const folder = await mkdtemp(join(tmpdir(), "scalability-"));
  const controllers = Array.from({ length: size.boxes }, () => new Host(700));
  const hosts = Array.from({ length: size.hosts }, () => new Host(1_800));
  const workers = Array.from(
    { length: size.workers > 0 ? Math.ceil(size.workers / 2_000) : 0 },
    () => new Host(500),
  );
  try {
    await Promise.all(
      controllers.map((controller, at) =>
        controller.request({
          what: "box",
          at,
          boxes: size.boxes,
          folder: join(folder, String(at)),
        }),
      ),
    );
    await waitUntil(
      "the plan is taken",
      async () => (await post(controllerAddress(0), "/plan/change", configurationOf(size))) === 200,
    );
    const place = {
      cells: Math.min(ZONES, size.boxes),
      boxes: size.boxes,
      services: size.services,
    };
    const each = Math.ceil(size.workers / Math.max(1, workers.length));
    await Promise.all(
      workers.map((host, at) =>
        host.request({
          what: "workers",
          from: at * each,
          count: Math.min(each, size.workers - at * each),
          ...place,
        }),
      ),
    );
    const numbers = Array.from({ length: size.nodes }, (_none, at) => at);
    await Promise.all(
      hosts.map((host, at) =>
        host.request({
          what: "nodes",
          numbers: numbers.filter((number) => number % size.hosts === at),
          ...place,
        }),
      ),
    );
    const wanted = { items: size.routes + size.services + 1, workers: size.workers };
    const status = async (
      mark: number,
    ): Promise<{
      readonly full: number;
      readonly marked: number;
      readonly standing: number;
      readonly lastMarkUs: number;
    }> => {
      const replies = await Promise.all(
        hosts.map((host) => host.request({ what: "status", mark, ...wanted })),
      );
      const sum = (field: string) =>
        replies.reduce((total, one) => total + readNumber(one, field), 0);
      return {
        full: sum("full"),
        marked: sum("marked"),
        standing: sum("standing"),
        lastMarkUs: Math.max(...replies.map((one) => readNumber(one, "lastMarkUs"))),
      };
    };
    const joinedUs = await waitUntil(
      "every node has all news",
      async () => (await status(0)).full === size.nodes,
      180,
    );
    await sleep(clock, size.settle * SECOND_US);

    const look = (of: readonly Host[]) =>
      Promise.all(of.map((host) => host.request({ what: "measure" })));
    const [boxesBefore, hostsBefore] = [await look(controllers), await look(hosts)];
    await sleep(clock, size.seconds * SECOND_US);
    const [boxesRest, hostsRest] = [await look(controllers), await look(hosts)];

    const changedUs = steadyUs();
    const change = JSON.stringify({
      putItems: { listeners: [{ host: "track.example", rules: [makeRule("mark", 2, "s0")] }] },
      remove: { routes: [] },
    });
    const answered = await post(controllerAddress(1 % size.boxes), "/plan/change", change);
    const acknowledgedUs = steadyUs();
    await waitUntil(
      "every node has the change",
      async () => (await status(2)).marked === size.nodes,
    );
    const { lastMarkUs } = await status(2);
    await sleep(clock, SECOND_US);
    const [boxesChanged, hostsChanged] = [await look(controllers), await look(hosts)];

    const restartedFromUs = steadyUs();
    const restarted = (
      await Promise.all(hosts.map((host) => host.request({ what: "restart", every: 7 })))
    ).reduce((sum, replies) => sum + readNumber(replies, "restarted"), 0);
    await waitUntil(
      "every restarted node has all news",
      async () => (await status(0)).full === size.nodes,
      120,
    );
    const restartUs = steadyUs() - restartedFromUs;
    const boxesRestarted = await look(controllers);

    const killedUs = steadyUs();
    controllers[controllers.length - 1]?.kill();
    await sleep(clock, 1_500 * MILLISECOND_US);
    await waitUntil(
      "every node has a session again",
      async () => (await status(0)).standing === size.nodes,
      120,
    );
    const killUs = steadyUs() - killedUs;
    return {
      size,
      joinedUs,
      atRest: {
        seconds: size.seconds,
        boxes: usageBetween(boxesBefore, boxesRest),
        nodes: usageBetween(hostsBefore, hostsRest),
      },
      change: {
        status: answered,
        acknowledgedUs: acknowledgedUs - changedUs,
        lastNodeUs: lastMarkUs - acknowledgedUs,
        boxes: usageBetween(boxesRest, boxesChanged),
        nodes: usageBetween(hostsRest, hostsChanged),
      },
      restart: {
        nodes: restarted,
        tookUs: restartUs,
        boxes: usageBetween(boxesChanged, boxesRestarted),
      },
      boxKilled: { tookUs: killUs },
      loadAverage: loadavg()[0] ?? 0,
    };
  } finally {
    [...controllers, ...hosts, ...workers].forEach((host) => host.kill());
    await sleep(clock, 300 * MILLISECOND_US);
    await rm(folder, { recursive: true, force: true });
  }
};

/** What is wrong with the sizes asked for, in one line; undefined if they fit the machine. */
export const problemOf = (sizes: readonly Size[]): string | undefined => {
  for (const { nodes, workers, routes, services, boxes: controllers, hosts } of sizes) {
    const whole = Object.entries({ nodes, routes, services, boxes: controllers, hosts }).find(
      ([, value]) => !Number.isSafeInteger(value) || value < 1,
    );
    if (whole) return `${whole[0]} must be a whole number of 1 or more`;
    if (!Number.isSafeInteger(workers) || workers < 0)
      return "workers must be a whole number of 0 or more";
    if (nodes > MAX_NODES) return `${nodes} nodes are more than ${MAX_NODES}`;
    if (workers > MAX_WORKERS) return `${workers} workers are more than ${MAX_WORKERS}`;
    const processes = controllers + hosts + Math.ceil(workers / 2_000);
    if (processes > MAX_PROCESSES) return `${processes} processes are more than ${MAX_PROCESSES}`;
    const neededMb =
      controllers * 150 + hosts * 100 + (nodes * (workers + routes + services) * 1.2) / 1_024;
    if (neededMb > (totalmem() / 2 ** 20) * MEMORY_SHARE)
      return `about ${Math.round(neededMb)} MB are more than half of this machine's memory`;
  }
  return undefined;
};

const FIELDS = ["nodes", "workers", "routes", "services"] as const;

const main = async (): Promise<void> => {
  const cli = new Command("scalability").description(
    "measures how the control side grows: real signalboxes, hollow nodes and workers, over loopback",
  );
  cli
    .argument("<what>", `what grows: ${FIELDS.join(", ")}`)
    .argument("<sizes...>", "its sizes, such as 100 300 1000 3000")
    .option("--nodes <n>", "hollow nodes", "30")
    .option("--workers <n>", "hollow workers", "30")
    .option("--routes <n>", "routes", "30")
    .option("--services <n>", "services", "5")
    .option("--boxes <n>", "real signalboxes, a process each", "7")
    .option("--hosts <n>", "processes that the hollow nodes share", "6")
    .option("--seconds <n>", "for how long it is measured at rest", "8")
    .option("--settle <n>", "for how long it rests before that", "6")
    .option("--commit <id>", "the commit that is measured", "")
    .option("--out <file>", "where the result is written")
    .action(async (what: string, sizes: string[], options: Readonly<Record<string, string>>) => {
      const field = FIELDS.find((one) => one === what);
      const given = (name: string) => Number(options[name]);
      const base: Size = {
        nodes: given("nodes"),
        workers: given("workers"),
        routes: given("routes"),
        services: given("services"),
        boxes: given("boxes"),
        hosts: given("hosts"),
        seconds: given("seconds"),
        settle: given("settle"),
      };
      const all =
        field === undefined ? [] : sizes.map((size): Size => ({ ...base, [field]: Number(size) }));
      const problem =
        field === undefined ? `${what} is none of ${FIELDS.join(", ")}` : problemOf(all);
      if (problem !== undefined) {
        process.stderr.write(`scalability: ${problem}.\n`);
        process.exitCode = 2;
        return;
      }
      const results: UnknownRecord[] = [];
      const machine = {
        cores: cpus().length,
        memoryGb: Math.round(totalmem() / 2 ** 30),
        node: process.version,
      };
      for (const size of all) {
        try {
          results.push(await runSize(size));
        } catch (error) {
          results.push({ size, failed: error instanceof Error ? error.message : String(error) });
        }
        const last = results[results.length - 1];
        process.stdout.write(
          `${JSON.stringify(isRecord(last) ? { size: last["size"], failed: last["failed"], change: isRecord(last["change"]) ? last["change"]["lastNodeUs"] : undefined } : {})}\n`,
        );
        if (options["out"] !== undefined)
          await writeFile(
            options["out"],
            `${JSON.stringify({ commit: options["commit"], machine, command: process.argv.slice(2).join(" "), what, results }, undefined, 1)}\n`,
          );
      }
    });
  await cli.parseAsync();
};

await main();
