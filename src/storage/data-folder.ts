/**
 * Migrates the data folder that a role used under its earlier name. Platforms that name data
 * folders after roles thereby keep their state across the renaming of the roles.
 */
import { basename, dirname, join } from "node:path";
import { messageOf } from "../common/errors.js";
import type { Logger } from "../common/logger.js";
import type { FolderFileSystem } from "./file-system.js";

/** The roles that have a data folder. */
export type Role = "gateway" | "controller" | "cache";

/** The name of each role before December 2026. */
const FORMER_ROLE_NAMES: Readonly<Record<Role, string>> = {
  gateway: "pointsman",
  controller: "signalbox",
  cache: "depot",
};

/** Options of {@link migrateDataFolder}. */
export interface DataFolderMigrationOptions {
  readonly role: Role;
  /** The data folder that the role is configured to use; empty on a machine without a disk. */
  readonly folder: string;
  readonly fileSystem: FolderFileSystem;
  readonly logger: Logger;
}

/**
 * Returns the sibling folder named after the role's earlier name, or undefined if the folder's name
 * does not contain the role.
 */
const findFormerFolder = (role: Role, folder: string): string | undefined => {
  const name = basename(folder);
  return name.includes(role)
    ? join(dirname(folder), name.replace(role, FORMER_ROLE_NAMES[role]))
    : undefined;
};

/**
 * Renames the folder of the role's earlier name to the configured folder if the configured one is
 * missing or empty and the earlier one is not empty. Must complete before anything in the folder is
 * read. Does nothing if the folder's name does not contain the role's name, since no earlier name
 * can be derived from it. On failure a warning is logged and the process continues with its
 * configured folder.
 *
 * Invariant: the complete state is under exactly one of the two names at any time, since it is
 * moved by a single atomic rename. After a crash before the parent is synced it may be under either
 * name; if it is under the earlier one, the next start renames it again.
 *
 * @returns whether the earlier folder was renamed
 */
export const migrateDataFolder = async ({
  role,
  folder,
  fileSystem,
  logger,
}: DataFolderMigrationOptions): Promise<boolean> => {
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
