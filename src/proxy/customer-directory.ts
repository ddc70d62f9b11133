/** The customers of the data plane, by digest of their API keys, kept up to date by updates. */
import { digestApiKey } from "../common/api-key-digest.js";
import {
  asRecord,
  asString,
  parseJson,
  readList,
  readNumber,
  readString,
} from "../common/decode.js";
import { CUSTOMER_PREFIX, type Update } from "../membership/update-store.js";

/** A customer, whose requests carry one of its API keys. */
export interface Customer {
  readonly name: string;
  /** Priority of the customer's requests, before that of their route; 0 is the highest. */
  readonly rank: number;
  readonly keyDigests: readonly string[];
}

const readCustomer = (item: string): Customer => {
  const record = asRecord(parseJson(item));
  return {
    name: readString(record, "name"),
    rank: record["rank"] === undefined ? 0 : readNumber(record, "rank"),
    keyDigests: readList(record, "keyDigests", asString),
  };
};

/**
 * Finds customers by API key. While a key moves between customers, their updates may arrive in any
 * order: the one applied last holds the key, and an update only takes away what its own customer
 * holds.
 */
export class CustomerDirectory {
  private readonly customers = new Map<string, Customer>();
  private readonly byDigest = new Map<string, Customer>();

  /** The number of customers. Requests need an API key if there are any. */
  get size(): number {
    return this.customers.size;
  }

  /** Returns the customer that holds an API key. */
  readonly find = (apiKey: string): Customer | undefined => this.byDigest.get(digestApiKey(apiKey));

  /** Applies updates of customers; other updates are ignored. */
  readonly applyUpdates = (updates: readonly Update[]): void =>
    updates
      .filter(({ key }) => key.startsWith(CUSTOMER_PREFIX))
      .forEach(({ key, body }) => {
        this.remove(key);
        if (body["dropped"] !== true) this.add(key, readCustomer(readString(body, "item")));
      });

  private readonly add = (key: string, customer: Customer): void => {
    this.customers.set(key, customer);
    customer.keyDigests.forEach((digest) => this.byDigest.set(digest, customer));
  };

  private readonly remove = (key: string): void => {
    const customer = this.customers.get(key);
    customer?.keyDigests
      .filter((digest) => this.byDigest.get(digest) === customer)
      .forEach((digest) => this.byDigest.delete(digest));
    this.customers.delete(key);
  };
}
