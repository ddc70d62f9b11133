/**
 * The clients of a scenario, which send requests, disconnect and repeat operations, and record the
 * responses.
 */
import { digestOf, type SentRequest } from "./checks.js";
import { HOST, type ProxyHarness } from "./proxy-harness.js";
import { RawClient, requestBytes } from "./raw-client.js";
import type { ClientScript, RequestScript } from "./scenario.js";
import type { Schedule } from "./schedule.js";

const MS = 1_000;
const POLL_INTERVAL_MS = 10;
/** How long a client waits beyond the time left that it stated. */
const CLIENT_GRACE_MS = 500;
const REPEAT_DELAY_MS = 50;
const SECOND_HALF_DELAY_MS = 40;
const STREAMED_BODY = "z".repeat(200_000);
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** How often an operation is repeated after responses that promise that it has not run. */
const MAX_REPEATS = 2;

/** A period in which the proxy server was stalled. */
export interface Stall {
  readonly fromUs: number;
  readonly toUs: number;
}

/** Dependencies of {@link ClientRuns}. */
export interface ClientRunsOptions {
  readonly harness: ProxyHarness;
  readonly schedule: Schedule;
  /** The stalls so far. */
  readonly stalls: readonly Stall[];
  /** Whether the recorded bodies differ from those sent. */
  readonly altersBodies: boolean;
  /** Whether disconnecting clients keep their connections open, so that it goes undetected. */
  readonly keepsAbandonedConnections: boolean;
}

/** The state of a client on one connection. */
interface ClientRun {
  readonly script: ClientScript;
  readonly client: RawClient;
  /** The operation of each request; attempts of one operation differ only in their id. */
  readonly operations: readonly string[];
  readonly sent: SentRequest[];
  readonly repeats: number;
  isDone: boolean;
}

const bodyOf = (request: RequestScript, method: string, attemptId: string): string => {
  if (method !== "POST" || request.body === "none") return "";
  return request.body === "long" ? `${attemptId} ${STREAMED_BODY}` : `${attemptId} an order`;
};

const methodOf = (request: RequestScript): string => {
  if (request.kind !== "safe") return "POST";
  return request.isHead ? "HEAD" : "GET";
};

const chunkOf = (bytes: string): string => `${bytes.length.toString(16)}\r\n${bytes}\r\n`;

/** Runs all clients of a scenario. */
export class ClientRuns {
  readonly sent: SentRequest[] = [];
  /** The number of clients that have not finished. */
  open = 0;
  private readonly clients: RawClient[] = [];
  private attempts = 0;
  private operations = 0;

  constructor(private readonly options: ClientRunsOptions) {}

  /** The number of responses that all clients have received. */
  get responseCount(): number {
    return this.clients.reduce((sum, { responses }) => sum + responses.length, 0);
  }

  /** Schedules the start of a client. */
  readonly add = (script: ClientScript): void => {
    this.open += 1;
    this.options.schedule.after(script.startMs, () => {
      const operations = script.requests.map(() => {
        this.operations += 1;
        return `o-${this.operations}`;
      });
      this.start(script, operations, 0);
    });
  };

  readonly stop = (): void => this.clients.forEach(({ socket }) => socket.destroy());

  private readonly start = (
    script: ClientScript,
    operations: readonly string[],
    repeats: number,
  ): void => {
    const { harness, schedule } = this.options;
    const client = new RawClient(harness.host, harness.port);
    this.clients.push(client);
    const run: ClientRun = { script, client, operations, sent: [], repeats, isDone: false };
    this.sendNext(run);
    if (script.leaves) schedule.after(script.leaves.afterMs, () => this.end(run, true));
    schedule.after(POLL_INTERVAL_MS, () => this.pollResponses(run));
  };

  private readonly sendNext = (run: ClientRun): void => {
    const { script, sent, operations } = run;
    const request = script.requests[sent.length];
    if (!request || run.isDone) return;
    this.send(run, request, operations[sent.length] ?? "");
    this.options.schedule.after(request.leftMs + CLIENT_GRACE_MS, () => this.end(run, true));
    if (script.isPipelined) this.sendNext(run);
  };

  /** Polls for responses; without pipelining, each is followed by the next request. */
  private readonly pollResponses = (run: ClientRun): void => {
    if (run.isDone) return;
    const { client, script, sent } = run;
    if (client.responses.length === script.requests.length || client.isClosed) {
      this.end(run, false);
      return;
    }
    if (client.responses.length === sent.length) this.sendNext(run);
    this.options.schedule.after(POLL_INTERVAL_MS, () => this.pollResponses(run));
  };

  private readonly end = (run: ClientRun, isDisconnecting: boolean): void => {
    if (run.isDone) return;
    run.isDone = true;
    this.open -= 1;
    const { client, script } = run;
    const nowUs = this.options.harness.skippingClock.nowUs();
    run.sent.forEach((sent, at) => {
      sent.response = client.responses[at];
      if (isDisconnecting && !sent.response) sent.disconnectedUs = nowUs;
    });
    this.markResponseDue(run, isDisconnecting, nowUs);
    if (isDisconnecting && this.options.keepsAbandonedConnections) client.socket.pause();
    else if (isDisconnecting && script.leaves?.resets === true) client.socket.resetAndDestroy();
    else client.socket.destroy();
    if (!script.leaves && run.repeats < MAX_REPEATS) this.repeatOperations(run);
  };

  /** Repeats, as new attempts, the operations whose response promises that they have not run. */
  private readonly repeatOperations = (run: ClientRun): void => {
    const { script, operations, repeats } = run;
    const promised = run.sent
      .map((sent, at) => ({ sent, operation: operations[at] ?? "", request: script.requests[at] }))
      .filter(({ sent }) => sent.response && NOT_RUN_STATUSES.has(sent.response.status));
    const requests = promised.flatMap(({ request }) => (request ? [request] : []));
    if (requests.length === 0) return;
    this.open += 1;
    this.options.schedule.after(REPEAT_DELAY_MS, () =>
      this.start(
        { ...script, requests },
        promised.map(({ operation }) => operation),
        repeats + 1,
      ),
    );
  };

  /**
   * Marks the first unanswered request if its response is due. No response is due for later ones,
   * which wait for it.
   */
  private readonly markResponseDue = (
    { script, client, sent }: ClientRun,
    isLeaving: boolean,
    nowUs: number,
  ): void => {
    const answered = client.responses.length;
    const first = sent[answered];
    if (!first || client.responses.some(({ head }) => /^connection: close/im.test(head))) return;
    // The proxy server reads a pipelined request only after the streamed body before it.
    const isBehindStream = script.requests.slice(0, answered).some(({ body }) => body === "long");
    if (script.isPipelined && isBehindStream) return;
    const hasStalled = this.options.stalls.some(
      ({ fromUs, toUs }) =>
        (fromUs >= first.sentUs && fromUs <= nowUs) ||
        (toUs >= first.sentUs && toUs <= nowUs) ||
        (fromUs <= first.sentUs && first.sentUs <= toUs),
    );
    const leftMs = script.requests[answered]?.leftMs ?? 0;
    const hasWaited = nowUs - first.sentUs >= (leftMs + CLIENT_GRACE_MS) * MS;
    first.isResponseDue = !hasStalled && (!isLeaving || hasWaited);
  };

  private readonly send = (run: ClientRun, request: RequestScript, operation: string): void => {
    const { client, script } = run;
    this.attempts += 1;
    const attemptId = `t-${this.attempts}`;
    const method = methodOf(request);
    const path = `/${request.kind}/x?n=${this.attempts}`;
    const body = bodyOf(request, method, attemptId);
    const key = request.kind === "keyed" ? `k-${request.key}` : "";
    const sent: SentRequest = {
      attemptId,
      operation,
      kind: request.kind,
      method,
      path,
      digest: digestOf(this.options.altersBodies ? `${body}.` : body),
      isBehindStreamedBody: script.requests.some(({ body: size }) => size === "long"),
      key,
      sentUs: this.options.harness.skippingClock.nowUs(),
      disconnectedUs: undefined,
      isResponseDue: false,
      response: undefined,
    };
    run.sent.push(sent);
    this.sent.push(sent);
    const headers = {
      "Yewreel-Try-Id": attemptId,
      "Yewreel-Time-Left-Ms": String(request.leftMs),
      ...(key === "" ? {} : { "Yewreel-Operation-Key": key }),
    };
    if (request.sending === "at once" || body === "") client.send(method, path, headers, body);
    else this.sendInParts(client, request, { method, path, headers, body });
  };

  private readonly sendInParts = (
    client: RawClient,
    { sending }: RequestScript,
    parts: {
      readonly method: string;
      readonly path: string;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: string;
    },
  ): void => {
    const { method, path, headers, body } = parts;
    client.expect(method);
    const half = Math.floor(body.length / 2);
    const [front, back] = [body.slice(0, half), body.slice(half)];
    if (sending === "chunked") {
      const all = { Host: HOST, "Transfer-Encoding": "chunked", ...headers };
      const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
      const chunks = `${chunkOf(front)}${chunkOf(back)}0\r\n\r\n`;
      client.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${chunks}`);
      return;
    }
    const bytes = requestBytes(method, path, headers, body);
    client.write(bytes.slice(0, bytes.length - back.length));
    client.defer(back);
    this.options.schedule.after(SECOND_HALF_DELAY_MS, client.flush);
  };
}
