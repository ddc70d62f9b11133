/** The limits during warm-up that the committed configuration states, by service. */
import { isServiceKey, serviceKey } from "../../config/config-keys.js";
import type { Register } from "../../consensus/register.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { readWarmUpLimit, type WarmUpLimit } from "../../membership/warm-up.js";
import { asRecord, parseJson } from "../../common/decode.js";

/** Reads the limits from the services' registers. */
export class ServiceWarmUps {
  /** Limits by register, since a register never changes. */
  private readonly limits = new WeakMap<Register, { readonly limit: WarmUpLimit | undefined }>();

  constructor(private readonly store: Pick<ReplicatedStore, "get" | "committedRegisters">) {}

  /** The limit of a service; undefined if it is unknown or states none. */
  readonly limitOf = (service: string): WarmUpLimit | undefined => {
    const register = this.store.get(serviceKey(service));
    return register && !register.dropped ? this.read(register) : undefined;
  };

  /** The longest warm-up of any service, in microseconds. */
  readonly longestUs = (): number =>
    this.store
      .committedRegisters()
      .filter(({ key, dropped }) => isServiceKey(key) && !dropped)
      .reduce((longest, register) => Math.max(longest, this.read(register)?.durationUs ?? 0), 0);

  private readonly read = (register: Register): WarmUpLimit | undefined => {
    const known = this.limits.get(register);
    if (known) return known.limit;
    const limit = readWarmUpLimit(asRecord(parseJson(register.body)));
    this.limits.set(register, { limit });
    return limit;
  };
}
