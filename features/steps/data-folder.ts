import assert from "node:assert/strict";
import { access, mkdir, mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import type { Logger, LogFields } from "../../src/common/logger.js";
import { takeOverFormerFolder, type Role } from "../../src/storage/data-folder.js";
import {
  NodeFileSystem,
  type FileSystem,
  type FolderFileSystem,
} from "../../src/storage/file-system.js";
import type { Recovery } from "../../src/storage/recovery.js";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { FaultyDisk, randomOf } from "../support/faulty-disk.js";

const RECORDS = [
  { key: "route/a", version: 3 },
  { key: "route/b", version: 1 },
];
const STEPS_AT_MOST = 40;

let parent = "";
let logged: { readonly level: string; readonly message: string; readonly fields: LogFields }[] = [];
let calls = 0;
let recoveries: Recovery[] = [];
let leftBehind: (readonly string[])[] = [];
let takeOversAgain = 0;

const disk = new NodeFileSystem();
const counted = <T>(call: (path: string) => Promise<T>) => {
  return (path: string): Promise<T> => {
    calls += 1;
    return call(path);
  };
};
const files: FolderFileSystem = {
  list: counted(disk.list),
  syncFolder: counted(disk.syncFolder),
  renameFolder: disk.renameFolder,
};
const note =
  (level: string) =>
  (message: string, fields: LogFields = {}): void => {
    logged.push({ level, message, fields });
  };
const logger: Logger = { info: note("info"), warn: note("warn"), debug: note("debug") };

const takeOver = (role: Role, name: string, fileSystem = files): Promise<boolean> =>
  takeOverFormerFolder({
    role,
    folder: name === "" ? "" : join(parent, name),
    fileSystem,
    logger,
  });

/** Writes a verified state into a folder, on a disk of the test's own or a real one. */
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
  logged = [];
  calls = 0;
  recoveries = [];
  leftBehind = [];
  takeOversAgain = 0;
});
After(() => rm(parent, { recursive: true, force: true }));

Given(
  "a controller's state lies in the folder {string}, with its workers and keys",
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
Given("a file lies in the folder {string}", async (name: string) => {
  await mkdir(join(parent, name));
  await writeFile(join(parent, name, "file"), "former");
});

When("the controller looks for the folder of its earlier name", async () => {
  await takeOver("controller", "controller");
});
When(
  /^the (gateway|controller|cache) of the folder "(.*)" looks for the folder of its earlier name$/,
  async (role: Role, name: string) => {
    await takeOver(role, name);
  },
);
When("a controller without a data folder looks for the folder of its earlier name", async () => {
  assert.equal(await takeOver("controller", ""), false);
});

const refuse = (): Promise<never> => Promise.reject(new Error("EBUSY: a mount point"));
const refusing = (call: string): FolderFileSystem => {
  const refused = call === "list the own folder" ? "controller" : "signalbox";
  return call === "rename"
    ? { ...files, renameFolder: refuse }
    : { ...files, list: (path) => (basename(path) === refused ? refuse() : files.list(path)) };
};
When(
  /^the controller looks for the folder of its earlier name, and the file system refuses to (.*)$/,
  async (call: string) => {
    assert.equal(await takeOver("controller", "controller", refusing(call)), false);
  },
);

Then(
  "the whole state lies in {string}, and {string} is gone",
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
  "that file lies in the folder {string}, and {string} is gone",
  async (own: string, former: string) => {
    assert.equal(await readFile(join(parent, own, "file"), "utf8"), "former");
    assert.ok(await isMissing(former));
  },
);
Then("that file still lies in the folder {string}", async (name: string) => {
  assert.equal(await readFile(join(parent, name, "file"), "utf8"), "former");
});
Then("the folder {string} is still missing", async (name: string) => {
  assert.ok(await isMissing(name));
});
Then("the disk is asked nothing", () => {
  assert.equal(calls, 0);
});
Then("the log says nothing", () => {
  assert.deepEqual(logged, []);
});
Then("the log says that the folder was taken over", () => {
  assert.deepEqual(
    logged.map(({ level, message }) => [level, message]),
    [["info", "data folder of the earlier role name taken over"]],
  );
});
Then("the log says that the folder was not taken over, with the cause", () => {
  assert.deepEqual(
    logged.map(({ level, message, fields }) => [level, message, fields["error"]]),
    [["warn", "data folder of the earlier role name not taken over", "EBUSY: a mount point"]],
  );
});
Then("the controller starts with a folder of its own", async () => {
  const folder = join(parent, "controller");
  const log = new WriteAheadLog({ folder, fileSystem: disk, snapshot: () => RECORDS });
  assert.deepEqual(await log.load(), { kind: "empty" });
  assert.ok((await log.writeVerifiedSnapshot()).isOk);
  assert.ok((await readdir(join(parent, "signalbox"))).length > 0);
});

const OWN = "/data/controller";
const FORMER = "/data/signalbox";
const takeOverOn = (fileSystem: FolderFileSystem): Promise<boolean> =>
  takeOverFormerFolder({ role: "controller", folder: OWN, fileSystem, logger });
const withState = async (seed: number): Promise<FaultyDisk> => {
  const faulty = new FaultyDisk(randomOf(seed));
  await writeState(FORMER, faulty.open());
  await writeState(`${FORMER}/workers`, faulty.open());
  return faulty;
};
const startAgain = async (faulty: FaultyDisk): Promise<void> => {
  const opened = faulty.open();
  if (await takeOverOn(opened)) takeOversAgain += 1;
  for (const folder of [OWN, `${OWN}/workers`])
    recoveries.push(
      await new WriteAheadLog({ folder, fileSystem: opened, snapshot: () => [] }).load(),
    );
  leftBehind.push(await opened.list(FORMER));
};

When(
  "a take-over is cut off at each of its steps, by a kill and by a loss of power, in {int} histories",
  async (histories: number) => {
    for (let seed = 1; seed <= histories; seed += 1)
      for (const end of ["kill", "losePower"] as const)
        for (let steps = 1, isDone = false; !isDone && steps <= STEPS_AT_MOST; steps += 1) {
          const faulty = await withState(seed);
          faulty.stepsLeft = steps;
          isDone = await takeOverOn(faulty.open());
          faulty[end]();
          const before = takeOversAgain;
          await startAgain(faulty);
          if (isDone) assert.equal(takeOversAgain, before, "a take-over that was done was lost");
        }
  },
);
When(
  "power is lost just after a take-over, in {int} histories with a disk that forgets to sync folders",
  async (histories: number) => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const faulty = await withState(seed);
      faulty.syncsFolders = false;
      assert.ok(await takeOverOn(faulty.open()));
      faulty.losePower();
      leftBehind.push(await faulty.open().list(FORMER));
    }
  },
);
Then("each next start reads the whole state, under the own name alone", () => {
  assert.ok(recoveries.length > 0);
  recoveries.forEach((found) => {
    assert.deepEqual(found, { kind: "verified", records: RECORDS });
  });
  leftBehind.forEach((names) => {
    assert.deepEqual(names, []);
  });
});
Then("some of them read it after another take-over", () => {
  assert.ok(takeOversAgain > 0);
  assert.ok(takeOversAgain < leftBehind.length);
});
Then("some of them find the state under the earlier name again", () => {
  assert.ok(leftBehind.some((names) => names.length > 0));
});
