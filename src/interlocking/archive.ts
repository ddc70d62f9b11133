import { createHash } from "node:crypto";
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "true-myth/result";
import { list, asRec, whole } from "../trackbed/shape.js";
import { packValue, unpackValue } from "../trackbed/wire.js";
import { Together } from "./together.js";
import { packRegister, readRegister, type Register } from "./register.js";

export type ArchiveMishap = { readonly kind: "disk"; readonly sentence: string };

const NAME = /^plan-(\d+)\.bin$/;
const SUM_BYTES = 32;

const sumOf = (body: Uint8Array): Buffer => createHash("sha256").update(body).digest();

/**
 * The local versions of the merged state: one file each, written aside, synced, renamed, and the folder synced.
 * Invariant: `lastKept` only rises, and a file named plan-N is complete, since its name appears after its sync.
 */
export class Archive {
  private lastKept = 0;
  private readonly writes: Together<undefined, Result<void, ArchiveMishap>>;

  /** An empty folder name means a machine without a disk: then memory is all there is. */
  constructor(private readonly folder: string, private readonly snapshot: () => readonly Register[]) {
    this.writes = new Together(() => this.write());
  }

  get hasDisk(): boolean {
    return this.folder !== "";
  }

  /** The newest valid version, or undefined where there is none. */
  readonly load = async (): Promise<readonly Register[] | undefined> => {
    if (!this.hasDisk) return undefined;
    try {
      await mkdir(this.folder, { recursive: true });
      const found = (await readdir(this.folder))
        .map((name) => Number(NAME.exec(name)?.[1] ?? 0))
        .filter((number) => number > 0)
        .sort((a, b) => b - a);
      for (const number of found) {
        const registers = await this.read(join(this.folder, `plan-${number}.bin`));
        this.lastKept = Math.max(this.lastKept, number);
        if (registers) return registers;
      }
    } catch {
      // A folder that cannot be read holds nothing for us: the state then comes from a majority.
    }
    return undefined;
  };

  /** Resolves once a version that holds everything merged before this call is safe; calls made together share it. */
  readonly keep = (): Promise<Result<void, ArchiveMishap>> => {
    if (!this.hasDisk) return Promise.resolve(ok(undefined));
    return this.writes.add(undefined);
  };

  private readonly write = async (): Promise<Result<void, ArchiveMishap>> => {
    const number = this.lastKept + 1;
    this.lastKept = number;
    const aside = join(this.folder, "aside.tmp");
    try {
      const body = packValue({ number, registers: this.snapshot().map(packRegister) });
      const file = await open(aside, "w");
      try {
        await file.writeFile(Buffer.concat([sumOf(body), body]));
        await file.datasync();
      } finally {
        await file.close();
      }
      await rename(aside, join(this.folder, `plan-${number}.bin`));
      const folder = await open(this.folder, "r");
      try {
        await folder.sync();
      } finally {
        await folder.close();
      }
      await rm(join(this.folder, `plan-${number - 2}.bin`), { force: true });
      return ok(undefined);
    } catch (mishap) {
      return err({ kind: "disk", sentence: mishap instanceof Error ? mishap.message : "the disk refused" });
    }
  };

  private readonly read = async (path: string): Promise<readonly Register[] | undefined> => {
    try {
      const bytes = await readFile(path);
      const body = bytes.subarray(SUM_BYTES);
      if (!sumOf(body).equals(bytes.subarray(0, SUM_BYTES))) return undefined;
      const rec = asRec(unpackValue(body));
      whole(rec, "number");
      return list(rec, "registers", readRegister);
    } catch {
      return undefined;
    }
  };
}
