/**
 * Decisions published by the leader, in registers of the replicated store that are written under
 * its term.
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

/** Keys of the registers. They are stored and sent on the wire, and must not change. */
export const PUBLISHED_REGISTER = {
  ejections: "duty/ejections",
  canaries: "duty/rollouts",
  forecasts: "duty/forecast",
  windows: "duty/windows",
  retryLimits: "duty/retries",
} as const;

type PublishedKey = (typeof PUBLISHED_REGISTER)[keyof typeof PUBLISHED_REGISTER];

/** Reads the published state from the local replica and, on the leader, updates it. */
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

  /** The stored retry limits, not yet decoded; undefined if none were ever stored. */
  readonly retryLimits = (): unknown =>
    this.read<unknown>(PUBLISHED_REGISTER.retryLimits, (value) => value, undefined);

  /**
   * The zone drained by a maintenance window, or empty. Its relays and controller do not serve
   * nodes of other zones.
   */
  readonly drainedZone = (): string => {
    const { shift } = this.ejections();
    return shift?.cause === "window" && shift.unsafeShare === 1 ? shift.zone : "";
  };

  /**
   * Persists a decision under the leader's term, provided that the local state that it is based on
   * is still current.
   *
   * @returns false if that state or the term is outdated, or no quorum answered
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
