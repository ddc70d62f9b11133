/**
 * Random scenarios: the behaviour of workers, clients and the key service, and the stalls of the
 * proxy server.
 */
import fc from "fast-check";

/** How a worker may handle a request. */
export const WORKER_ACTIONS = [
  "answers",
  "answers in pieces",
  "answers in chunks",
  "answers slowly",
  "answers large",
  "answers early",
  "answers and closes",
  "answers and doubles",
  "answers behind a hint",
  "answers behind a late one",
  "answers and doubles late",
  "answers and writes rubbish late",
  "answers and resets late",
  "fails",
  "knows nothing of it",
  "sheds",
  "limits",
  "is another",
  "fails without saying whether it ran",
  "forgets the seal",
  "tells two ids",
  "tells another id",
  "tells no id",
  "cuts the head",
  "cuts the body",
  "cuts a large body",
  "cuts its refusal",
  "loses the answer",
  "resets at the head",
  "continues unasked",
  "is silent",
] as const;

export type WorkerAction = (typeof WORKER_ACTIONS)[number];

/** What may happen to a message from the proxy server to the key service. */
export const KEY_MESSAGE_FATES = [
  "answered",
  "answered late",
  "lost on its way",
  "taken, and the reply lost",
] as const;
export type KeyMessageFate = (typeof KEY_MESSAGE_FATES)[number];

/** The behaviour of a worker. */
export interface WorkerScript {
  /** One action per request, repeated cyclically. */
  readonly actions: readonly WorkerAction[];
  readonly delayMs: number;
}

/** A request of a client. */
export interface RequestScript {
  readonly kind: "safe" | "unsafe" | "keyed";
  readonly body: "none" | "small" | "long";
  readonly sending: "at once" | "chunked" | "in two parts";
  readonly leftMs: number;
  /** Requests with the same key are one operation. */
  readonly key: number;
  readonly isHead: boolean;
}

/** The behaviour of a client on one connection. */
export interface ClientScript {
  readonly startMs: number;
  readonly requests: readonly RequestScript[];
  /** Whether all requests are sent without waiting for responses. */
  readonly isPipelined: boolean;
  /** When it disconnects after its start, and whether by a reset or an orderly close. */
  readonly leaves: { readonly afterMs: number; readonly resets: boolean } | null;
}

/** The input of a run. */
export interface Scenario {
  readonly workers: readonly WorkerScript[];
  readonly clients: readonly ClientScript[];
  /** One fate per message, repeated cyclically. */
  readonly keyMessages: readonly KeyMessageFate[];
  /** When and for how long the proxy server stalls while clients and workers continue. */
  readonly stalls: readonly { readonly atMs: number; readonly spanMs: number }[];
}

const request: fc.Arbitrary<RequestScript> = fc.record({
  kind: fc.constantFrom("safe", "unsafe", "unsafe", "keyed"),
  body: fc.constantFrom("none", "small", "small", "long"),
  sending: fc.constantFrom("at once", "at once", "chunked", "in two parts"),
  leftMs: fc.integer({ min: 150, max: 2_500 }),
  key: fc.integer({ min: 1, max: 4 }),
  isHead: fc.boolean(),
});

export const scenario: fc.Arbitrary<Scenario> = fc.record({
  workers: fc.array(
    fc.record({
      actions: fc.array(
        fc.oneof(
          { weight: 1, arbitrary: fc.constant<WorkerAction>("answers") },
          { weight: 3, arbitrary: fc.constantFrom(...WORKER_ACTIONS) },
        ),
        { minLength: 1, maxLength: 6 },
      ),
      delayMs: fc.integer({ min: 1, max: 900 }),
    }),
    { minLength: 2, maxLength: 4 },
  ),
  clients: fc.array(
    fc.record({
      startMs: fc.integer({ min: 0, max: 1_500 }),
      requests: fc.array(request, { minLength: 1, maxLength: 4 }),
      isPipelined: fc.boolean(),
      leaves: fc.option(
        fc.record({ afterMs: fc.integer({ min: 0, max: 1_200 }), resets: fc.boolean() }),
        { freq: 3 },
      ),
    }),
    { minLength: 2, maxLength: 8 },
  ),
  keyMessages: fc.array(
    fc.oneof(
      { weight: 2, arbitrary: fc.constant<KeyMessageFate>("answered") },
      { weight: 1, arbitrary: fc.constantFrom(...KEY_MESSAGE_FATES) },
    ),
    { minLength: 1, maxLength: 5 },
  ),
  stalls: fc.array(
    fc.record({
      atMs: fc.integer({ min: 5, max: 2_500 }),
      spanMs: fc.integer({ min: 300, max: 4_000 }),
    }),
    { maxLength: 2 },
  ),
});
