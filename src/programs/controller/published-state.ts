/**
 * What the lease holder has decided and published: registers of the replicated store that are
 * written under its term.
 */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { NO_CANARIES, readCanaryState, type CanaryState } from "../../health/canary-state.js";
import { readCapacityStates, type CapacityStates } from "../../health/capacity-state.js";
import { readHealthDecisions } from "../../health/decisions-codec.js";
import { NO_DECISIONS, type HealthDecisions } from "../../health/health-decisions.js";
import type { WindowState } from "../../health/maintenance-window.js";
import { readWindows } from "../../health/windows-codec.js";
import { parseJson } from "../../common/decode.js";

/** The keys of the registers. They are stored and sent: they never change. */
export const PUBLISHED_REGISTER = {
  ejections: "duty/ejections",
  canaries: "duty/rollouts",
  forecasts: "duty/forecast",
  windows: "duty/windows",
  retryLimits: "duty/retries",
} as const;

type PublishedKey = (typeof PUBLISHED_REGISTER)[keyof typeof PUBLISHED_REGISTER];

/**
 * Reads the published state as held here, and publishes it anew where this controller holds the
 * lease.
 */
export class PublishedState {
  constructor(
    private readonly store: ReplicatedStore,
    private readonly lease: LeaderLease,
  ) {}

  readonly ejections = (): HealthDecisions =>
    this.read(PUBLISHED_REGISTER.ejections, readHealthDecisions, NO_DECISIONS);

  readonly canaries = (): CanaryState =>
    this.read(PUBLISHED_REGISTER.canaries, readCanaryState, NO_CANARIES);

  readonly forecasts = (): CapacityStates =>
    this.read(PUBLISHED_REGISTER.forecasts, readCapacityStates, {});

  readonly windows = (): WindowState => this.read(PUBLISHED_REGISTER.windows, readWindows, []);

  /** The written retry limits, still to be decoded; undefined where none were ever written. */
  readonly retryLimits = (): unknown =>
    this.read<unknown>(PUBLISHED_REGISTER.retryLimits, (value) => value, undefined);

  /**
   * The zone that a maintenance window has emptied; "" where none is. Its relays and controller
   * serve nobody elsewhere.
   */
  readonly drainedZone = (): string => {
    const { shift } = this.ejections();
    return shift?.cause === "window" && shift.unsafeShare === 1 ? shift.zone : "";
  };

  /**
   * Makes a decision, taken on the state as held here, durable under the holder's term.
   *
   * @returns false if that state or the term has been overtaken, or no quorum answered
   */
  readonly publish = async (key: PublishedKey, state: unknown): Promise<boolean> => {
    const term = this.lease.activeTerm();
    if (!term) return false;
    const expectedDigest = this.store.get(key)?.digest;
    const body = JSON.stringify(state);
    const decided = await this.store.decide(
      key,
      (current) => (current?.digest === expectedDigest ? body : undefined),
      term,
    );
    return decided.isOk && decided.value?.body === body;
  };

  private readonly read = <T>(key: PublishedKey, read: (value: unknown) => T, fallback: T): T => {
    const register = this.store.get(key);
    return register ? read(parseJson(register.body)) : fallback;
  };
}
