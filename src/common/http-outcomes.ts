/** The single table of HTTP outcomes, for responses to clients, workers and operators alike. */
export interface HttpOutcome {
  readonly status: number;
  readonly problem: string;
  /**
   * Whether to send `Retry-After`. It guarantees that the request was not and will not be executed,
   * so that it can safely be retried.
   */
  readonly retryAfter: boolean;
  readonly closesConnection: boolean;
}

const outcome = (
  status: number,
  problem: string,
  isRetryable = false,
  closesConnection = false,
): HttpOutcome => ({
  status,
  problem,
  retryAfter: isRetryable,
  closesConnection,
});

/**
 * Each outcome with its status, its problem text, whether the client is told to retry later, and
 * whether the connection is closed.
 */
export const HTTP_OUTCOMES = {
  taken: outcome(200, ""),
  unreadable: outcome(400, "unreadable"),
  wrong: outcome(400, "wrong"),
  malformed: outcome(400, "malformed", false, true),
  unknownApiKey: outcome(401, "a known API key is wanted"),
  unknownRoute: outcome(404, "no such route"),
  unknownCall: outcome(404, "no such call"),
  unknownZone: outcome(404, "no such zone"),
  unknownRollout: outcome(404, "no such split route"),
  staleVersion: outcome(409, "not the version in force"),
  versionTaken: outcome(409, "the version is agreed with another content"),
  notStopped: outcome(409, "nothing is stopped there"),
  noKey: outcome(400, "an operation key of 1 to 200 signs is wanted"),
  noShardKey: outcome(400, "a shard key from 0 to 65535 is wanted"),
  noTryId: outcome(400, "a Yewreel-Try-Id is wanted"),
  keyAtWork: outcome(409, "the key is at work"),
  pastTheEnd: outcome(416, "past the end"),
  unknownWindow: outcome(404, "no such window"),
  refusedOrder: outcome(409, "refused"),
  noPlan: outcome(503, "no plan yet", true),
  staleConfiguration: outcome(503, "a newer configuration is on its way", true),
  full: outcome(503, "full", true),
  noRate: outcome(503, "the origin's rate is spent", true),
  adrift: outcome(503, "cut off from the majority", true),
  responseUnavailable: outcome(503, "the stored answer can't be fetched now", true),
  noQuorum: outcome(503, "no quorum", true),
  noMajority: outcome(503, "no majority", true),
  slowHead: outcome(408, "the head took too long", false, true),
  slowBody: outcome(408, "the body took too long", false, true),
  bodyTooLarge: outcome(413, "the body is too large", false, true),
  headTooLarge: outcome(431, "the head is too large", false, true),
  lostAnswer: outcome(502, "the answer was lost"),
  tooLate: outcome(504, "out of time"),
} as const satisfies Readonly<Record<string, HttpOutcome>>;

/** The name of an outcome. */
export type OutcomeName = keyof typeof HTTP_OUTCOMES;

const isName = (name: string): name is OutcomeName => name in HTTP_OUTCOMES;
/** All outcome names, in the order of the table. */
export const OUTCOME_NAMES: readonly OutcomeName[] = Object.keys(HTTP_OUTCOMES).filter(isName);
