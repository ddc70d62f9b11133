import express, { type Request, type Response } from "express";
import { createServer, type Server } from "node:http";
import { OUTCOME_NAMES, HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { splitAddress } from "../common/settings.js";
import { asRecord, type UnknownRecord } from "../common/decode.js";

export interface ApiResponse {
  readonly outcome: OutcomeName;
  readonly body?: UnknownRecord;
}

/** The verdict in the reply of a colleague that an order was passed on to; undefined where none came. */
export const readApiResponse = (reply: UnknownRecord | undefined): ApiResponse | undefined => {
  const outcome = OUTCOME_NAMES.find((name) => name === reply?.["outcome"]);
  return outcome === undefined ? undefined : { outcome, body: asRecord(reply?.["body"] ?? {}) };
};

export interface ApiRequest {
  readonly segments: readonly string[];
  readonly body: string;
}

/** A row of the dispatch: "*" stands for any one segment. */
export interface ApiRoute {
  readonly method: string;
  readonly path: string;
  readonly act: (call: ApiRequest) => Promise<ApiResponse>;
}

export const RETRY_AFTER_S = 0.25;

const matches = (entry: ApiRoute, method: string, segments: readonly string[]): boolean => {
  const wanted = entry.path.split("/").slice(1);
  return (
    entry.method === method &&
    wanted.length === segments.length &&
    wanted.every((part, at) => part === "*" || part === segments[at])
  );
};

/** The one dispatch on method and path segments, for workers' and operators' calls. */
export const dispatch = async (
  entries: readonly ApiRoute[],
  method: string,
  path: string,
  body: string,
): Promise<ApiResponse> => {
  const segments = path.split("/").slice(1).map(decodeSegment);
  const entry = entries.find((candidate) => matches(candidate, method, segments));
  return entry ? entry.act({ segments, body }) : { outcome: "unknownCall" };
};

const decodeSegment = (segment: string): string => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
};

const MAX_CALL_BYTES = 16 * 1024 * 1024;

/** The whole body, or undefined if it breaks off or is too large. */
const readBody = async (request: Request): Promise<string | undefined> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      if (!Buffer.isBuffer(chunk)) continue;
      size += chunk.length;
      if (size > MAX_CALL_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString("utf8");
};

const answer = (response: Response, result: ApiResponse): void => {
  const outcome = HTTP_OUTCOMES[result.outcome];
  if (outcome.retryAfter) response.setHeader("Retry-After", String(RETRY_AFTER_S));
  if (outcome.closes) response.setHeader("Connection", "close");
  const body = JSON.stringify(
    result.body ?? (outcome.problem === "" ? {} : { problem: outcome.problem }),
  );
  response.writeHead(outcome.status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
};

export const serveApi = (address: string, entries: readonly ApiRoute[]): Promise<Server> => {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.use(async (request: Request, response: Response) => {
    const body = await readBody(request);
    if (body === undefined) return answer(response, { outcome: "unreadable" });
    answer(response, await dispatch(entries, request.method, request.path, body));
  });
  const server = createServer(app);
  const { ip, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, () => resolve(server));
  });
};
