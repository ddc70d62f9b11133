/** Digests of API keys, by which gateways recognize keys without holding them. */
import { createHash } from "node:crypto";

/** 22 characters of base64url are 132 bits. API keys are random, so no salt is needed. */
const DIGEST_LENGTH = 22;

/** Returns the digest of an API key. */
export const digestApiKey = (apiKey: string): string =>
  createHash("sha256").update(apiKey).digest("base64url").slice(0, DIGEST_LENGTH);
