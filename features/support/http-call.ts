/** HTTP calls to the programs that scenarios run. */
import { request as httpRequest } from "node:http";

/** Response to a call; status 0 if there is no complete one. */
export interface Reply {
  readonly status: number;
  readonly body: string;
}

/** Sends one request on a connection of its own. */
export const callHttp = (
  address: string,
  method: string,
  path: string,
  body = "",
  headers: Readonly<Record<string, string>> = {},
): Promise<Reply> =>
  new Promise((resolve) => {
    const fail = (): void => resolve({ status: 0, body: "" });
    const request = httpRequest(
      `http://${address}${path}`,
      { method, agent: false, headers: { ...headers, "Content-Length": Buffer.byteLength(body) } },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() }),
        );
        response.on("error", fail);
      },
    );
    request.on("error", fail);
    request.end(body);
  });
