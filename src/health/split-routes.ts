import { asRecord, parseJson } from "../common/decode.js";
import { mainOf, readWeightedServices } from "../common/weighted-split.js";
import { parseDuration } from "../common/duration.js";
import type { SplitRoute } from "./canary-state.js";

interface Seen {
  readonly version: number;
  readonly main: string;
  readonly split: SplitRoute | undefined;
  readonly giveUpUs: number;
}

/**
 * Follows the routes of the plan: which are split now, how long their requests may take, and which
 * service each sent the most to before.
 */
export class SplitRoutes {
  private readonly seen = new Map<string, Seen>();
  private readonly mainsBefore = new Map<string, string>();

  readonly applyRoute = (name: string, version: number, body: string): void => {
    const before = this.seen.get(name);
    if (before && before.version >= version) return;
    if (before) this.mainsBefore.set(name, before.main);
    if (body === "") {
      this.seen.delete(name);
      this.mainsBefore.delete(name);
    } else this.seen.set(name, readSeen(name, version, body));
  };

  readonly all = (): readonly SplitRoute[] =>
    [...this.seen.values()].flatMap((seen) => seen.split ?? []);

  /** For how long a request may be under way, by the longest of all routes. */
  readonly longestDeadlineUs = (): number =>
    [...this.seen.values()].reduce((longest, { giveUpUs }) => Math.max(longest, giveUpUs), 0);

  readonly previousPrimary = (name: string): string | undefined => this.mainsBefore.get(name);
}

const readSeen = (name: string, version: number, body: string): Seen => {
  const rule = asRecord(asRecord(parseJson(body))["rule"], "rule");
  const then = asRecord(rule["then"], "then");
  const shares = readWeightedServices(then);
  const split =
    shares.length > 1 ? { name, version, isSafe: rule["routeKind"] === "safe", shares } : undefined;
  return {
    version,
    main: mainOf(shares),
    split,
    giveUpUs: parseDuration(then["giveUp"]).unwrapOr(0),
  };
};
