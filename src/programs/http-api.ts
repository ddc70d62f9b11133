/**
 * The HTTP server of a program's own API, with a table of routes and a uniform response for each
 * outcome.
 */
import express, { type Request, type Response } from "express";
import { createServer, type Server } from "node:http";
import { OUTCOME_NAMES, HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { splitAddress } from "../common/settings.js";
import { asRecord, type UnknownRecord } from "../common/decode.js";
import { ApiCallCounts } from "./api-call-counts.js";

/**
 * The response to a call. The outcome determines the status and, if there is no body, the text of
 * the response.
 */
export interface ApiResponse {
  readonly outcome: OutcomeName;
  readonly body?: UnknownRecord;
}

/** Reads the response from a peer's reply to a forwarded call; undefined without a reply. */
export const readApiResponse = (reply: UnknownRecord | undefined): ApiResponse | undefined => {
  const outcome = OUTCOME_NAMES.find((name) => name === reply?.["outcome"]);
  return outcome === undefined ? undefined : { outcome, body: asRecord(reply?.["body"] ?? {}) };
};

/** A call as passed to the handler of its route. */
export interface ApiRequest {
  /** The decoded segments of the path. */
  readonly segments: readonly string[];
  readonly body: string;
}

/** A route. In `path`, "*" matches exactly one segment. */
export interface ApiRoute {
  readonly method: string;
  readonly path: string;
  readonly handle: (request: ApiRequest) => Promise<ApiResponse>;
}

/** The value of the `Retry-After` header in seconds, for outcomes that have one. */
export const RETRY_AFTER_S = 0.25;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

const matches = (route: ApiRoute, method: string, segments: readonly string[]): boolean => {
  const pattern = route.path.split("/").slice(1);
  return (
    route.method === method &&
    pattern.length === segments.length &&
    pattern.every((segment, index) => segment === "*" || segment === segments[index])
  );
};

/** Decodes a segment; one with an invalid encoding is returned unchanged. */
const decodeSegment = (segment: string): string => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
};

/** Calls the first route that matches method and path; `unknownCall` if there is none. */
const dispatch = async (
  { routes, calls }: Api,
  method: string,
  path: string,
  body: string,
): Promise<ApiResponse> => {
  const segments = path.split("/").slice(1).map(decodeSegment);
  const route = routes.find((candidate) => matches(candidate, method, segments));
  if (!route) {
    calls.recordUnknown(method, path);
    return { outcome: "unknownCall" };
  }
  const response = await route.handle({ segments, body });
  calls.record(route.path, response.outcome);
  return response;
};

/** Reads the complete body; undefined if it is truncated or too large. */
const readBody = async (request: Request): Promise<string | undefined> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      if (!Buffer.isBuffer(chunk)) continue;
      size += chunk.length;
      if (size > MAX_BODY_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    // The client disconnected, so nobody would read a more detailed response.
    return undefined;
  }
  return Buffer.concat(chunks).toString("utf8");
};

const send = (response: Response, result: ApiResponse): void => {
  const outcome = HTTP_OUTCOMES[result.outcome];
  if (outcome.retryAfter) response.setHeader("Retry-After", String(RETRY_AFTER_S));
  if (outcome.closesConnection) response.setHeader("Connection", "close");
  const body = JSON.stringify(
    result.body ?? (outcome.problem === "" ? {} : { problem: outcome.problem }),
  );
  response.writeHead(outcome.status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
};

/** The routes of an API, and the counts of its calls. */
interface Api {
  readonly routes: readonly ApiRoute[];
  readonly calls: ApiCallCounts;
}

/**
 * Serves the routes.
 *
 * @param address - `ip:port` to listen on
 * @param calls - counts the calls by route and outcome
 * @returns the listening server; rejects with the system error if it can't listen
 */
export const serveApi = (
  address: string,
  routes: readonly ApiRoute[],
  calls = new ApiCallCounts(),
): Promise<Server> => {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.use(async (request: Request, response: Response) => {
    const body = await readBody(request);
    const result: ApiResponse =
      body === undefined
        ? { outcome: "unreadable" }
        : await dispatch({ routes, calls }, request.method, request.path, body);
    send(response, result);
  });
  const server = createServer(app);
  const { ip, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, () => resolve(server));
  });
};
