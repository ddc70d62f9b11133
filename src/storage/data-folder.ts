/**
 * Takes over the data folder that a role used under its earlier name, so that a fleet whose
 * platform names each data folder after its role keeps its state across the change of the roles'
 * names.
 */
import { basename, dirname, join } from "node:path";
import { messageOf } from "../common/errors.js";
import type { Logger } from "../common/logger.js";
import type { FolderFileSystem } from "./file-system.js";

/** The roles that may own a data folder. */
export type Role = "gateway" | "controller" | "cache";

/** What each role was called before December 2026. */
const FORMER_NAMES: Readonly<Record<Role, string>> = {
  gateway: "pointsman",
  controller: "signalbox",
  cache: "depot",
};

/** What a take-over works on. */
export interface TakeOverOptions {
  readonly role: Role;
  /** The role's own data folder; empty on a machine without a disk. */
  readonly folder: string;
  readonly fileSystem: FolderFileSystem;
  readonly logger: Logger;
}

/** The sibling whose name has the role's earlier name where the own one has the role's name. */
const findFormerFolder = (role: Role, folder: string): string | undefined => {
  const name = basename(folder);
  return name.includes(role)
    ? join(dirname(folder), name.replace(role, FORMER_NAMES[role]))
    : undefined;
};

/**
 * Renames the folder of the role's earlier name into the place of the own one, if the own one is
 * missing or empty and the other holds anything. To be awaited before anything in the folder is
 * read. A folder whose name doesn't contain the role's name has no earlier name, so nothing is
 * done. A failure is logged, and the program goes on with its own folder.
 *
 * Invariant: the state is whole under exactly one of the two names at every moment, since one
 * atomic rename moves it. A crash before the parent is synced leaves it under either; where it is
 * the earlier one, the next start renames it again.
 *
 * @returns whether a folder was taken over
 */
export const takeOverFormerFolder = async ({
  role,
  folder,
  fileSystem,
  logger,
}: TakeOverOptions): Promise<boolean> => {
  const former = folder === "" ? undefined : findFormerFolder(role, folder);
  if (former === undefined) return false;
  try {
    if ((await fileSystem.list(folder)).length > 0) return false;
    if ((await fileSystem.list(former)).length === 0) return false;
    await fileSystem.renameFolder(former, folder);
    await fileSystem.syncFolder(dirname(folder));
  } catch (error) {
    logger.warn("data folder of the earlier role name not taken over", {
      role,
      folder,
      former,
      error: messageOf(error),
    });
    return false;
  }
  logger.info("data folder of the earlier role name taken over", { role, folder, former });
  return true;
};
