import { readFile } from "node:fs/promises";
import convict from "convict";
import { parse } from "smol-toml";
import { err, ok, type Result } from "true-myth/result";
import { isRecord } from "./decode.js";
import { parseDuration, SECOND_US } from "./duration.js";

/**
 * Why settings could not be loaded: the file is unreadable or its content is invalid. Carries a
 * one-sentence message for operators.
 */
export interface SettingsError {
  readonly kind: "unreadable" | "wrong";
  readonly message: string;
}

convict.addFormat({
  name: "span",
  validate: (value: unknown) => {
    if (typeof value !== "number" || !(value >= 0))
      throw new Error("must be a duration such as 1500ms");
  },
  coerce: (value: unknown) =>
    typeof value === "number" ? value : parseDuration(value).unwrapOr(-1),
});
const readRegions = (value: unknown): Readonly<Record<string, string>> =>
  isRecord(value)
    ? Object.fromEntries(Object.entries(value).map(([zone, region]) => [zone, String(region)]))
    : {};

convict.addFormat({
  name: "regions",
  validate: (value: unknown) => {
    if (!isRecord(value) || !Object.values(value).every((region) => typeof region === "string"))
      throw new Error("must map each cell to the name of its region");
  },
});
convict.addFormat({
  name: "filled",
  validate: (value: unknown) => {
    if (typeof value !== "string" || value === "") throw new Error("must be a non-empty string");
  },
});
convict.addFormat({
  name: "texts",
  validate: (value: unknown) => {
    if (!Array.isArray(value) || !value.every((entry) => typeof entry === "string"))
      throw new Error("must be a list of strings");
  },
});
convict.addFormat({
  name: "port-range",
  validate: (value: unknown) => {
    const isPortPair =
      Array.isArray(value) &&
      value.length === 2 &&
      value.every((port) => Number.isInteger(port) && port > 0 && port < 65_536);
    if (!isPortPair || Number(value[1]) - Number(value[0]) < 1)
      throw new Error("must be the first and last port of a range of at least two ports");
  },
});

convict.addFormat({
  name: "endpoints",
  validate: (value: unknown) => {
    if (!isRecord(value) || !Object.values(value).every((entry) => readEndpoint(entry)))
      throw new Error('must map each program to a port and a path, such as "9464/metrics"');
  },
});

convict.addFormat({
  name: "weight",
  validate: (value: unknown) => {
    if (typeof value !== "number" || !(value >= 0))
      throw new Error("must be a number of 0 or more");
  },
});

/** Port and path at which a program serves its metrics. The path includes the leading slash. */
export interface MetricsEndpoint {
  readonly port: number;
  readonly path: string;
}

/** Parses `PORT/PATH`; undefined if the value has another format. */
const readEndpoint = (value: unknown): MetricsEndpoint | undefined => {
  const found = typeof value === "string" ? /^(\d{1,5})(\/\S+)$/.exec(value) : null;
  const port = Number(found?.[1]);
  return found?.[2] !== undefined && port > 0 && port < 65_536
    ? { port, path: found[2] }
    : undefined;
};

const readEndpoints = (value: unknown): ReadonlyMap<string, MetricsEndpoint> =>
  new Map(
    Object.entries(isRecord(value) ? value : {}).flatMap(([program, entry]) => {
      const endpoint = readEndpoint(entry);
      return endpoint ? [[program, endpoint] as const] : [];
    }),
  );

const noStrings: string[] = [];
const noPorts: number[] = [];

const schema = () =>
  convict({
    node: {
      name: { format: "filled", default: "" },
      role: { format: String, default: "" },
      cell: { format: "filled", default: "" },
      ip: { format: "filled", default: "" },
      sparePorts: { format: "port-range", default: noPorts },
      seedNodes: { format: "texts", default: noStrings },
      firstRun: { format: Boolean, default: false },
      heartbeat: { format: "span", default: -1 },
      dataFolder: { format: String, default: "" },
      deployment: { format: String, default: "" },
      region: { format: String, default: "" },
      logLevel: { format: ["debug", "info", "warn", "error", "silent"], default: "info" },
    },
    cells: { format: "regions", default: {} },
    listen: {
      front: { format: String, default: "" },
      ready: { format: String, default: "" },
      control: { format: String, default: "" },
    },
    limits: {
      memoryMb: { format: "nat", default: 0 },
      fileHandles: { format: "nat", default: 0 },
      diskMb: { format: "nat", default: 64 },
      linkMbps: { format: Number, default: 0 },
    },
    rollout: {
      late: { format: "weight", default: 0.3 },
      lostSafe: { format: "weight", default: 1 },
      lostUnsafe: { format: "weight", default: 2 },
      doubled: { format: "weight", default: 5 },
    },
    metrics: { format: "endpoints", default: {} },
    forecast: { acts: { format: Boolean, default: false } },
    withstand: { machines: { format: "nat", default: 0 } },
    bounds: {
      drain: { format: "span", default: -1 },
      grace: { format: "span", default: -1 },
      apply: { format: "span", default: -1 },
      contact: { format: "span", default: -1 },
      confirm: { format: "span", default: -1 },
      retryRatio: { format: Number, default: 0 },
      retryWindow: { format: "span", default: -1 },
      retrySlack: { format: Number, default: 0 },
      stretch: { format: "span", default: 5 * SECOND_US },
      keyWindow: { format: "span", default: 60 * SECOND_US },
      purge: { format: "span", default: 2 * SECOND_US },
      staleSlack: { format: "span", default: 2 * SECOND_US },
      ceilingWindow: { format: "span", default: 5 * SECOND_US },
      ceilingExcess: { format: Number, default: 1.1 },
      holdMax: { format: "span", default: 10 * SECOND_US },
      coldExcess: { format: Number, default: 1 },
      coldSlack: { format: Number, default: 0 },
    },
  });

/** Settings of a program. Durations are in whole microseconds. */
export interface Settings {
  readonly name: string;
  readonly zone: string;
  readonly ip: string;
  /**
   * Invariant: `peerPort` accepts connections between controllers and from nodes, `relayPort` the
   * updates forwarded by relays.
   */
  readonly peerPort: number;
  readonly relayPort: number;
  readonly seedNodes: readonly string[];
  readonly firstRun: boolean;
  readonly heartbeatUs: number;
  readonly dataFolder: string;
  /** Name of the deployment type; empty for a gateway. */
  readonly deployment: string;
  readonly logLevel: string;
  readonly front: string;
  readonly ready: string;
  readonly control: string;
  readonly memoryMb: number;
  readonly fileHandles: number;
  readonly diskMb: number;
  readonly linkMbps: number;
  /** Region of each zone; empty if none are configured. */
  readonly regions: ReadonlyMap<string, string>;
  readonly withstandMachines: number;
  readonly drainUs: number;
  readonly graceUs: number;
  readonly applyUs: number;
  readonly contactUs: number;
  readonly confirmUs: number;
  readonly retryRatio: number;
  readonly retryWindowUs: number;
  readonly retrySlack: number;
  /** By how much the activation of updates may be delayed while the controllers are unsettled. */
  readonly stretchUs: number;
  readonly keyWindowUs: number;
  readonly purgeUs: number;
  readonly staleSlackUs: number;
  readonly ceilingWindowUs: number;
  readonly ceilingExcess: number;
  /** The longest time for which keys may be granted to a worker of a sharded service. */
  readonly holdMaxUs: number;
  /** By how much the requests to a worker that warms up may exceed its limit within a second. */
  readonly warmUpTolerance: { readonly excess: number; readonly slack: number };
  /**
   * Metrics endpoint of each program, by program; a program that is not listed serves no metrics.
   */
  readonly metrics: ReadonlyMap<string, MetricsEndpoint>;
  /** Whether the forecast is acted on rather than only reported. */
  readonly forecastActs: boolean;
  /** Weight of each type of failure when a new route version is evaluated. */
  readonly rolloutWeights: {
    readonly late: number;
    readonly lostSafe: number;
    readonly lostUnsafe: number;
    readonly doubled: number;
  };
}

/**
 * Parses and validates settings in TOML. On failure the error describes the first problem found.
 */
export const parseSettings = (raw: string): Result<Settings, SettingsError> => {
  try {
    const cfg = schema();
    cfg.load(parse(raw));
    cfg.validate({ output: () => undefined });
    const [firstPort, lastPort] = cfg.get("node.sparePorts");
    return ok({
      name: cfg.get("node.name"),
      zone: cfg.get("node.cell"),
      ip: cfg.get("node.ip"),
      peerPort: firstPort ?? 0,
      relayPort: Math.min((firstPort ?? 0) + 1, lastPort ?? 0),
      seedNodes: cfg.get("node.seedNodes"),
      firstRun: cfg.get("node.firstRun"),
      heartbeatUs: cfg.get("node.heartbeat"),
      dataFolder: cfg.get("node.dataFolder"),
      deployment: cfg.get("node.deployment"),
      logLevel: cfg.get("node.logLevel"),
      front: cfg.get("listen.front"),
      ready: cfg.get("listen.ready"),
      control: cfg.get("listen.control"),
      memoryMb: cfg.get("limits.memoryMb"),
      fileHandles: cfg.get("limits.fileHandles"),
      diskMb: cfg.get("limits.diskMb"),
      linkMbps: cfg.get("limits.linkMbps"),
      regions: new Map(Object.entries(readRegions(cfg.get("cells")))),
      withstandMachines: cfg.get("withstand.machines"),
      drainUs: cfg.get("bounds.drain"),
      graceUs: cfg.get("bounds.grace"),
      applyUs: cfg.get("bounds.apply"),
      contactUs: cfg.get("bounds.contact"),
      confirmUs: cfg.get("bounds.confirm"),
      retryRatio: cfg.get("bounds.retryRatio"),
      retryWindowUs: cfg.get("bounds.retryWindow"),
      retrySlack: cfg.get("bounds.retrySlack"),
      stretchUs: cfg.get("bounds.stretch"),
      keyWindowUs: cfg.get("bounds.keyWindow"),
      purgeUs: cfg.get("bounds.purge"),
      staleSlackUs: cfg.get("bounds.staleSlack"),
      ceilingWindowUs: cfg.get("bounds.ceilingWindow"),
      ceilingExcess: cfg.get("bounds.ceilingExcess"),
      holdMaxUs: cfg.get("bounds.holdMax"),
      warmUpTolerance: { excess: cfg.get("bounds.coldExcess"), slack: cfg.get("bounds.coldSlack") },
      metrics: readEndpoints(cfg.get("metrics")),
      forecastActs: cfg.get("forecast.acts"),
      rolloutWeights: cfg.get("rollout"),
    });
  } catch (error) {
    const message =
      (error instanceof Error ? error.message : String(error))
        .split("\n")
        .find((line) => line.trim() !== "") ?? "";
    return err({ kind: "wrong", message });
  }
};

/** Reads, parses and validates a settings file. */
export const readSettings = async (path: string): Promise<Result<Settings, SettingsError>> => {
  try {
    return parseSettings(await readFile(path, "utf8"));
  } catch {
    return err({ kind: "unreadable", message: `the settings file ${path} cannot be read` });
  }
};

/** Splits `ip:port`; an invalid port yields 0. */
export const splitAddress = (address: string): { readonly ip: string; readonly port: number } => {
  const separator = address.lastIndexOf(":");
  return { ip: address.slice(0, separator), port: Number(address.slice(separator + 1)) || 0 };
};
