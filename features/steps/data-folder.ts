import assert from "node:assert/strict";
import { access, mkdir, mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import type { Logger, LogFields } from "../../src/common/logger.js";
import { migrateDataFolder, type Role } from "../../src/storage/data-folder.js";
import {
  NodeFileSystem,
  type FileSystem,
  type FolderFileSystem,
} from "../../src/storage/file-system.js";
import type { Recovery } from "../../src/storage/recovery.js";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { FaultyDisk, seededRandom } from "../support/faulty-disk.js";

const RECORDS = [
  { key: "route/a", version: 3 },
  { key: "route/b", version: 1 },
];
const MAX_STEPS = 40;

let parent = "";
let logEntries: { readonly level: string; readonly message: string; readonly fields: LogFields }[] =
  [];
let callCount = 0;
let recoveries: Recovery[] = [];
let formerFolderEntries: (readonly string[])[] = [];
let repeatedMigrations = 0;

const disk = new NodeFileSystem();
const countCalls = <T>(call: (path: string) => Promise<T>) => {
  return (path: string): Promise<T> => {
    callCount += 1;
    return call(path);
  };
};
const files: FolderFileSystem = {
  list: countCalls(disk.list),
  syncFolder: countCalls(disk.syncFolder),
  renameFolder: disk.renameFolder,
};
const logAt =
  (level: string) =>
  (message: string, fields: LogFields = {}): void => {
    logEntries.push({ level, message, fields });
  };
const logger: Logger = { info: logAt("info"), warn: logAt("warn"), debug: logAt("debug") };

const migrate = (role: Role, name: string, fileSystem = files): Promise<boolean> =>
  migrateDataFolder({
    role,
    folder: name === "" ? "" : join(parent, name),
    fileSystem,
    logger,
  });

/** Writes a verified state into a folder, by default on the real disk. */
const writeState = async (folder: string, fileSystem: FileSystem = disk): Promise<void> => {
  const log = new WriteAheadLog({ folder, fileSystem, snapshot: () => RECORDS.slice(0, 1) });
  assert.ok((await log.writeVerifiedSnapshot()).isOk);
  assert.ok((await log.append(RECORDS.slice(1))).isOk);
  await log.idle();
};
const isMissing = async (name: string): Promise<boolean> =>
  access(join(parent, name)).then(
    () => false,
    () => true,
  );

Before(async () => {
  parent = await mkdtemp(join(tmpdir(), "yewreel-"));
  logEntries = [];
  callCount = 0;
  recoveries = [];
  formerFolderEntries = [];
  repeatedMigrations = 0;
});
After(() => rm(parent, { recursive: true, force: true }));

Given(
  "a controller's state is in the folder {string}, with its workers and keys",
  async (name: string) => {
    await writeState(join(parent, name));
    await writeState(join(parent, name, "workers"));
    await mkdir(join(parent, name, "keys"));
    await writeFile(join(parent, name, "keys", "log-1.bin"), "keys");
  },
);
Given("the folder {string} is missing", async (name: string) => {
  assert.ok(await isMissing(name));
});
Given("the folder {string} is empty", (name: string) => mkdir(join(parent, name)));
Given("the folder {string} is not empty", async (name: string) => {
  await mkdir(join(parent, name));
  await writeFile(join(parent, name, "own"), "own");
});
Given("a file is in the folder {string}", async (name: string) => {
  await mkdir(join(parent, name));
  await writeFile(join(parent, name, "file"), "former");
});

When("the controller migrates the folder of its former name", async () => {
  await migrate("controller", "controller");
});
When(
  /^the (gateway|controller|cache) with the folder "(.*)" migrates the folder of its former name$/,
  async (role: Role, name: string) => {
    await migrate(role, name);
  },
);
When("a controller without a data folder migrates the folder of its former name", async () => {
  assert.equal(await migrate("controller", ""), false);
});

const reject = (): Promise<never> => Promise.reject(new Error("EBUSY: a mount point"));
const failingFileSystem = (call: string): FolderFileSystem => {
  const failingFolder = call === "list the current folder" ? "controller" : "signalbox";
  return call === "rename"
    ? { ...files, renameFolder: reject }
    : {
        ...files,
        list: (path) => (basename(path) === failingFolder ? reject() : files.list(path)),
      };
};
When(
  /^the controller migrates the folder of its former name, and the file system fails to (.*)$/,
  async (call: string) => {
    assert.equal(await migrate("controller", "controller", failingFileSystem(call)), false);
  },
);

Then(
  "the whole state is in {string}, and {string} no longer exists",
  async (own: string, former: string) => {
    for (const folder of [join(parent, own), join(parent, own, "workers")]) {
      const log = new WriteAheadLog({ folder, fileSystem: disk, snapshot: () => [] });
      assert.deepEqual(await log.load(), { kind: "verified", records: RECORDS });
    }
    assert.equal(await readFile(join(parent, own, "keys", "log-1.bin"), "utf8"), "keys");
    assert.ok(await isMissing(former));
  },
);
Then(
  "that file is in the folder {string}, and {string} no longer exists",
  async (own: string, former: string) => {
    assert.equal(await readFile(join(parent, own, "file"), "utf8"), "former");
    assert.ok(await isMissing(former));
  },
);
Then("that file is still in the folder {string}", async (name: string) => {
  assert.equal(await readFile(join(parent, name, "file"), "utf8"), "former");
});
Then("the folder {string} is still missing", async (name: string) => {
  assert.ok(await isMissing(name));
});
Then("the file system is not accessed", () => {
  assert.equal(callCount, 0);
});
Then("the log is empty", () => {
  assert.deepEqual(logEntries, []);
});
Then("the log reports that the folder was migrated", () => {
  assert.deepEqual(
    logEntries.map(({ level, message }) => [level, message]),
    [["info", "data folder of the earlier role name taken over"]],
  );
});
Then("the log reports that the folder was not migrated, with the cause", () => {
  assert.deepEqual(
    logEntries.map(({ level, message, fields }) => [level, message, fields["error"]]),
    [["warn", "data folder of the earlier role name not taken over", "EBUSY: a mount point"]],
  );
});
Then("the controller starts with a new folder", async () => {
  const folder = join(parent, "controller");
  const log = new WriteAheadLog({ folder, fileSystem: disk, snapshot: () => RECORDS });
  assert.deepEqual(await log.load(), { kind: "empty" });
  assert.ok((await log.writeVerifiedSnapshot()).isOk);
  assert.ok((await readdir(join(parent, "signalbox"))).length > 0);
});

const CURRENT = "/data/controller";
const FORMER = "/data/signalbox";
const migrateOn = (fileSystem: FolderFileSystem): Promise<boolean> =>
  migrateDataFolder({ role: "controller", folder: CURRENT, fileSystem, logger });
const diskWithState = async (seed: number): Promise<FaultyDisk> => {
  const faulty = new FaultyDisk(seededRandom(seed));
  await writeState(FORMER, faulty.open());
  await writeState(`${FORMER}/workers`, faulty.open());
  return faulty;
};
const restart = async (faulty: FaultyDisk): Promise<void> => {
  const opened = faulty.open();
  if (await migrateOn(opened)) repeatedMigrations += 1;
  for (const folder of [CURRENT, `${CURRENT}/workers`])
    recoveries.push(
      await new WriteAheadLog({ folder, fileSystem: opened, snapshot: () => [] }).load(),
    );
  formerFolderEntries.push(await opened.list(FORMER));
};

When(
  "a migration is interrupted at each of its steps, by a kill and by a power loss, in {int} simulated runs",
  async (runs: number) => {
    for (let seed = 1; seed <= runs; seed += 1)
      for (const end of ["kill", "losePower"] as const)
        for (let steps = 1, isDone = false; !isDone && steps <= MAX_STEPS; steps += 1) {
          const faulty = await diskWithState(seed);
          faulty.stepsLeft = steps;
          isDone = await migrateOn(faulty.open());
          faulty[end]();
          const before = repeatedMigrations;
          await restart(faulty);
          if (isDone) assert.equal(repeatedMigrations, before, "a completed migration was lost");
        }
  },
);
When(
  "power is lost right after a migration, in {int} simulated runs with a disk that doesn't sync folders",
  async (runs: number) => {
    for (let seed = 1; seed <= runs; seed += 1) {
      const faulty = await diskWithState(seed);
      faulty.syncsFolders = false;
      assert.ok(await migrateOn(faulty.open()));
      faulty.losePower();
      formerFolderEntries.push(await faulty.open().list(FORMER));
    }
  },
);
Then("each next start reads the whole state, from the folder of the current name only", () => {
  assert.ok(recoveries.length > 0);
  recoveries.forEach((found) => {
    assert.deepEqual(found, { kind: "verified", records: RECORDS });
  });
  formerFolderEntries.forEach((names) => {
    assert.deepEqual(names, []);
  });
});
Then("some of them read it after repeating the migration", () => {
  assert.ok(repeatedMigrations > 0);
  assert.ok(repeatedMigrations < formerFolderEntries.length);
});
Then("some of them find the state under the former name again", () => {
  assert.ok(formerFolderEntries.some((names) => names.length > 0));
});
