/** Reads the journal of bench runs: which days were run and which rules they violated. */
import {
  asRecord,
  readBoolean,
  isRecord,
  readList,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../src/common/decode.js";

/**
 * One run of a day, as recorded in a journal entry. `key` identifies a day at one size: deployment,
 * name, seed, and full or small. `violations` counts the violations of each rule and the other
 * reasons for which the run failed the gate.
 */
export interface DayRun {
  readonly entry: string;
  readonly at: string;
  readonly commit: string;
  readonly site: string;
  readonly name: string;
  readonly key: string;
  readonly origin: "own" | "hunt" | "standard";
  readonly isSmall: boolean;
  /** Whether the run simulated the cost of processor time. */
  readonly isCpuCharged: boolean;
  readonly kinds: readonly string[];
  readonly violations: Readonly<Record<string, number>>;
  /** Why the run was aborted; undefined if it was completed. */
  readonly abortReason?: string;
}

/** A journal entry without a complete day, and the reason. */
export interface PartialRun {
  readonly entry: string;
  readonly at: string;
  readonly site: string;
  readonly reason: string;
}

const MISSING_ACKNOWLEDGEMENT = /had no ack|without an ack|no acknowledgement/;
const violationsOf = (day: UnknownRecord): Readonly<Record<string, number>> => {
  const rules = isRecord(day["rules"]) ? day["rules"] : {};
  const counts = Object.fromEntries(
    Object.keys(rules).map((rule) => [rule, readNumber(rules, rule)]),
  );
  // A day that could not start has no findings at all.
  const findings = day["short"] === null ? [] : readList(day, "short", asString);
  const others = findings.filter((why) => !why.startsWith("fault:"));
  const acks = others.filter((why) => MISSING_ACKNOWLEDGEMENT.test(why)).length;
  const belowFloor = others.length - acks;
  return {
    ...counts,
    ...(acks > 0 ? { "no ack": acks } : {}),
    ...(belowFloor > 0 ? { "below its floor": belowFloor } : {}),
  };
};

const siteOf = (entry: UnknownRecord, argv: readonly string[]): string => {
  const recordedSite = entry["site"];
  return typeof recordedSite === "string"
    ? recordedSite
    : (/([^/]+)\.toml$/.exec(argv[0] ?? "")?.[1] ?? "unknown");
};

/**
 * Reads the days of one journal entry, in their order. Throws a DecodeError that names the first
 * invalid field.
 */
export const readEntry = (
  value: unknown,
): { readonly runs: readonly DayRun[]; readonly partialRuns: readonly PartialRun[] } => {
  const entry = asRecord(value, "entry");
  const id = readString(entry, "id");
  const argv = readList(entry, "argv", asString);
  const times = readList(entry, "at", asString);
  const site = siteOf(entry, argv);
  const common = { entry: id, at: times[0] ?? "", site };
  const days = readList(entry, "days", (day) => asRecord(day, "day"));
  const incomplete = (reason: string) => ({ runs: [], partialRuns: [{ ...common, reason }] });
  if (argv.includes("--until")) return incomplete("run only in part");
  if (days.length === 0)
    return typeof entry["error"] === "string"
      ? incomplete(entry["error"])
      : { runs: [], partialRuns: [] };
  const small = argv.includes("--small");
  const command = readString(entry, "cmd");
  const isOwnDay = command === "run" && argv.slice(1).some((word) => word.endsWith(".toml"));
  const runs = days.map((day): DayRun => {
    const name = readString(day, "name").replace(/ --seed \d+$/, "");
    const fault = day["fault"];
    const seed = typeof day["seed"] === "number" ? String(day["seed"]) : "sealed";
    return {
      ...common,
      commit: `${readString(entry, "head").slice(0, 7)}${readBoolean(entry, "dirty") ? " and changes" : ""}`,
      name: `${name} (${seed})`,
      key: [site, name, seed, small ? "small" : "full"].join(" "),
      origin: isOwnDay ? "own" : command === "hunt" ? "hunt" : "standard",
      isSmall: small,
      isCpuCharged: !argv.includes("--no-cpu"),
      kinds: readList(day, "troubles", asString),
      violations: violationsOf(day),
      ...(typeof fault === "string" ? { abortReason: fault.split("\n")[0] ?? fault } : {}),
    };
  });
  return { runs, partialRuns: [] };
};
