/** What processes of the cluster send each other. */
import type { UnknownRecord } from "../common/decode.js";

/**
 * A message as it travels, not yet decoded; `kind` says which it is. Each protocol decodes its own
 * kinds into types of its own, and answers a kind that it doesn't know as it chooses.
 */
export type Message = UnknownRecord & { readonly kind: string };
