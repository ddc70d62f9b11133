/** Configuration items in the form in which nodes receive them. */
import { digestApiKey } from "../common/api-key-digest.js";
import { asRecord, asString, parseJson, readList } from "../common/decode.js";
import type { Register } from "../consensus/register.js";
import { CONFIG_PREFIX, CUSTOMER_PREFIX, type NewUpdate } from "../membership/update-store.js";
import { customerNameOf, isCustomerKey } from "./config-keys.js";

/** A customer with digests instead of its API keys: nodes only compare keys. */
const toCustomerItem = (body: string): string => {
  const customer = asRecord(parseJson(body));
  const { name, rank, version } = customer;
  const keyDigests = readList(customer, "apiKeys", asString).map(digestApiKey);
  return JSON.stringify({ name, rank, version, keyDigests });
};

/**
 * Converts a committed item to an update. The tie-breaker stays empty: a committed version always
 * has the same content, and a digest would make up half of a large update. Customers have a prefix
 * of their own, because nodes of earlier versions take unknown configuration items for limits.
 */
export const toConfigUpdate = ({ key, version, dropped, body }: Register): NewUpdate =>
  isCustomerKey(key)
    ? {
        key: CUSTOMER_PREFIX + customerNameOf(key),
        version,
        tie: "",
        body: { dropped, item: dropped ? "" : toCustomerItem(body) },
      }
    : { key: CONFIG_PREFIX + key, version, tie: "", body: { dropped, item: body } };
