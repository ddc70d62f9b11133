/** Messages between processes of the cluster. */
import type { UnknownRecord } from "../common/decode.js";

/**
 * A message as transferred, not yet decoded; `kind` identifies its type. Each protocol decodes its
 * own kinds into typed messages and decides how to handle unknown ones.
 */
export type Message = UnknownRecord & { readonly kind: string };
