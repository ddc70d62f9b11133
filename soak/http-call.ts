/** HTTP calls to the programs under test. */
import { request, type IncomingHttpHeaders } from "node:http";

/** The response to a call. */
export interface ApiReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** Sends one request. Resolves to undefined if no complete response arrives within the timeout. */
export const callApi = (
  address: string,
  method: string,
  path: string,
  body: string,
  timeoutMs: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<ApiReply | undefined> =>
  new Promise((resolve) => {
    const call = request(
      `http://${address}${path}`,
      {
        method,
        agent: false,
        headers: { ...headers, "Content-Length": Buffer.byteLength(body) },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => resolve(undefined));
        response.on("close", () =>
          resolve(
            response.complete
              ? {
                  status: response.statusCode ?? 0,
                  headers: response.headers,
                  body: Buffer.concat(chunks).toString(),
                }
              : undefined,
          ),
        );
      },
    );
    const timer = setTimeout(() => call.destroy(), timeoutMs);
    call.on("error", () => resolve(undefined));
    call.on("close", () => clearTimeout(timer));
    call.end(body);
  });
