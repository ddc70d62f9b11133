/**
 * Parses the bench's list of kinds: the faults and changes that a day may contain, and the
 * parameters of each.
 */
import { err, ok, type Result } from "true-myth/result";

/**
 * What a kind of fault or change affects; `orders` are configuration changes. Servers and machines
 * have more selectors than the other targets.
 */
export type Target = "servers" | "machines" | "disks" | "links" | "clients" | "orders";

/**
 * The supported kinds, with their section of a day file and their target. A kind that is missing
 * here is new or needs a feature that is not implemented: it is left out of drawn days and reported
 * in `leftOut`. Parameters of a kind come only from the bench's list.
 */
const SUPPORTED: Readonly<Record<string, readonly ["plan" | "faults", Target]>> = {
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

/** Default of a parameter, in parentheses in the list; "open" if the list gives none. */
export type ParameterDefault = number | "open";

/** One kind as the list describes it. */
export interface FaultKind {
  readonly name: string;
  readonly section: "plan" | "faults";
  readonly target: Target;
  readonly share?: ParameterDefault;
  readonly count?: ParameterDefault;
  readonly x?: ParameterDefault;
  /** Whether the kind is repeated at intervals of `gap_s`. */
  readonly isRepeated: boolean;
  /** Whether `x` is a count, such as how many machines restart at a time. */
  readonly xIsCount: boolean;
  /** Whether `count` is a number of routes. */
  readonly countIsRoutes: boolean;
  /** Values of `how` that are specific to this kind. */
  readonly variants: readonly string[];
}

/**
 * A parsed list of kinds, with the values of `how` that apply to more than one kind.
 * `machineSelectors` and `serverSelectors` select which machines or servers are affected;
 * `concurrentChanges` are two mutually exclusive variants; `restartVariants` apply to every fault
 * after which machines come back, `rollVariants` to rolling restarts; `partitionVariants` apply to
 * partitions in which packets are not silently dropped; `closingVariants` set the timing of closing
 * faults.
 */
export interface FaultKinds {
  readonly kinds: readonly FaultKind[];
  readonly leftOut: readonly string[];
  readonly machineSelectors: readonly string[];
  readonly serverSelectors: readonly string[];
  readonly concurrentChanges: readonly string[];
  readonly restartVariants: readonly string[];
  readonly rollVariants: readonly string[];
  readonly partitionVariants: readonly string[];
  readonly closingFaults: readonly string[];
  readonly closingVariants: readonly string[];
}

const stripParentheses = (text: string): string => {
  const next = text.replace(/\([^()]*\)/g, "");
  return next === text ? text : stripParentheses(next);
};

const isVariant = (word: string): boolean =>
  /^[a-z]\w*$/.test(word) && word !== "and" && word !== "or";

/**
 * Reads the values of `how` from a description such as "how: a b, c (why); how d: why". From a part
 * of the form "word, they ..." only the first word is taken.
 */
const readVariants = (text: string): readonly string[] => {
  const timed = [...text.matchAll(/how (\w+):/g)].map((found) => found[1] ?? "");
  const listed = [...text.matchAll(/how:((?:[^()]|\((?:[^()]|\([^()]*\))*\))*)/g)].flatMap(
    (found) =>
      stripParentheses(found[1] ?? "")
        .split(";")
        .flatMap((part) => {
          const description = part.trim();
          if (/\bhow \w+:|^on \w+:/.test(description)) return [];
          const explained = /^(\w+), they\b/.exec(description);
          return explained?.[1] === undefined ? description.split(/[\s,+]+/) : [explained[1]];
        }),
  );
  return [...new Set([...listed, ...timed].filter(isVariant))];
};

/**
 * Reads the default of a parameter. Undefined if the kind does not have the parameter, or if the
 * list gives the default in words.
 */
const readDefault = (text: string, pattern: RegExp): ParameterDefault | undefined => {
  const found = pattern.exec(text);
  if (!found) return undefined;
  if (found[1] === undefined) return "open";
  const given = Number(found[1]);
  return Number.isFinite(given) ? given : undefined;
};

const readKind = (name: string, description: string): FaultKind | undefined => {
  const supported = SUPPORTED[name];
  if (supported === undefined) return undefined;
  const [share, count, x] = [
    readDefault(description, /\bshare\b(?! x\b)(?: \(([^()]*)\))?/),
    readDefault(description, /\bcount\b(?: \(([^()]*)\))?/),
    readDefault(description, /\bx\b(?: (?:ms|s))?(?: \(([^()]*)\))?/),
  ];
  return {
    name,
    section: supported[0],
    target: supported[1],
    ...(share === undefined ? {} : { share }),
    ...(count === undefined ? {} : { count }),
    ...(x === undefined ? {} : { x }),
    isRepeated: /\bgap_s\b/.test(description),
    xIsCount: description.includes("at a time"),
    countIsRoutes: /\broutes more\b/.test(description),
    variants: readVariants(description),
  };
};

/**
 * Reads the values listed in the sentence after `start`, such as "may also hold leader (why),
 * reader (why) or seed."
 */
const wordsAfter = (text: string, start: RegExp): readonly string[] => {
  const from = start.exec(text);
  if (!from) return [];
  const sentence =
    stripParentheses(text.slice(from.index + from[0].length)).split(/[.;]|,? and, for/)[0] ?? "";
  return sentence.split(/[\s,]+/).filter(isVariant);
};

/** Parses the output of `fleetbench kinds SITE`. The error is a message of one line. */
export const parseKinds = (text: string): Result<FaultKinds, string> => {
  const lines = text.split("\n");
  const described = lines.flatMap((line) => {
    const found = /^([a-z]\w*): (.*)$/.exec(line);
    return found?.[1] !== undefined && found[2] !== undefined
      ? [{ name: found[1], description: found[2] }]
      : [];
  });
  if (described.length === 0)
    return err("the list of kinds is empty; pass the output of `fleetbench kinds SITE`");
  const read = described.map(({ name, description }) => ({
    name,
    kind: readKind(
      name,
      description.startsWith("the same,")
        ? (described.find((one) => one.name === "after_ack_kill")?.description ?? description)
        : description,
    ),
  }));
  const closing = lines.find((line) => line.startsWith("closing")) ?? "";
  const after = wordsAfter(text, /After these may stand /);
  const concurrentChanges = ["meet", "race"].filter((word) => after.includes(word));
  return ok({
    kinds: read.flatMap(({ kind }) => (kind ? [kind] : [])),
    leftOut: read.flatMap(({ name, kind }) => (kind ? [] : [name])),
    machineSelectors: wordsAfter(text, /For machines, 'how' may also hold /),
    serverSelectors: wordsAfter(text, /For servers, 'how' may also hold /),
    concurrentChanges,
    restartVariants: after.filter((word) => !concurrentChanges.includes(word)),
    rollVariants: /for roll_term, busy\b/.test(text) ? ["busy"] : [],
    partitionVariants: wordsAfter(text, /unless 'how' holds /),
    closingFaults: (/kind = ([\w |]+)/.exec(closing)?.[1] ?? "")
      .split("|")
      .map((word) => word.trim())
      .filter((word) => word !== ""),
    closingVariants: [...closing.matchAll(/how (\w+):/g)].map((found) => found[1] ?? ""),
  });
};
