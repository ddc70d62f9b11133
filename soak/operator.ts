/** Simulates an operator who changes the configuration and reads it back. */
import { asRecord, parseJson, readList, readNumber, readString } from "../src/common/decode.js";
import { CLIENT_ROUTES } from "./client.js";
import type { HistoryRecorder } from "./history.js";
import { KEYED_PATH } from "./keyed-client.js";
import { callApi, type ApiReply } from "./http-call.js";
import type { Program } from "./program.js";
import type { SeededRandom } from "../simulator/seeded-random.js";

const HOST = "soak.example";
const PROBE_ROUTE = "r-probe";
const KEYED_ROUTE = "r-keyed";
const CALL_TIMEOUT_MS = 1_500;
const MAX_CALLS = 8;
const RETRY_PAUSE_MS = 200;
/** Statuses of a final rejection: the change is not and will not be in force; it is not retried. */
const REJECTED_STATUSES = new Set([400, 409, 412, 413, 422]);

/** Options of an {@link Operator}. */
export interface OperatorOptions {
  readonly controllers: readonly Program[];
  readonly services: readonly string[];
  readonly history: HistoryRecorder;
  readonly nowUs: () => number;
  readonly random: SeededRandom;
}

const makeRule = (
  name: string,
  version: number,
  service: string,
  { path, kind }: { readonly path: string; readonly kind: "safe" | "unsafe" | "keyed" },
) => ({
  name,
  routeKind: kind,
  target_time: "500ms",
  rank: 1,
  version,
  matchOn: { pathStart: path },
  then: { service, giveUp: "2000ms", tries: 2 },
});

const pause = (waitMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, waitMs));

/** Sends changes; one without a definite response is retried on a randomly chosen controller. */
export class Operator {
  private version = 1;
  private readonly routeNames = CLIENT_ROUTES.map(({ path }) => `r-${path.replaceAll("/", "")}`);

  constructor(private readonly options: OperatorOptions) {}

  /** Sends the initial configuration. Throws if no controller acknowledges it. */
  readonly applyInitial = async (): Promise<void> => {
    const { services, history, nowUs } = this.options;
    const [service = ""] = services;
    const sentUs = nowUs();
    const rules = [
      ...CLIENT_ROUTES.map((route, at) =>
        makeRule(this.routeNames[at] ?? "", this.version, service, {
          path: route.path,
          kind: route.isSafe ? "safe" : "unsafe",
        }),
      ),
      makeRule(KEYED_ROUTE, this.version, service, { path: KEYED_PATH, kind: "keyed" }),
    ];
    const groups = services.map((name) => ({
      name,
      statusPath: "/health",
      maxConnections: 200,
      version: 1,
    }));
    const limits = {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1e6,
      headerWait: "3s",
      idle: "15s",
      version: 1,
    };
    const put = { limits, listeners: [{ host: HOST, rules }], groups };
    for (let attempt = 0; attempt < 10; attempt += 1) {
      const acknowledgedUs = await this.send({ putItems: put });
      if (acknowledgedUs === undefined) continue;
      history.changes.push({ version: this.version, service, sentUs, acknowledgedUs });
      return;
    }
    throw new Error("no controller acknowledged the initial configuration");
  };

  /** Moves the probe route to another service. Resolves to whether the change was acknowledged. */
  readonly moveProbe = async (): Promise<boolean> => {
    const { services, history, nowUs } = this.options;
    this.version += 1;
    const { version } = this;
    const service = services[version % services.length] ?? "";
    const sentUs = nowUs();
    const probe = CLIENT_ROUTES.findIndex(({ isProbe }) => isProbe);
    const route = CLIENT_ROUTES[probe];
    if (!route) return false;
    const rules = [makeRule(PROBE_ROUTE, version, service, { path: route.path, kind: "safe" })];
    const acknowledgedUs = await this.send({ putItems: { listeners: [{ host: HOST, rules }] } });
    history.changes.push({ version, service, sentUs, acknowledgedUs });
    return acknowledgedUs !== undefined;
  };

  /** Adds `count` routes in one change. */
  readonly addRoutes = async (count: number): Promise<void> => {
    const { services, history } = this.options;
    this.version += 1;
    const { version } = this;
    const names = Array.from({ length: count }, (_, at) => `r-large-${version}-${at}`);
    const rules = names.map((name) =>
      makeRule(name, version, services[0] ?? "", { path: `/${name}/`, kind: "safe" }),
    );
    const acknowledgedUs = await this.send({ putItems: { listeners: [{ host: HOST, rules }] } });
    history.largeChanges.push({ routes: names, acknowledgedUs });
  };

  /** Sends an invalid change. Resolves to true if it was rejected or never answered. */
  readonly sendInvalid = async (): Promise<boolean> => {
    const rules = [makeRule("r-wrong", 1, "no-such-service", { path: "/wrong/", kind: "safe" })];
    return (await this.send({ putItems: { listeners: [{ host: HOST, rules }] } })) === undefined;
  };

  /** Reads the configuration from one controller. */
  readonly read = async (controller: Program): Promise<void> => {
    const { history, nowUs } = this.options;
    const startUs = nowUs();
    const reply = await callApi(controller.control, "GET", "/plan/read", "", CALL_TIMEOUT_MS);
    if (reply?.status !== 200) return;
    const rules = readList(asRecord(parseJson(reply.body)), "listeners", (value) =>
      readList(asRecord(value), "rules", (rule) => asRecord(rule)),
    ).flat();
    const probe = rules.find((rule) => rule["name"] === PROBE_ROUTE);
    history.reads.push({
      controller: controller.name,
      startUs,
      probeVersion: probe ? readNumber(probe, "version") : 0,
      routes: new Set(rules.map((rule) => readString(rule, "name"))),
    });
  };

  /** Resolves to the time of the acknowledgement; undefined if rejected or if all calls failed. */
  private readonly send = async (change: unknown): Promise<number | undefined> => {
    const { controllers, nowUs, random } = this.options;
    const body = JSON.stringify(change);
    for (let call = 0; call < MAX_CALLS; call += 1) {
      const { control } = random.pick(controllers);
      const reply: ApiReply | undefined = await callApi(
        control,
        "POST",
        "/plan/change",
        body,
        CALL_TIMEOUT_MS,
      );
      if (reply?.status === 200) return nowUs();
      if (reply && REJECTED_STATUSES.has(reply.status)) return undefined;
      await pause(RETRY_PAUSE_MS);
    }
    return undefined;
  };
}
