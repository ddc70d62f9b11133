import assert from "node:assert/strict";
import {
  copyFile,
  mkdtemp,
  readdir,
  readFile,
  rm,
  stat,
  truncate,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Recovery } from "../../src/storage/recovery.js";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { NodeFileSystem, type FileSystem } from "../../src/storage/file-system.js";
import type { UnknownRecord } from "../../src/common/decode.js";
import { FaultyDisk, seededRandom } from "../support/faulty-disk.js";

type State = Map<string, UnknownRecord>;

const TIMEOUT_MS = 120_000;

let folder = "";
let bytesWritten = 0;
const files = new NodeFileSystem();
const disk: FileSystem = {
  // eslint-disable-next-line @typescript-eslint/no-misused-spread -- the methods are instance fields
  ...files,
  write: (path, bytes) => {
    bytesWritten += bytes.length;
    return files.write(path, bytes);
  },
};
let state: State = new Map();
let log: WriteAheadLog;
let recordCount = 0;
let maxFolderBytes = 0;
let stateBytes = 0;
let recoveryKind: Recovery["kind"] = "empty";

const nextRandom = seededRandom(1);
const newRoute = (at: number, bytes: number): UnknownRecord => ({
  key: `route/${at}`,
  n: (recordCount += 1),
  body: nextRandom().toString(36).padEnd(bytes, "x"),
});
const stateOf = (loaded: Recovery): State =>
  new Map(
    (loaded.kind === "empty" ? [] : loaded.records).map((record): [string, UnknownRecord] => [
      String(record["key"]),
      record,
    ]),
  );
const openLog = (): WriteAheadLog =>
  new WriteAheadLog({ folder, fileSystem: disk, snapshot: () => [...state.values()] });
const folderBytes = async (): Promise<number> => {
  const sizes = await Promise.all(
    (await readdir(folder)).map((name) => stat(join(folder, name)).catch(() => undefined)),
  );
  return sizes.reduce((sum, found) => sum + (found?.size ?? 0), 0);
};
const appendChange = async (): Promise<void> => {
  const record = newRoute(Math.floor(nextRandom() * Math.max(1, state.size)), 600);
  state.set(String(record["key"]), record);
  assert.ok((await log.append([record])).isOk);
};

const createLog = async (routes: number, bytes: number): Promise<void> => {
  folder = join(await mkdtemp(join(tmpdir(), "yewreel-")), "state");
  recordCount = 0;
  state = new Map(Array.from({ length: routes }, (_, at) => [`route/${at}`, newRoute(at, bytes)]));
  log = openLog();
  assert.equal((await log.load()).kind, "empty");
};

After(async () => {
  if (folder !== "") await rm(join(folder, ".."), { recursive: true, force: true });
  folder = "";
});

Given(
  "a log that holds a state of {int} routes of {int} bytes",
  async (routes: number, bytes: number) => {
    await createLog(routes, bytes);
    assert.ok((await log.writeVerifiedSnapshot()).isOk);
    stateBytes = await folderBytes();
    bytesWritten = 0;
  },
);
Given("an empty log", () => createLog(0, 0));

When(
  "{int} route changes are appended, some of them concurrently",
  { timeout: TIMEOUT_MS },
  async (count: number) => {
    for (let at = 0; at < count; at += 5) {
      await Promise.all([appendChange(), appendChange(), appendChange()]);
      await appendChange();
      await appendChange();
      maxFolderBytes = Math.max(at === 0 ? 0 : maxFolderBytes, await folderBytes());
    }
    await log.idle();
  },
);
When("{int} route changes are appended, one after the other", async (count: number) => {
  for (let at = 0; at < count; at += 1) await appendChange();
  await log.idle();
});

When("a byte of {string} is changed", async (name: string) => {
  const bytes = await readFile(join(folder, name));
  bytes[Math.floor(bytes.length * 0.7)] = (bytes[Math.floor(bytes.length * 0.7)] ?? 0) ^ 1;
  await writeFile(join(folder, name), bytes);
});
When("the file {string} is truncated", async (name: string) => truncate(join(folder, name), 100));
When("the file {string} is deleted", async (name: string) => rm(join(folder, name)));
When("{string} is copied to {string}", async (name: string, other: string) =>
  copyFile(join(folder, name), join(folder, other)),
);
When("{string} is replaced by that of another log", async (name: string) => {
  const other = new WriteAheadLog({
    folder: join(folder, "other"),
    fileSystem: disk,
    snapshot: () => [],
  });
  await other.writeVerifiedSnapshot();
  for (let at = 0; at < 5; at += 1) await other.append([{ key: "route/0", n: at }]);
  await copyFile(join(folder, "other", name), join(folder, name));
});
When("the end of {string} is left in a temporary file", async (name: string) =>
  writeFile(join(folder, "increment-7.tmp"), (await readFile(join(folder, name))).subarray(50)),
);
When("all files are deleted", async () => rm(folder, { recursive: true }));
When("the folder is replaced by a file", async () => {
  await rm(folder, { recursive: true });
  await writeFile(folder, "not a folder");
});

Then(
  "the folder never holds more than {int} times the state, and a change writes less than a hundredth of the state on average",
  (times: number) => {
    assert.ok(
      maxFolderBytes <= times * stateBytes,
      `the folder held up to ${maxFolderBytes} bytes, the state is ${stateBytes}`,
    );
    assert.ok(
      bytesWritten / recordCount < stateBytes / 100,
      `${bytesWritten / recordCount} bytes per change`,
    );
  },
);
Then("a start recovers exactly the state", async () => {
  const loaded = await openLog().load();
  assert.equal(loaded.kind, "verified");
  assert.deepEqual(stateOf(loaded), state);
});
Then("a start finds the log {word}", async (kind: string) => {
  log = openLog();
  const loaded = await log.load();
  recoveryKind = loaded.kind;
  assert.equal(recoveryKind, kind);
  assert.ok(loaded.kind !== "unverified" || loaded.reason !== "");
});
Then(
  "once a caught-up replica has written a verified snapshot, a start recovers exactly the state",
  async () => {
    await appendChange();
    assert.equal(
      (await openLog().load()).kind,
      recoveryKind === "verified" ? "verified" : "unverified",
    );
    assert.ok((await log.writeVerifiedSnapshot()).isOk);
    await appendChange();
    const loaded = await openLog().load();
    assert.equal(loaded.kind, "verified");
    assert.deepEqual(stateOf(loaded), state);
  },
);

let synced: string[] = [];
When("a folder is created below two missing folders, twice", async () => {
  folder = join(await mkdtemp(join(tmpdir(), "yewreel-")), "a");
  const countEntries = async (): Promise<number> =>
    (await readdir(join(folder, ".."), { recursive: true })).length;
  const watched = new NodeFileSystem(
    async (path) =>
      void synced.push(`${path.slice(folder.length - 1)} with ${await countEntries()}`),
  );
  synced = [];
  await watched.makeFolder(join(folder, "b", "c"));
  await watched.makeFolder(join(folder, "b", "c"));
});
Then(
  "each parent was synced after its child was created and before the next one, and the last parent again",
  () => {
    assert.deepEqual(synced, [" with 1", "a with 2", "a/b with 3", "a/b with 3"]);
  },
);

const FOLDER = "/data/box";
let limitedDisk = new FaultyDisk(seededRandom(1));
let appendResults: boolean[] = [];
When("a disk has room for a state and 70 increments of 1 kB, and 100 are appended", async () => {
  limitedDisk = new FaultyDisk(seededRandom(1));
  state = new Map([["big", { key: "big", n: 0, body: "x".repeat(60_000) }]]);
  log = new WriteAheadLog({
    folder: FOLDER,
    fileSystem: limitedDisk.open(),
    snapshot: () => [...state.values()],
  });
  assert.ok((await log.writeVerifiedSnapshot()).isOk);
  limitedDisk.capacityBytes = limitedDisk.usedBytes + 70 * 1_200;
  appendResults = [];
  for (let n = 0; n < 100; n += 1) {
    const record = { key: "small", n, body: "x".repeat(1_000) };
    state.set("small", record);
    appendResults.push((await log.append([record])).isOk);
    await log.idle();
  }
});
Then(
  "the increments that fit are written although no snapshot fits, except for at most {int} during a snapshot attempt, and the others are refused",
  (most: number) => {
    const fittingCount = appendResults.lastIndexOf(true) + 1;
    const refused = appendResults.slice(0, fittingCount).filter((isWritten) => !isWritten).length;
    assert.ok(
      fittingCount >= 70 && fittingCount < 100 && refused <= most,
      `${fittingCount} increments fit, ${refused} of them were refused`,
    );
  },
);
Then(
  "once there is room again the next increment is written, and a start recovers exactly the state",
  async () => {
    limitedDisk.capacityBytes *= 2;
    assert.ok((await log.append([{ key: "small", n: 99, body: "x".repeat(1_000) }])).isOk);
    limitedDisk.losePower();
    const loaded = await new WriteAheadLog({
      folder: FOLDER,
      fileSystem: limitedDisk.open(),
      snapshot: () => [],
    }).load();
    assert.equal(loaded.kind, "verified");
    assert.deepEqual(stateOf(loaded), state);
  },
);

type Fault =
  | "none"
  | "a load that reports unverified records as verified"
  | "a disk that doesn't sync folders";

interface RunResult {
  readonly verifiedStarts: number;
  /** Verified starts that lacked an acknowledged record. */
  readonly missing: readonly string[];
  /**
   * Unverified starts without a cause, and appends that failed although the disk had recovered.
   */
  readonly unexpectedFailures: readonly string[];
}

const KEY_COUNT = 60;

/**
 * Simulates several process lifetimes of one replica on one disk. The test knows the acknowledged
 * records and, in place of a quorum, supplies them to a replica that catches up.
 */
const simulateRun = async (
  seed: number,
  corruptsFiles: boolean,
  fault: Fault,
): Promise<RunResult> => {
  const random = seededRandom(seed);
  const faultyDisk = new FaultyDisk(random);
  faultyDisk.syncsFolders = fault !== "a disk that doesn't sync folders";
  const acknowledged = new Map<string, number>();
  const missing: string[] = [];
  const unexpectedFailures: string[] = [];
  let recordNumber = 0;
  let verifiedStarts = 0;
  let hasVerifiedSnapshot = false;
  for (let lifetime = 1; lifetime <= 6; lifetime += 1) {
    let memory = new Map<string, UnknownRecord>();
    const numberOf = (key: string): number => Number(memory.get(key)?.["n"] ?? 0);
    const replicaLog = new WriteAheadLog({
      folder: FOLDER,
      fileSystem: faultyDisk.open(),
      snapshot: () => [...memory.values()],
    });
    const submitted: [string, number][] = [];
    /**
     * Marks records as acknowledged. A successful append covers every record submitted before it,
     * including those whose own write failed.
     */
    const acknowledge = (result: { readonly isOk: boolean }, n: number): boolean => {
      if (result.isOk)
        submitted
          .filter(([, before]) => before <= n)
          .forEach(([key, before]) =>
            acknowledged.set(key, Math.max(before, acknowledged.get(key) ?? 0)),
          );
      return result.isOk;
    };
    const appendRecord = async (): Promise<boolean> => {
      const key = `k${Math.floor(random() * KEY_COUNT)}`;
      const n = (recordNumber += 1);
      const record = { key, n, body: "x".repeat(1_500) };
      memory.set(key, record);
      submitted.push([key, n]);
      return acknowledge(await replicaLog.append([record]), n);
    };
    faultyDisk.failureProbability = random() < 0.2 ? 0.02 : 0;
    faultyDisk.stepsLeft = random() < 0.5 ? Math.floor(random() * 1_000) : Number.POSITIVE_INFINITY;
    const loaded = await replicaLog.load();
    memory = stateOf(loaded);
    const isVerified =
      loaded.kind === "verified" ||
      (fault === "a load that reports unverified records as verified" && memory.size > 0);
    if (isVerified) {
      verifiedStarts += 1;
      for (const [key, n] of acknowledged)
        if (numberOf(key) < n)
          missing.push(
            `seed ${seed}, lifetime ${lifetime}: ${key} is at ${numberOf(key)}, ${n} was acknowledged`,
          );
      // A verified start acts on the recovered records, so they must be as durable as acknowledged
      // ones.
      for (const key of memory.keys())
        acknowledged.set(key, Math.max(numberOf(key), acknowledged.get(key) ?? 0));
    } else if (hasVerifiedSnapshot && faultyDisk.isUp && faultyDisk.failureProbability === 0)
      unexpectedFailures.push(
        `seed ${seed}, lifetime ${lifetime}: ${loaded.kind === "unverified" ? loaded.reason : loaded.kind}`,
      );
    if (!isVerified && faultyDisk.isUp) hasVerifiedSnapshot = false;
    if (!isVerified && random() < 0.8) {
      for (const [key, n] of acknowledged)
        if (numberOf(key) < n) memory.set(key, { key, n, body: "x" });
      if ((await replicaLog.writeVerifiedSnapshot()).isOk) hasVerifiedSnapshot = true;
    }
    const appends: Promise<boolean>[] = [];
    const count = random() < 0.3 ? 0 : 80;
    for (let at = 0; at < count && faultyDisk.isUp; at += 1) {
      if (random() < 0.05)
        faultyDisk.failureProbability = [0, 0.01, 0.3][Math.floor(random() * 3)] ?? 0;
      if (random() < 0.05)
        faultyDisk.capacityBytes =
          random() < 0.5 ? Number.POSITIVE_INFINITY : faultyDisk.usedBytes + random() * 50_000;
      appends.push(appendRecord());
      if (random() < 0.5) await appends.at(-1);
    }
    faultyDisk.failureProbability = 0;
    faultyDisk.capacityBytes = Number.POSITIVE_INFINITY;
    if (count > 0 && random() < 0.5) {
      await Promise.all(appends);
      if (!acknowledge(await replicaLog.append([]), recordNumber) && faultyDisk.isUp)
        unexpectedFailures.push(
          `seed ${seed}, lifetime ${lifetime}: an append failed after the disk had recovered`,
        );
    }
    const end = random();
    if (end < 0.5) faultyDisk.losePower();
    else if (end < 0.9) faultyDisk.kill();
    else faultyDisk.wipe();
    await Promise.all(appends);
    if (end >= 0.9 || (corruptsFiles && random() < 0.5 && faultyDisk.corruptByte()))
      hasVerifiedSnapshot = false;
  }
  return { verifiedStarts, missing, unexpectedFailures };
};

let results: RunResult[] = [];
const simulateRuns = async (
  count: number,
  from: number,
  corruptsFiles: boolean,
  fault: Fault,
): Promise<void> => {
  results = [];
  for (let seed = from; seed < from + count; seed += 1)
    results.push(await simulateRun(seed, corruptsFiles, fault));
};
When(
  "{int} runs are simulated with seeds from {int}",
  { timeout: TIMEOUT_MS },
  (count: number, from: number) => simulateRuns(count, from, false, "none"),
);
When(
  "{int} runs with corrupted files are simulated with seeds from {int}",
  { timeout: TIMEOUT_MS },
  (count: number, from: number) => simulateRuns(count, from, true, "none"),
);
When(
  "{int} runs with corrupted files are simulated with seeds from {int}, with a load that reports unverified records as verified",
  { timeout: TIMEOUT_MS },
  (count: number, from: number) =>
    simulateRuns(count, from, true, "a load that reports unverified records as verified"),
);
When(
  "{int} runs with corrupted files are simulated with seeds from {int}, with a disk that doesn't sync folders",
  { timeout: TIMEOUT_MS },
  (count: number, from: number) =>
    simulateRuns(count, from, true, "a disk that doesn't sync folders"),
);
Then("every verified start had all acknowledged records", () => {
  assert.ok(
    results.reduce((sum, { verifiedStarts }) => sum + verifiedStarts, 0) > results.length,
    "too few verified starts",
  );
  assert.deepEqual(
    results.flatMap(({ missing }) => missing),
    [],
  );
});
Then(
  "no start after a verified snapshot was unverified, unless reads failed or the disk was wiped, and no append failed on a recovered disk",
  () => {
    assert.deepEqual(
      results.flatMap(({ unexpectedFailures }) => unexpectedFailures),
      [],
    );
  },
);
Then("some verified start lacked an acknowledged record", () => {
  assert.ok(results.some(({ missing }) => missing.length > 0));
});
