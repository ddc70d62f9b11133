import fc from "fast-check";

/** What a worker does with one request. */
export const ACTS = [
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

export type Act = (typeof ACTS)[number];

/** What becomes of what the front says to those who keep the keys. */
export const DESK_ACTS = [
  "answered",
  "answered late",
  "lost on its way",
  "taken, and the reply lost",
] as const;
export type DeskAct = (typeof DESK_ACTS)[number];

export interface WorkerPlan {
  /** One act a request, over and over. */
  readonly acts: readonly Act[];
  readonly delayMs: number;
}

export interface RequestPlan {
  readonly kind: "safe" | "unsafe" | "keyed";
  readonly body: "none" | "small" | "long";
  readonly manner: "at once" | "chunked" | "in two parts";
  readonly leftMs: number;
  /** Requests of one key are one operation. */
  readonly key: number;
  readonly isHead: boolean;
}

export interface CallerPlan {
  readonly startMs: number;
  readonly requests: readonly RequestPlan[];
  /** All are sent without waiting for answers. */
  readonly isPipelined: boolean;
  /** It leaves so long after its start, and by a reset or in order. */
  readonly leaves: { readonly afterMs: number; readonly resets: boolean } | null;
}

export interface Scenario {
  readonly workers: readonly WorkerPlan[];
  readonly callers: readonly CallerPlan[];
  /** One act a message, over and over. */
  readonly desk: readonly DeskAct[];
  /** The front stands still while everybody else goes on. */
  readonly standstills: readonly { readonly atMs: number; readonly spanMs: number }[];
}

const request: fc.Arbitrary<RequestPlan> = fc.record({
  kind: fc.constantFrom("safe", "unsafe", "unsafe", "keyed"),
  body: fc.constantFrom("none", "small", "small", "long"),
  manner: fc.constantFrom("at once", "at once", "chunked", "in two parts"),
  leftMs: fc.integer({ min: 150, max: 2_500 }),
  key: fc.integer({ min: 1, max: 4 }),
  isHead: fc.boolean(),
});

export const scenario: fc.Arbitrary<Scenario> = fc.record({
  workers: fc.array(
    fc.record({
      acts: fc.array(
        fc.oneof(
          { weight: 1, arbitrary: fc.constant<Act>("answers") },
          { weight: 3, arbitrary: fc.constantFrom(...ACTS) },
        ),
        { minLength: 1, maxLength: 6 },
      ),
      delayMs: fc.integer({ min: 1, max: 900 }),
    }),
    { minLength: 2, maxLength: 4 },
  ),
  callers: fc.array(
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
  desk: fc.array(
    fc.oneof(
      { weight: 2, arbitrary: fc.constant<DeskAct>("answered") },
      { weight: 1, arbitrary: fc.constantFrom(...DESK_ACTS) },
    ),
    { minLength: 1, maxLength: 5 },
  ),
  standstills: fc.array(
    fc.record({
      atMs: fc.integer({ min: 5, max: 2_500 }),
      spanMs: fc.integer({ min: 300, max: 4_000 }),
    }),
    { maxLength: 2 },
  ),
});
