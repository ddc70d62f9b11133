/** The route that lets operators purge cached objects. */
import { err, ok, type Result } from "true-myth/result";
import { isRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { badRequest } from "./admin-api.js";

/** The target of a purge: a host and a path, or a label. Unused fields are empty. */
export interface PurgeTarget {
  readonly host: string;
  readonly path: string;
  readonly label: string;
}

const readRecord = (body: string): Result<UnknownRecord, string> => {
  try {
    const value = parseJson(body);
    return isRecord(value) ? ok(value) : err("the purge must be a JSON object");
  } catch {
    return err("the purge is not valid JSON");
  }
};

const readTarget = ({ host, path, label }: UnknownRecord): Result<PurgeTarget, string> => {
  if (label !== undefined && host === undefined && path === undefined)
    return typeof label === "string" && label !== ""
      ? ok({ host: "", path: "", label })
      : err("label must be a non-empty string");
  if (label !== undefined) return err("a purge takes either a host and a path, or a label");
  if (typeof host !== "string" || host === "") return err("host must be a non-empty string");
  if (typeof path !== "string" || !path.startsWith("/")) return err("path must start with a slash");
  return ok({ host: host.toLowerCase(), path, label: "" });
};

/**
 * The purge route.
 *
 * @param purge - persists and distributes a purge; undefined if the deployment caches no objects
 * @param confirmQuorum - resolves to true once a majority asked after the call has answered
 */
export const purgeRoutes = (
  purge: ((target: PurgeTarget) => Promise<boolean>) | undefined,
  confirmQuorum: () => Promise<boolean>,
): readonly ApiRoute[] => {
  const handle = async (request: ApiRequest): Promise<ApiResponse> => {
    const target = readRecord(request.body).andThen(readTarget);
    if (target.isErr) return badRequest(target.error);
    if (!purge) return { outcome: "unknownCall" };
    const [isReplicated, isConfirmed] = await Promise.all([purge(target.value), confirmQuorum()]);
    return { outcome: isReplicated && isConfirmed ? "taken" : "noQuorum" };
  };
  return [{ method: "POST", path: "/purge", handle }];
};
