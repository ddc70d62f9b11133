/** HTTP client of the `ctl` commands: sends a call to the named controllers in turn. */
import { request } from "node:http";
import { isRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { InvalidInputError, RejectedError, UnreachableError } from "./errors.js";
import { formatValue } from "./json-values.js";

/** One HTTP call of the controllers' admin API. */
export interface ControllerCall {
  readonly method: "GET" | "POST";
  /** With its leading slash. */
  readonly path: string;
  /** JSON; empty for a GET. */
  readonly body?: string;
}

interface RawResponse {
  readonly status: number;
  readonly location: string | undefined;
  readonly body: UnknownRecord;
}

const HTTP_OK = 200;
const HTTP_TEMPORARY_REDIRECT = 307;
/** From this status on the failure is the controller's, and another controller may succeed. */
const HTTP_SERVER_ERROR = 500;
const TIMEOUT_MS = 5_000;
const MAX_REDIRECTS = 3;

/**
 * Parses a response body. One that is not a JSON object is treated as empty, so that the status
 * alone decides.
 */
const parseBody = (text: string): UnknownRecord => {
  try {
    const value = parseJson(text);
    return isRecord(value) ? value : {};
  } catch {
    return {};
  }
};

const sendTo = (url: URL, { method, body = "" }: ControllerCall): Promise<RawResponse> =>
  new Promise((resolve, reject) => {
    const address = url.host;
    const outgoing = request(
      url,
      {
        method,
        timeout: TIMEOUT_MS,
        headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", (cause) =>
          reject(
            new UnreachableError(
              `${address} closed the connection before the response was complete`,
              { cause },
            ),
          ),
        );
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            location: response.headers.location,
            body: parseBody(Buffer.concat(chunks).toString()),
          }),
        );
      },
    );
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.on("error", (cause) =>
      reject(new UnreachableError(`${address} cannot be reached`, { cause })),
    );
    outgoing.end(body);
  });

/**
 * Sends a call to one address and follows temporary redirects (307, RFC 9110 section 15.4.8: same
 * method and body).
 *
 * @param address - as `ip:port`
 * @returns the JSON object of the 200 response
 * @throws UnreachableError if there is no response, or one of 500 and more
 * @throws RejectedError for any other status
 */
export const callAddress = async (
  address: string,
  call: ControllerCall,
): Promise<UnknownRecord> => {
  let url: URL;
  try {
    url = new URL(`http://${address}${call.path}`);
  } catch (cause) {
    throw new UnreachableError(`${address} cannot be reached`, { cause });
  }
  let response = await sendTo(url, call);
  for (let redirects = 0; redirects < MAX_REDIRECTS; redirects += 1) {
    if (response.status !== HTTP_TEMPORARY_REDIRECT || response.location === undefined) break;
    url = new URL(response.location, url);
    response = await sendTo(url, call);
  }
  const { status, body } = response;
  if (status === HTTP_OK) return body;
  const message = `${url.host} responded with ${status}: ${formatValue(body["problem"] ?? "no reason given")}`;
  throw status >= HTTP_SERVER_ERROR ? new UnreachableError(message) : new RejectedError(message);
};

/** Sends calls to the controllers that the command line or the environment names. */
export class ControllerClient {
  /**
   * @param addresses - of the controllers' admin API, as `ip:port`, in the order in which they are
   * tried
   */
  constructor(readonly addresses: readonly string[]) {}

  /** Sends a GET request; see `call`. */
  readonly get = (path: string): Promise<UnknownRecord> => this.call({ method: "GET", path });

  /** Sends a POST request with `payload` as JSON; see `call`. */
  readonly post = (path: string, payload?: unknown): Promise<UnknownRecord> =>
    this.call({
      method: "POST",
      path,
      body: payload === undefined ? "" : JSON.stringify(payload),
    });

  /**
   * Tries one controller after the other until one accepts or rejects the call.
   *
   * @throws InvalidInputError if no controller is named
   * @throws RejectedError if a controller rejects the call; no further controller is tried
   * @throws UnreachableError for the last controller, if none answered
   */
  readonly call = async (call: ControllerCall): Promise<UnknownRecord> => {
    let lastError: UnreachableError | undefined;
    for (const address of this.addresses) {
      try {
        return await callAddress(address, call);
      } catch (error) {
        if (!(error instanceof UnreachableError)) throw error;
        lastError = error;
      }
    }
    throw (
      lastError ??
      new InvalidInputError("no controller is named; give --controller or set YEWREEL_CONTROLLERS")
    );
  };
}
