import { asRecord, parseJson } from "../common/decode.js";
import { serviceWithLargestShare, readWeightedServices } from "../common/weighted-split.js";
import { parseDuration } from "../common/duration.js";
import type { SplitRoute } from "./canary-state.js";

interface KnownRoute {
  readonly version: number;
  readonly primary: string;
  readonly split: SplitRoute | undefined;
  readonly deadlineUs: number;
}

/**
 * Tracks the routes of the configuration: which ones are split, their request deadlines, and the
 * service with the largest share in each route's previous version.
 */
export class SplitRoutes {
  private readonly routes = new Map<string, KnownRoute>();
  private readonly previousPrimaries = new Map<string, string>();

  readonly applyRoute = (name: string, version: number, body: string): void => {
    const before = this.routes.get(name);
    if (before && before.version >= version) return;
    if (before) this.previousPrimaries.set(name, before.primary);
    if (body === "") {
      this.routes.delete(name);
      this.previousPrimaries.delete(name);
    } else this.routes.set(name, readRoute(name, version, body));
  };

  readonly all = (): readonly SplitRoute[] =>
    [...this.routes.values()].flatMap((route) => route.split ?? []);

  /** The longest request deadline of all routes. */
  readonly longestDeadlineUs = (): number =>
    [...this.routes.values()].reduce((longest, { deadlineUs }) => Math.max(longest, deadlineUs), 0);

  readonly previousPrimary = (name: string): string | undefined => this.previousPrimaries.get(name);
}

const readRoute = (name: string, version: number, body: string): KnownRoute => {
  const rule = asRecord(asRecord(parseJson(body))["rule"], "rule");
  const action = asRecord(rule["then"], "then");
  const shares = readWeightedServices(action);
  const split =
    shares.length > 1 ? { name, version, isSafe: rule["routeKind"] === "safe", shares } : undefined;
  return {
    version,
    primary: serviceWithLargestShare(shares),
    split,
    deadlineUs: parseDuration(action["giveUp"]).unwrapOr(0),
  };
};
