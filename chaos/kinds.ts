import { err, ok, type Result } from "true-myth/result";

/** What a kind of trouble strikes. Servers and machines may be picked in more ways than other things. */
export type Struck = "servers" | "machines" | "disks" | "links" | "clients" | "orders";

/** Kinds that this system is built for: where a day writes them, and what they strike. A kind that is not here needs a part
 * which is not built, or is new; it is left out of drawn days and named. The figures of a kind come from the list alone. */
const SERVED: Readonly<Record<string, readonly ["plan" | "faults", Struck]>> = {
  burst: ["faults", "clients"],
  retry_abuse: ["faults", "clients"],
  give_up: ["faults", "clients"],
  srv_crash: ["faults", "servers"],
  srv_slow: ["faults", "servers"],
  srv_grey: ["faults", "servers"],
  srv_lying_health: ["faults", "servers"],
  srv_flap: ["faults", "servers"],
  replace_with_reuse: ["faults", "servers"],
  idle_race: ["faults", "servers"],
  answer_lost: ["faults", "servers"],
  garble: ["faults", "servers"],
  release: ["plan", "servers"],
  scale_in: ["plan", "servers"],
  scale_out: ["plan", "servers"],
  node_kill: ["faults", "machines"],
  node_freeze: ["faults", "machines"],
  node_slow: ["faults", "machines"],
  herd_kill: ["faults", "machines"],
  after_ack_kill: ["faults", "machines"],
  after_ack_wipe: ["faults", "machines"],
  replace_core: ["faults", "machines"],
  clock_step: ["faults", "machines"],
  reset_conns: ["faults", "machines"],
  roll_term: ["plan", "machines"],
  hup: ["plan", "machines"],
  add_nodes: ["plan", "machines"],
  seed_turnover: ["plan", "machines"],
  disk_slow: ["faults", "disks"],
  disk_full: ["faults", "disks"],
  disk_stall: ["faults", "disks"],
  core_cut: ["faults", "links"],
  node_cut: ["faults", "links"],
  ack_lost: ["faults", "orders"],
  config_change: ["plan", "orders"],
  config_race: ["plan", "orders"],
  config_storm: ["plan", "orders"],
  bad_config: ["plan", "orders"],
  big_config: ["plan", "orders"],
  purge: ["plan", "orders"],
  purge_storm: ["plan", "orders"],
};

/** A figure that a kind takes: the bracketed default of the list; "open" if the list gives none. */
export type Figure = number | "open";

/** One kind as the list tells it. `hows` are its own variants; `atATime` says that x is a number of things. */
export interface Kind {
  readonly name: string;
  readonly book: "plan" | "faults";
  readonly struck: Struck;
  readonly share?: Figure;
  readonly count?: Figure;
  readonly x?: Figure;
  readonly stepped: boolean;
  readonly atATime: boolean;
  /** Whether count is a number of routes. */
  readonly routes: boolean;
  readonly hows: readonly string[];
}

/** What a list of kinds says. `pick` are ways to pick machines, `spread` ways to pick servers, `meets` are two that exclude
 * each other, `returns` go with any machine that comes back, `busy` with a
 * roll, `cuts` are the ways of a cut that isn't silent, `closings` are closing faults with the ways to time them. */
export interface KindList {
  readonly kinds: readonly Kind[];
  readonly leftOut: readonly string[];
  readonly pick: readonly string[];
  readonly spread: readonly string[];
  readonly meets: readonly string[];
  readonly returns: readonly string[];
  readonly busy: readonly string[];
  readonly cuts: readonly string[];
  readonly closings: readonly string[];
  readonly closingHows: readonly string[];
}

const bare = (text: string): string => {
  const next = text.replace(/\([^()]*\)/g, "");
  return next === text ? text : bare(next);
};

const isHow = (word: string): boolean => /^[a-z]\w*$/.test(word) && word !== "and" && word !== "or";

/** The words that follow `how`: "how: a b, c (why); how d: why". A part that explains itself after a comma gives its first word. */
const howsOf = (text: string): readonly string[] => {
  const timed = [...text.matchAll(/how (\w+):/g)].map((found) => found[1] ?? "");
  const listed = [...text.matchAll(/how:((?:[^()]|\((?:[^()]|\([^()]*\))*\))*)/g)].flatMap(
    (found) =>
      bare(found[1] ?? "")
        .split(";")
        .flatMap((part) => {
          const told = part.trim();
          if (/\bhow \w+:|^on \w+:/.test(told)) return [];
          const explained = /^(\w+), they\b/.exec(told);
          return explained?.[1] === undefined ? told.split(/[\s,+]+/) : [explained[1]];
        }),
  );
  return [...new Set([...listed, ...timed].filter(isHow))];
};

/** A figure's default; undefined where the kind doesn't take it, or the list says in words what it is if left out. */
const figureOf = (text: string, pattern: RegExp): Figure | undefined => {
  const found = pattern.exec(text);
  if (!found) return undefined;
  if (found[1] === undefined) return "open";
  const given = Number(found[1]);
  return Number.isFinite(given) ? given : undefined;
};

const kindOf = (name: string, told: string): Kind | undefined => {
  const served = SERVED[name];
  if (served === undefined) return undefined;
  const [share, count, x] = [
    figureOf(told, /\bshare\b(?! x\b)(?: \(([^()]*)\))?/),
    figureOf(told, /\bcount\b(?: \(([^()]*)\))?/),
    figureOf(told, /\bx\b(?: (?:ms|s))?(?: \(([^()]*)\))?/),
  ];
  return {
    name,
    book: served[0],
    struck: served[1],
    ...(share === undefined ? {} : { share }),
    ...(count === undefined ? {} : { count }),
    ...(x === undefined ? {} : { x }),
    stepped: /\bgap_s\b/.test(told),
    atATime: /at a time/.test(told),
    routes: /\broutes more\b/.test(told),
    hows: howsOf(told),
  };
};

/** Words of a sentence such as "may also hold leader (why), reader (why) or seed." */
const wordsAfter = (text: string, start: RegExp): readonly string[] => {
  const from = start.exec(text);
  if (!from) return [];
  const sentence = bare(text.slice(from.index + from[0].length)).split(/[.;]|,? and, for/)[0] ?? "";
  return sentence.split(/[\s,]+/).filter(isHow);
};

/** Reads what the bench prints as its list of kinds for a site; the error is one line. */
export const parseKinds = (text: string): Result<KindList, string> => {
  const lines = text.split("\n");
  const described = lines.flatMap((line) => {
    const found = /^([a-z]\w*): (.*)$/.exec(line);
    return found?.[1] !== undefined && found[2] !== undefined
      ? [{ name: found[1], told: found[2] }]
      : [];
  });
  if (described.length === 0)
    return err("the list of kinds holds none; give what `fleetbench kinds SITE` prints");
  const read = described.map(({ name, told }) => ({
    name,
    kind: kindOf(
      name,
      told.startsWith("the same,")
        ? (described.find((one) => one.name === "after_ack_kill")?.told ?? told)
        : told,
    ),
  }));
  const closing = lines.find((line) => line.startsWith("closing")) ?? "";
  const after = wordsAfter(text, /After these may stand /);
  const meets = ["meet", "race"].filter((word) => after.includes(word));
  return ok({
    kinds: read.flatMap(({ kind }) => (kind ? [kind] : [])),
    leftOut: read.flatMap(({ name, kind }) => (kind ? [] : [name])),
    pick: wordsAfter(text, /For machines, 'how' may also hold /),
    spread: wordsAfter(text, /For servers, 'how' may also hold /),
    meets,
    returns: after.filter((word) => !meets.includes(word)),
    busy: /for roll_term, busy\b/.test(text) ? ["busy"] : [],
    cuts: wordsAfter(text, /unless 'how' holds /),
    closings: (/kind = ([\w |]+)/.exec(closing)?.[1] ?? "")
      .split("|")
      .map((word) => word.trim())
      .filter((word) => word !== ""),
    closingHows: [...closing.matchAll(/how (\w+):/g)].map((found) => found[1] ?? ""),
  });
};
