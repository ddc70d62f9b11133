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
import { FaultyDisk, randomOf } from "../support/faulty-disk.js";

type State = Map<string, UnknownRecord>;

const LONG_MS = 120_000;

let folder = "";
let writtenBytes = 0;
const files = new NodeFileSystem();
const disk: FileSystem = {
  // eslint-disable-next-line @typescript-eslint/no-misused-spread -- its methods are fields of the instance
  ...files,
  write: (path, bytes) => {
    writtenBytes += bytes.length;
    return files.write(path, bytes);
  },
};
let state: State = new Map();
let archive: WriteAheadLog;
let changes = 0;
let mostHeldBytes = 0;
let stateBytes = 0;
let found: Recovery["kind"] = "empty";

const BODY = randomOf(1);
const route = (at: number, bytes: number): UnknownRecord => ({
  key: `route/${at}`,
  n: (changes += 1),
  body: BODY().toString(36).padEnd(bytes, "x"),
});
const replay = (loaded: Recovery): State =>
  new Map(
    (loaded.kind === "empty" ? [] : loaded.records).map((record): [string, UnknownRecord] => [
      String(record["key"]),
      record,
    ]),
  );
const opened = (): WriteAheadLog =>
  new WriteAheadLog({ folder, fileSystem: disk, snapshot: () => [...state.values()] });
const heldBytes = async (): Promise<number> => {
  const sizes = await Promise.all(
    (await readdir(folder)).map((name) => stat(join(folder, name)).catch(() => undefined)),
  );
  return sizes.reduce((sum, found) => sum + (found?.size ?? 0), 0);
};
const change = async (): Promise<void> => {
  const record = route(Math.floor(BODY() * Math.max(1, state.size)), 600);
  state.set(String(record["key"]), record);
  assert.ok((await archive.append([record])).isOk);
};

const begin = async (routes: number, bytes: number): Promise<void> => {
  folder = join(await mkdtemp(join(tmpdir(), "yewreel-")), "state");
  changes = 0;
  state = new Map(Array.from({ length: routes }, (_, at) => [`route/${at}`, route(at, bytes)]));
  archive = opened();
  assert.equal((await archive.load()).kind, "empty");
};

After(async () => {
  if (folder !== "") await rm(join(folder, ".."), { recursive: true, force: true });
  folder = "";
});

Given(
  "a folder that keeps a state of {int} routes of {int} bytes",
  async (routes: number, bytes: number) => {
    await begin(routes, bytes);
    assert.ok((await archive.writeVerifiedSnapshot()).isOk);
    stateBytes = await heldBytes();
    writtenBytes = 0;
  },
);
Given("a folder that nothing was ever kept in", () => begin(0, 0));

When(
  "{int} changes of a route are kept, some of them at once",
  { timeout: LONG_MS },
  async (count: number) => {
    for (let at = 0; at < count; at += 5) {
      await Promise.all([change(), change(), change()]);
      await change();
      await change();
      mostHeldBytes = Math.max(at === 0 ? 0 : mostHeldBytes, await heldBytes());
    }
    await archive.idle();
  },
);
When("{int} changes of a route are kept, one after the other", async (count: number) => {
  for (let at = 0; at < count; at += 1) await change();
  await archive.idle();
});

When("a byte of {string} is changed", async (name: string) => {
  const bytes = await readFile(join(folder, name));
  bytes[Math.floor(bytes.length * 0.7)] = (bytes[Math.floor(bytes.length * 0.7)] ?? 0) ^ 1;
  await writeFile(join(folder, name), bytes);
});
When("{string} is cut short", async (name: string) => truncate(join(folder, name), 100));
When("the file {string} is gone", async (name: string) => rm(join(folder, name)));
When("{string} lies under the name {string}", async (name: string, other: string) =>
  copyFile(join(folder, name), join(folder, other)),
);
When("{string} is that of another chain", async (name: string) => {
  const other = new WriteAheadLog({
    folder: join(folder, "other"),
    fileSystem: disk,
    snapshot: () => [],
  });
  await other.writeVerifiedSnapshot();
  for (let at = 0; at < 5; at += 1) await other.append([{ key: "route/0", n: at }]);
  await copyFile(join(folder, "other", name), join(folder, name));
});
When("the end of {string} lies under an aside name", async (name: string) =>
  writeFile(join(folder, "increment-7.tmp"), (await readFile(join(folder, name))).subarray(50)),
);
When("all files are gone", async () => rm(folder, { recursive: true }));
When("a file lies where the folder was", async () => {
  await rm(folder, { recursive: true });
  await writeFile(folder, "no folder");
});

Then(
  "never more than {int} times the state lies in the folder, and under a hundredth of the state was written a change",
  (times: number) => {
    assert.ok(
      mostHeldBytes <= times * stateBytes,
      `${mostHeldBytes} bytes lay there at most, the state is ${stateBytes}`,
    );
    assert.ok(
      writtenBytes / changes < stateBytes / 100,
      `${writtenBytes / changes} bytes a change`,
    );
  },
);
Then("a start finds exactly the state", async () => {
  const loaded = await opened().load();
  assert.equal(loaded.kind, "verified");
  assert.deepEqual(replay(loaded), state);
});
Then("a start finds it {word}", async (kind: string) => {
  archive = opened();
  const loaded = await archive.load();
  found = loaded.kind;
  assert.equal(found, kind);
  assert.ok(loaded.kind !== "unverified" || loaded.reason !== "");
});
Then(
  "once a caught-up copy has vouched for the whole, a start finds exactly the state",
  async () => {
    await change();
    assert.equal((await opened().load()).kind, found === "verified" ? "verified" : "unverified");
    assert.ok((await archive.writeVerifiedSnapshot()).isOk);
    await change();
    const loaded = await opened().load();
    assert.equal(loaded.kind, "verified");
    assert.deepEqual(replay(loaded), state);
  },
);

let synced: string[] = [];
When("a folder is made below two that are missing, and once more", async () => {
  folder = join(await mkdtemp(join(tmpdir(), "yewreel-")), "a");
  const tree = async (): Promise<number> =>
    (await readdir(join(folder, ".."), { recursive: true })).length;
  const watched = new NodeFileSystem(
    async (path) => void synced.push(`${path.slice(folder.length - 1)} with ${await tree()}`),
  );
  synced = [];
  await watched.makeFolder(join(folder, "b", "c"));
  await watched.makeFolder(join(folder, "b", "c"));
});
Then(
  "each parent was synced after its child was made and before the next one, and the lowest again",
  () => {
    assert.deepEqual(synced, [" with 1", "a with 2", "a/b with 3", "a/b with 3"]);
  },
);

const BOX = "/data/box";
let room = new FaultyDisk(randomOf(1));
let answers: boolean[] = [];
When("a disk has room for a state and 70 increments of 1 kB, and 100 are kept", async () => {
  room = new FaultyDisk(randomOf(1));
  state = new Map([["big", { key: "big", n: 0, body: "x".repeat(60_000) }]]);
  archive = new WriteAheadLog({
    folder: BOX,
    fileSystem: room.open(),
    snapshot: () => [...state.values()],
  });
  assert.ok((await archive.writeVerifiedSnapshot()).isOk);
  room.capacityBytes = room.heldBytes + 70 * 1_200;
  answers = [];
  for (let n = 0; n < 100; n += 1) {
    const record = { key: "small", n, body: "x".repeat(1_000) };
    state.set("small", record);
    answers.push((await archive.append([record])).isOk);
    await archive.idle();
  }
});
Then(
  "those that have room are kept though no snapshot fits, but for at most {int} beside a try of one, and the others are refused",
  (most: number) => {
    const room = answers.lastIndexOf(true) + 1;
    const refused = answers.slice(0, room).filter((isKept) => !isKept).length;
    assert.ok(
      room >= 70 && room < 100 && refused <= most,
      `${room} had room, ${refused} of them were refused`,
    );
  },
);
Then(
  "once there is room again the next one is kept, and a start finds exactly the state",
  async () => {
    room.capacityBytes *= 2;
    assert.ok((await archive.append([{ key: "small", n: 99, body: "x".repeat(1_000) }])).isOk);
    room.losePower();
    const loaded = await new WriteAheadLog({
      folder: BOX,
      fileSystem: room.open(),
      snapshot: () => [],
    }).load();
    assert.equal(loaded.kind, "verified");
    assert.deepEqual(replay(loaded), state);
  },
);

type Fault =
  "none" | "a load that falls back and calls it verified" | "a disk that forgets to sync folders";

interface Played {
  readonly wholeStarts: number;
  /** Starts that found it verified and lacked something kept. */
  readonly missing: readonly string[];
  /**
   * Starts without proof where there was no cause for doubt, and keeps refused by a disk that was
   * well again.
   */
  readonly needless: readonly string[];
}

const KEYS = 60;

/**
 * Lives of one box on one disk. What was kept is known to the test, as to a quorum, from which the
 * box catches up.
 */
const play = async (seed: number, spoils: boolean, fault: Fault): Promise<Played> => {
  const random = randomOf(seed);
  const box = new FaultyDisk(random);
  box.syncsFolders = fault !== "a disk that forgets to sync folders";
  const kept = new Map<string, number>();
  const missing: string[] = [];
  const needless: string[] = [];
  let number = 0;
  let wholeStarts = 0;
  let isVouched = false;
  for (let life = 1; life <= 6; life += 1) {
    let memory = new Map<string, UnknownRecord>();
    const numberOf = (key: string): number => Number(memory.get(key)?.["n"] ?? 0);
    const copy = new WriteAheadLog({
      folder: BOX,
      fileSystem: box.open(),
      snapshot: () => [...memory.values()],
    });
    const handed: [string, number][] = [];
    /** What is kept holds all that was handed in before it, also what the disk refused at first. */
    const holds = (result: { readonly isOk: boolean }, n: number): boolean => {
      if (result.isOk)
        handed
          .filter(([, before]) => before <= n)
          .forEach(([key, before]) => kept.set(key, Math.max(before, kept.get(key) ?? 0)));
      return result.isOk;
    };
    const offer = async (): Promise<boolean> => {
      const key = `k${Math.floor(random() * KEYS)}`;
      const n = (number += 1);
      const record = { key, n, body: "x".repeat(1_500) };
      memory.set(key, record);
      handed.push([key, n]);
      return holds(await copy.append([record]), n);
    };
    box.refusing = random() < 0.2 ? 0.02 : 0;
    box.stepsLeft = random() < 0.5 ? Math.floor(random() * 1_000) : Number.POSITIVE_INFINITY;
    const loaded = await copy.load();
    memory = replay(loaded);
    const isWhole =
      loaded.kind === "verified" ||
      (fault === "a load that falls back and calls it verified" && memory.size > 0);
    if (isWhole) {
      wholeStarts += 1;
      for (const [key, n] of kept)
        if (numberOf(key) < n)
          missing.push(`seed ${seed}, life ${life}: ${key} is at ${numberOf(key)}, ${n} was kept`);
      // Who starts goes by what was found, so it must last like what was kept.
      for (const key of memory.keys()) kept.set(key, Math.max(numberOf(key), kept.get(key) ?? 0));
    } else if (isVouched && box.isUp && box.refusing === 0)
      needless.push(
        `seed ${seed}, life ${life}: ${loaded.kind === "unverified" ? loaded.reason : loaded.kind}`,
      );
    if (!isWhole && box.isUp) isVouched = false;
    if (!isWhole && random() < 0.8) {
      for (const [key, n] of kept) if (numberOf(key) < n) memory.set(key, { key, n, body: "x" });
      if ((await copy.writeVerifiedSnapshot()).isOk) isVouched = true;
    }
    const offers: Promise<boolean>[] = [];
    const count = random() < 0.3 ? 0 : 80;
    for (let at = 0; at < count && box.isUp; at += 1) {
      if (random() < 0.05) box.refusing = [0, 0.01, 0.3][Math.floor(random() * 3)] ?? 0;
      if (random() < 0.05)
        box.capacityBytes =
          random() < 0.5 ? Number.POSITIVE_INFINITY : box.heldBytes + random() * 50_000;
      offers.push(offer());
      if (random() < 0.5) await offers.at(-1);
    }
    box.refusing = 0;
    box.capacityBytes = Number.POSITIVE_INFINITY;
    if (count > 0 && random() < 0.5) {
      await Promise.all(offers);
      if (!holds(await copy.append([]), number) && box.isUp)
        needless.push(`seed ${seed}, life ${life}: a disk that was well again kept nothing`);
    }
    const end = random();
    if (end < 0.5) box.losePower();
    else if (end < 0.9) box.kill();
    else box.wipe();
    await Promise.all(offers);
    if (end >= 0.9 || (spoils && random() < 0.5 && box.spoil())) isVouched = false;
  }
  return { wholeStarts, missing, needless };
};

let played: Played[] = [];
const playAll = async (
  count: number,
  from: number,
  spoils: boolean,
  fault: Fault,
): Promise<void> => {
  played = [];
  for (let seed = from; seed < from + count; seed += 1)
    played.push(await play(seed, spoils, fault));
};
When(
  "{int} histories are played by seed, from {int}",
  { timeout: LONG_MS },
  (count: number, from: number) => playAll(count, from, false, "none"),
);
When(
  "{int} histories with spoiled files are played by seed, from {int}",
  { timeout: LONG_MS },
  (count: number, from: number) => playAll(count, from, true, "none"),
);
When(
  "{int} histories with spoiled files are played by seed, from {int}, with a load that falls back and calls it verified",
  { timeout: LONG_MS },
  (count: number, from: number) =>
    playAll(count, from, true, "a load that falls back and calls it verified"),
);
When(
  "{int} histories with spoiled files are played by seed, from {int}, with a disk that forgets to sync folders",
  { timeout: LONG_MS },
  (count: number, from: number) =>
    playAll(count, from, true, "a disk that forgets to sync folders"),
);
Then("every start that found it verified held all that was kept", () => {
  assert.ok(
    played.reduce((sum, { wholeStarts }) => sum + wholeStarts, 0) > played.length,
    "hardly a start found it verified",
  );
  assert.deepEqual(
    played.flatMap(({ missing }) => missing),
    [],
  );
});
Then(
  "no start was unverified once the whole was vouched for, but where the disk refused to be read or was wiped",
  () => {
    assert.deepEqual(
      played.flatMap(({ needless }) => needless),
      [],
    );
  },
);
Then("some start that found it verified lacked what was kept", () => {
  assert.ok(played.some(({ missing }) => missing.length > 0));
});
