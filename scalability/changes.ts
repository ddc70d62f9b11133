import { mkdtemp, readdir, rm, stat, writeFile } from "node:fs/promises";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Command } from "commander";
import { quantileSorted } from "simple-statistics";
import { sleep, MonotonicClock, type Timer } from "../src/common/clock.js";
import { asRecord, asNumber, type UnknownRecord } from "../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import { Host, post, makeRule, waitUntil } from "./host.js";
import { controllerAddress, steadyUs } from "./loopback.js";

/**
 * Measures the cost of configuration changes: real controllers over loopback, first idle, then with
 * changes sent one after another.
 */
const clock = new MonotonicClock();

const bytesInFolder = async (folder: string): Promise<number> => {
  const entries = await readdir(folder, { withFileTypes: true });
  const sizes = await Promise.all(
    entries.map((entry) =>
      entry.isDirectory()
        ? bytesInFolder(join(folder, entry.name))
        : stat(join(folder, entry.name)).then(({ size }) => size),
    ),
  );
  return sizes.reduce((sum, size) => sum + size, 0);
};

/** Totals over all controllers at one time. */
interface Sample {
  readonly cpuUs: number;
  readonly frames: number;
  readonly bytes: number;
  readonly atUs: number;
}

const sample = async (controllers: readonly Host[]): Promise<Sample> => {
  const replies = await Promise.all(
    controllers.map((controller) => controller.request({ what: "measure" })),
  );
  const sent = replies.flatMap((record) =>
    Object.values(asRecord(record["sent"])).map((counts) => asRecord(counts)),
  );
  const sum = (values: readonly unknown[]): number =>
    values.map(asNumber).reduce((all, value) => all + value, 0);
  return {
    cpuUs: sum(replies.map((record) => record["cpuUs"])),
    frames: sum(sent.map((counts) => counts["frames"])),
    bytes: sum(sent.map((counts) => counts["bytes"])),
    atUs: steadyUs(),
  };
};

const perControllerSecond = (before: Sample, after: Sample, controllers: number): UnknownRecord => {
  const seconds = ((after.atUs - before.atUs) / SECOND_US) * controllers;
  return {
    cpuMs: round((after.cpuUs - before.cpuUs) / MILLISECOND_US / seconds),
    frames: round((after.frames - before.frames) / seconds),
    bytes: round((after.bytes - before.bytes) / seconds),
  };
};

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

const configurationOf = (routes: number): UnknownRecord => ({
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
        rules: Array.from({ length: routes }, (_none, at) => makeRule(`r-${at}`, 1, "s0")),
      },
    ],
    groups: [{ name: "s0", statusPath: "/health", maxConnections: 100, version: 1 }],
  },
  remove: { routes: [] },
});

const measureChanges = async (
  controllerCount: number,
  changeCount: number,
  routes: number,
  seconds: number,
): Promise<UnknownRecord> => {
  const folder = await mkdtemp(join(tmpdir(), "scalability-"));
  const controllers = Array.from({ length: controllerCount }, () => new Host(300));
  try {
    await Promise.all(
      controllers.map((controller, at) =>
        controller.request({
          what: "box",
          at,
          boxes: controllerCount,
          folder: join(folder, String(at)),
        }),
      ),
    );
    await waitUntil(
      "the configuration is accepted",
      async () =>
        (await post(
          controllerAddress(0),
          "/plan/change",
          JSON.stringify(configurationOf(routes)),
        )) === 200,
    );
    await sleep(clock, 6 * SECOND_US);
    const idleStart = await sample(controllers);
    await sleep(clock, seconds * SECOND_US);
    const idleEnd = await sample(controllers);
    const latenciesMs: number[] = [];
    let failed = 0;
    for (let at = 0; at < changeCount; at += 1) {
      const change = {
        putItems: {
          listeners: [
            { host: "track.example", rules: [makeRule(`r-${at % routes}`, 2 + at, "s0")] },
          ],
        },
        remove: { routes: [] },
      };
      const fromUs = steadyUs();
      const status = await post(
        controllerAddress(at % controllerCount),
        "/plan/change",
        JSON.stringify(change),
      );
      if (status === 200) latenciesMs.push((steadyUs() - fromUs) / MILLISECOND_US);
      else failed += 1;
    }
    const busyEnd = await sample(controllers);
    latenciesMs.sort((a, b) => a - b);
    return {
      boxes: controllerCount,
      orders: changeCount,
      routes,
      failed,
      ms: {
        median: round(quantileSorted(latenciesMs, 0.5)),
        p99: round(quantileSorted(latenciesMs, 0.99)),
      },
      cpuMsAnOrder: round((busyEnd.cpuUs - idleEnd.cpuUs) / MILLISECOND_US / changeCount),
      bytesAnOrder: round((busyEnd.bytes - idleEnd.bytes) / changeCount),
      idlePerBoxSecond: perControllerSecond(idleStart, idleEnd, controllerCount),
      diskBytesPerBox: round((await bytesInFolder(folder)) / controllerCount),
    };
  } finally {
    controllers.forEach((controller) => controller.kill());
    await rm(folder, { recursive: true, force: true });
  }
};

const readConfiguration = (address: string): Promise<string> =>
  new Promise((resolve) => {
    const call = get(`http://${address}/plan/read`, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () =>
        resolve(response.statusCode === 200 ? Buffer.concat(chunks).toString() : ""),
      );
      response.on("error", () => resolve(""));
    });
    call.on("error", () => resolve(""));
  });

/**
 * Measures how long a controller that was down during many changes, with its disk kept or wiped,
 * takes to catch up while two more changes arrive per second.
 */
const measureCatchUp = async (
  changeCount: number,
  routes: number,
  isWiped: boolean,
): Promise<UnknownRecord> => {
  const folder = await mkdtemp(join(tmpdir(), "scalability-"));
  const controllers = Array.from({ length: 4 }, () => new Host(300));
  const lastIndex = 3;
  let timer: Timer | undefined;
  const startController = (controller: Host, at: number) =>
    controller.request({ what: "box", at, boxes: 4, folder: join(folder, String(at)) });
  const change = (version: number) =>
    post(
      controllerAddress(0),
      "/plan/change",
      JSON.stringify({
        putItems: {
          listeners: [
            { host: "track.example", rules: [makeRule(`r-${version % routes}`, version, "s0")] },
          ],
        },
        remove: { routes: [] },
      }),
    );
  try {
    await Promise.all(controllers.map(startController));
    await waitUntil(
      "the configuration is accepted",
      async () =>
        (await post(
          controllerAddress(0),
          "/plan/change",
          JSON.stringify(configurationOf(routes)),
        )) === 200,
    );
    await waitUntil("the last controller has the configuration", async () =>
      (await readConfiguration(controllerAddress(lastIndex))).includes(`"r-${routes - 1}"`),
    );
    controllers[lastIndex]?.kill();
    if (isWiped) await rm(join(folder, String(lastIndex)), { recursive: true, force: true });
    for (let at = 0; at < changeCount; at += 1)
      await waitUntil("the change is accepted", async () => (await change(2 + at)) === 200);
    let version = 2 + changeCount;
    timer = clock.every(SECOND_US / 2, () => void change((version += 1)));
    const restarted = new Host(300);
    controllers[lastIndex] = restarted;
    const fromUs = steadyUs();
    await startController(restarted, lastIndex);
    const upUs = steadyUs() - fromUs;
    await waitUntil("the restarted controller has all changes", async () =>
      (await readConfiguration(controllerAddress(lastIndex))).includes(
        `"version":${1 + changeCount}`,
      ),
    );
    return {
      orders: changeCount,
      routes,
      isWiped,
      processUpMs: round(upUs / MILLISECOND_US),
      heldAllMs: round((steadyUs() - fromUs) / MILLISECOND_US),
    };
  } finally {
    timer?.stop();
    controllers.forEach((controller) => controller.kill());
    await rm(folder, { recursive: true, force: true });
  }
};

const main = async (): Promise<void> => {
  const cli = new Command("changes").description(
    "measures the cost of a configuration change in the control plane, over loopback",
  );
  cli
    .option("--boxes <n>", "number of real controllers, one process each", "4")
    .option(
      "--orders <n>",
      "number of changes, sent one after another to each controller in turn",
      "200",
    )
    .option("--routes <n>", "number of routes in the configuration", "1400")
    .option("--seconds <n>", "duration of the idle measurement", "10")
    .option(
      "--down",
      "measure instead how a controller that was down during the changes catches up, with its disk kept and wiped",
    )
    .option("--commit <id>", "commit under test", "")
    .option("--out <file>", "write the result to this file")
    .action(async (options: Readonly<Record<string, string | true>>) => {
      const numberOption = (name: string) => Number(options[name]);
      const [changeCount, routes] = [numberOption("orders"), numberOption("routes")];
      const measured =
        options["down"] === true
          ? {
              down: [
                await measureCatchUp(changeCount, routes, false),
                await measureCatchUp(changeCount, routes, true),
              ],
            }
          : await measureChanges(
              numberOption("boxes"),
              changeCount,
              routes,
              numberOption("seconds"),
            );
      const result = { commit: options["commit"], node: process.version, ...measured };
      process.stdout.write(`${JSON.stringify(result)}\n`);
      if (typeof options["out"] === "string")
        await writeFile(options["out"], `${JSON.stringify(result, undefined, 1)}\n`);
    });
  await cli.parseAsync();
};

await main();
