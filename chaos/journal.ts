import {
  asRecord,
  readFlag,
  isRecord,
  readList,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../src/common/decode.js";

/** A day as one journal entry tells of it. `key` is the same for every play of one day at one size: deployment, name, seed,
 * full or small. `broken` are rules with how often, and what else failed the gate, in the entry's own words. */
export interface Played {
  readonly entry: string;
  readonly at: string;
  readonly head: string;
  readonly site: string;
  readonly name: string;
  readonly key: string;
  readonly whose: "own" | "hunt" | "standard";
  readonly small: boolean;
  /** Whether processor time was charged. */
  readonly charged: boolean;
  readonly kinds: readonly string[];
  readonly broken: Readonly<Record<string, number>>;
  /** Why the day wasn't played to its end; undefined if it was. */
  readonly givenUp?: string;
}

/** An entry that tells of no whole day, and why. */
export interface Unplayed {
  readonly entry: string;
  readonly at: string;
  readonly site: string;
  readonly why: string;
}

const ACK = /had no ack|without an ack|no acknowledgement/;
const countsOf = (day: UnknownRecord): Readonly<Record<string, number>> => {
  const rules = isRecord(day["rules"]) ? day["rules"] : {};
  const counts = Object.fromEntries(
    Object.keys(rules).map((rule) => [rule, readNumber(rules, rule)]),
  );
  const others = readList(day, "short", asString).filter((why) => !why.startsWith("fault:"));
  const acks = others.filter((why) => ACK.test(why)).length;
  const floors = others.length - acks;
  return {
    ...counts,
    ...(acks > 0 ? { "no ack": acks } : {}),
    ...(floors > 0 ? { "below its floor": floors } : {}),
  };
};

const siteOf = (entry: UnknownRecord, argv: readonly string[]): string => {
  const told = entry["site"];
  return typeof told === "string" ? told : (/([^/]+)\.toml$/.exec(argv[0] ?? "")?.[1] ?? "unknown");
};

/** The days of one journal entry, in the order they stand there. Throws a ShapeMishap that names a field which isn't as it should be. */
export const readEntry = (
  value: unknown,
): { readonly played: readonly Played[]; readonly unplayed: readonly Unplayed[] } => {
  const entry = asRecord(value, "entry");
  const id = readString(entry, "id");
  const argv = readList(entry, "argv", asString);
  const times = readList(entry, "at", asString);
  const site = siteOf(entry, argv);
  const about = { entry: id, at: times[0] ?? "", site };
  const days = readList(entry, "days", (day) => asRecord(day, "day"));
  const unplayed = (why: string) => ({ played: [], unplayed: [{ ...about, why }] });
  if (argv.includes("--until")) return unplayed("played only in part");
  if (days.length === 0)
    return typeof entry["error"] === "string"
      ? unplayed(entry["error"])
      : { played: [], unplayed: [] };
  const small = argv.includes("--small");
  const command = readString(entry, "cmd");
  const own = command === "run" && argv.slice(1).some((word) => word.endsWith(".toml"));
  const played = days.map((day): Played => {
    const name = readString(day, "name").replace(/ --seed \d+$/, "");
    const fault = day["fault"];
    const seed = typeof day["seed"] === "number" ? String(day["seed"]) : "sealed";
    return {
      ...about,
      head: `${readString(entry, "head").slice(0, 7)}${readFlag(entry, "dirty") ? " and changes" : ""}`,
      name: `${name} (${seed})`,
      key: [site, name, seed, small ? "small" : "full"].join(" "),
      whose: own ? "own" : command === "hunt" ? "hunt" : "standard",
      small,
      charged: !argv.includes("--no-cpu"),
      kinds: readList(day, "troubles", asString),
      broken: countsOf(day),
      ...(typeof fault === "string" ? { givenUp: fault.split("\n")[0] ?? fault } : {}),
    };
  });
  return { played, unplayed: [] };
};
