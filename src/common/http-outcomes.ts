/**
 * The one table of outcomes: what each is answered with, to callers, workers and operators alike.
 */
export interface HttpOutcome {
  readonly status: number;
  readonly problem: string;
  /**
   * Whether it promises that the request has not run and never will, and so says when to come back.
   */
  readonly retryAfter: boolean;
  readonly closes: boolean;
}

const row = (status: number, problem: string, comeBack = false, closes = false): HttpOutcome => ({
  status,
  problem,
  retryAfter: comeBack,
  closes,
});

/**
 * Each outcome with its status, its problem text, whether it asks the client to come back, and
 * whether it closes the connection.
 */
export const HTTP_OUTCOMES = {
  taken: row(200, ""),
  unreadable: row(400, "unreadable"),
  wrong: row(400, "wrong"),
  malformed: row(400, "malformed", false, true),
  unknownRoute: row(404, "no such route"),
  unknownCall: row(404, "no such call"),
  unknownRollout: row(404, "no such split route"),
  staleVersion: row(409, "not the version in force"),
  versionTaken: row(409, "the version is agreed with another content"),
  notStopped: row(409, "nothing is stopped there"),
  noKey: row(400, "an operation key of 1 to 200 signs is wanted"),
  noTryId: row(400, "a Yewreel-Try-Id is wanted"),
  keyAtWork: row(409, "the key is at work"),
  pastTheEnd: row(416, "past the end"),
  unknownWindow: row(404, "no such window"),
  refusedOrder: row(409, "refused"),
  noPlan: row(503, "no plan yet", true),
  staleConfiguration: row(503, "a newer configuration is on its way", true),
  full: row(503, "full", true),
  noRate: row(503, "the origin's rate is spent", true),
  adrift: row(503, "cut off from the majority", true),
  noQuorum: row(503, "no quorum", true),
  noMajority: row(503, "no majority", true),
  slowHead: row(408, "the head took too long", false, true),
  slowBody: row(408, "the body took too long", false, true),
  bodyTooLarge: row(413, "the body is too large", false, true),
  headTooLarge: row(431, "the head is too large", false, true),
  lostAnswer: row(502, "the answer was lost"),
  tooLate: row(504, "out of time"),
} as const satisfies Readonly<Record<string, HttpOutcome>>;

/** The name of a row of the table. */
export type OutcomeName = keyof typeof HTTP_OUTCOMES;

const isName = (name: string): name is OutcomeName => name in HTTP_OUTCOMES;
/** All names of the table, in its order. */
export const OUTCOME_NAMES: readonly OutcomeName[] = Object.keys(HTTP_OUTCOMES).filter(isName);
