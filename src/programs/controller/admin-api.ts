import { err, ok, type Result } from "true-myth/result";
import {
  toConfigDocument,
  parseChangeInTurns,
  findUnknownService,
  isConfigKey,
  type ConfigError,
} from "../../config/validation.js";
import type { ReplicatedStoreError } from "../../consensus/errors.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import type { Register } from "../../consensus/register.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { readHeartbeat } from "../../membership/messages.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import { isRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { parseDuration } from "../../common/duration.js";
import type { ApiRequest, ApiRoute, ApiResponse } from "../http-api.js";

/** What can go wrong with a call, in this layer's own words. */
export type AdminApiError = { readonly outcome: OutcomeName; readonly sentence: string };

const ofPlan = (error: ConfigError): AdminApiError => ({
  outcome: error.kind === "unreadable" ? "unreadable" : "wrong",
  sentence: error.sentence,
});

/** Only what can never be in force is refused; all else has no clear answer. */
const ofLedger = (error: ReplicatedStoreError): AdminApiError => {
  switch (error.code) {
    case "VERSION_CONFLICT":
      return {
        outcome: "versionTaken",
        sentence: `${error.key.replace("/", " ")} at version ${error.version} is already agreed with another content`,
      };
    case "INVALID_WRITE":
      return { outcome: "wrong", sentence: error.message };
    case "NO_QUORUM":
      return {
        outcome: "noQuorum",
        sentence: `only ${error.responded} of ${error.needed} copies answered well`,
      };
    case "STALE_TERM":
      return { outcome: "noQuorum", sentence: "the term is stale" };
    case "STALE_VOTER_SET":
      return { outcome: "noQuorum", sentence: "the roster is stale" };
    case "UNCLEAR_OUTCOME":
      return { outcome: "noQuorum", sentence: error.message };
  }
};

const verdictOf = (result: Result<UnknownRecord, AdminApiError>): ApiResponse =>
  result.isOk
    ? { outcome: "taken", body: result.value }
    : { outcome: result.error.outcome, body: { problem: result.error.sentence } };

/** What a purge names, or a sentence on what is wrong with it. */
const readPurge = (
  body: string,
): Result<{ readonly host: string; readonly path: string; readonly label: string }, string> => {
  let record: UnknownRecord;
  try {
    const value = parseJson(body);
    if (!isRecord(value)) return err("the purge is no JSON table");
    record = value;
  } catch {
    return err("the purge is no whole JSON table");
  }
  const { host, path, label } = record;
  if (label !== undefined && host === undefined && path === undefined)
    return typeof label === "string" && label !== ""
      ? ok({ host: "", path: "", label })
      : err("label must be a text that is not empty");
  if (label !== undefined) return err("a purge names a host and a path, or a label, not both");
  if (typeof host !== "string" || host === "") return err("host must be a text that is not empty");
  if (typeof path !== "string" || !path.startsWith("/")) return err("path must begin with a slash");
  return ok({ host: host.toLowerCase(), path, label: "" });
};

export interface AdminApiOptions {
  readonly store: ReplicatedStore;
  readonly registry: WorkerRegistry;
  /** Whether this signalbox believes itself cut off: reason enough to refuse at once, while the contrary proves nothing. */
  readonly isAdrift: () => boolean;
  /** True once a majority was heard after the call. */
  readonly hearMajority: () => Promise<boolean>;
  /** Tells the colleagues of beats; true once a majority was heard after the call, or, where it `waits`, once a quorum holds them too. */
  readonly share: (heartbeats: readonly Heartbeat[], waits: boolean) => Promise<boolean>;
  /** Where a worker of this cell should send its later beats, if not here: a signalbox that hears a majority too. */
  readonly reportTo: (zone: string) => Promise<string | undefined>;
  /** Makes a purge durable and sends it out; left out where objects are not kept. */
  readonly purge?: (what: {
    readonly host: string;
    readonly path: string;
    readonly label: string;
  }) => Promise<boolean>;
}

/** What changes something. Nothing is acknowledged without a majority heard after the call came. */
export class Commands {
  constructor(private readonly options: AdminApiOptions) {}

  readonly changePlan = async (call: ApiRequest): Promise<ApiResponse> => {
    const read = await parseChangeInTurns(call.body);
    if (read.isErr) return verdictOf(err(ofPlan(read.error)));
    const written = await this.write(read.value);
    return verdictOf(written);
  };

  readonly beat = async (call: ApiRequest): Promise<ApiResponse> => {
    const { registry, isAdrift, share, reportTo } = this.options;
    let heartbeat: Heartbeat;
    try {
      heartbeat = readHeartbeat(call.segments[1] ?? "", parseJson(call.body));
    } catch (error) {
      return {
        outcome: "wrong",
        body: { problem: error instanceof Error ? error.message : "unreadable" },
      };
    }
    if (isAdrift()) return { outcome: "adrift" };
    registry.take(heartbeat);
    const held = registry.get(heartbeat.id) ?? heartbeat;
    const [isShared, address] = await Promise.all([
      share([held], heartbeat.state !== "ready"),
      reportTo(heartbeat.zone),
    ]);
    if (!isShared) return { outcome: "noQuorum" };
    return { outcome: "taken", body: address === undefined ? {} : { reportTo: address } };
  };

  readonly leave = async (call: ApiRequest): Promise<ApiResponse> => {
    const { registry, isAdrift, hearMajority, share } = this.options;
    if (isAdrift()) return { outcome: "adrift" };
    const left = registry.leave(call.segments[1] ?? "");
    return (await (left ? share([left], true) : hearMajority()))
      ? { outcome: "taken" }
      : { outcome: "noQuorum" };
  };

  readonly purge = async (call: ApiRequest): Promise<ApiResponse> => {
    const { purge, hearMajority } = this.options;
    const read = readPurge(call.body);
    if (read.isErr) return { outcome: "wrong", body: { problem: read.error } };
    if (!purge) return { outcome: "unknownCall" };
    const [isHeld, isHeard] = await Promise.all([purge(read.value), hearMajority()]);
    return { outcome: isHeld && isHeard ? "taken" : "noQuorum" };
  };

  private readonly write = async (
    call: readonly Register[],
  ): Promise<Result<UnknownRecord, AdminApiError>> => {
    const written = await this.options.store.propose(call, (get) => {
      const unknown = findUnknownService(call, get);
      return unknown === undefined ? undefined : `a route names the unknown service ${unknown}`;
    });
    return written.mapErr(ofLedger).map(() => ({}));
  };
}

type Tellers = Readonly<Record<string, () => unknown>>;

/** What only tells something: of the fleet with a majority heard after the call came, of this copy at any time. */
export class Queries {
  constructor(
    private readonly store: ReplicatedStore,
    private readonly ofFleet: Tellers,
    private readonly ofThisCopy: Tellers,
  ) {}

  readonly readPlan = async (): Promise<ApiResponse> => {
    const read = await this.store.read();
    const plan = read
      .mapErr(ofLedger)
      .map(() =>
        toConfigDocument(
          this.store.committedRegisters().filter((register) => isConfigKey(register.key)),
        ),
      );
    return verdictOf(plan);
  };

  readonly tell = async (call: ApiRequest): Promise<ApiResponse> => {
    const what = call.segments[1] ?? "";
    const teller = this.ofThisCopy[what] ?? this.ofFleet[what];
    if (!teller) return { outcome: "unknownCall" };
    if (this.ofThisCopy[what] === undefined && !(await this.store.confirmQuorum()))
      return { outcome: "noMajority" };
    return { outcome: "taken", body: { [what]: await teller() } };
  };
}

/** What an operator may ask the duty's holder to do, through any signalbox. */
export interface Orders {
  readonly shift: (cell: string, why: string) => Promise<boolean>;
  readonly clearRollout: (route: string, version: number | undefined) => Promise<OutcomeName>;
  readonly window: (order: WindowCall) => Promise<ApiResponse>;
  readonly setRetries: (order: UnknownRecord) => Promise<ApiResponse>;
  readonly forecastBackends: (order: UnknownRecord) => Promise<ApiResponse>;
  readonly seenBackends: (order: UnknownRecord) => Promise<ApiResponse>;
}

export type WindowCall =
  | {
      readonly what: "add";
      readonly cell: string;
      readonly opensUs: number;
      readonly lastsUs: number;
    }
  | { readonly what: "cancel"; readonly id: string }
  | { readonly what: "extend"; readonly id: string; readonly byUs: number };

const bodyOf = (call: ApiRequest): UnknownRecord => {
  try {
    const value = parseJson(call.body);
    return isRecord(value) ? value : {};
  } catch {
    return {};
  }
};

const shiftCell = async (orders: Orders, call: ApiRequest): Promise<ApiResponse> => {
  const { cell: zone, why } = bodyOf(call);
  if (typeof zone !== "string") return { outcome: "wrong", body: { problem: "cell must be text" } };
  return {
    outcome: (await orders.shift(zone, why === "practice" ? why : "by hand"))
      ? "taken"
      : "noQuorum",
  };
};

const clearRollout = async (orders: Orders, call: ApiRequest): Promise<ApiResponse> => {
  const { version } = bodyOf(call);
  if (version !== undefined && typeof version !== "number")
    return { outcome: "wrong", body: { problem: "version must be a number" } };
  return { outcome: await orders.clearRollout(call.segments[1] ?? "", version) };
};

const span = (value: unknown): number => parseDuration(value).unwrapOr(Number.NaN);

const addWindow = async (orders: Orders, call: ApiRequest): Promise<ApiResponse> => {
  const { cell: zone, opens, lasts } = bodyOf(call);
  const [opensUs, lastsUs] = [span(opens), span(lasts)];
  if (typeof zone !== "string" || Number.isNaN(opensUs) || Number.isNaN(lastsUs))
    return {
      outcome: "wrong",
      body: { problem: "cell must be text, opens and lasts spans such as 90s" },
    };
  return orders.window({ what: "add", cell: zone, opensUs, lastsUs });
};

const extendWindow = async (orders: Orders, call: ApiRequest): Promise<ApiResponse> => {
  const byUs = span(bodyOf(call)["by"]);
  if (Number.isNaN(byUs))
    return { outcome: "wrong", body: { problem: "by must be a span such as 90s" } };
  return orders.window({ what: "extend", id: call.segments[1] ?? "", byUs });
};

export const controlEntries = (
  commands: Commands,
  queries: Queries,
  orders: Orders,
): readonly ApiRoute[] => [
  { method: "POST", path: "/plan/change", handle: commands.changePlan },
  { method: "GET", path: "/plan/read", handle: queries.readPlan },
  { method: "POST", path: "/workers/*/heartbeat", handle: commands.beat },
  { method: "POST", path: "/workers/*/leave", handle: commands.leave },
  { method: "POST", path: "/purge", handle: commands.purge },
  { method: "GET", path: "/tell/*", handle: queries.tell },
  { method: "POST", path: "/cells/shift", handle: (call) => shiftCell(orders, call) },
  { method: "POST", path: "/windows", handle: (call) => addWindow(orders, call) },
  {
    method: "POST",
    path: "/windows/*/cancel",
    handle: (call) => orders.window({ what: "cancel", id: call.segments[1] ?? "" }),
  },
  { method: "POST", path: "/windows/*/extend", handle: (call) => extendWindow(orders, call) },
  { method: "POST", path: "/retries", handle: (call) => orders.setRetries(bodyOf(call)) },
  {
    method: "POST",
    path: "/backends/forecast",
    handle: (call) => orders.forecastBackends(bodyOf(call)),
  },
  { method: "POST", path: "/backends/seen", handle: (call) => orders.seenBackends(bodyOf(call)) },
  { method: "POST", path: "/rollouts/*/clear", handle: (call) => clearRollout(orders, call) },
];
