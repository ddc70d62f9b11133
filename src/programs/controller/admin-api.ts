/** What the routes of the admin API share: errors, responses, and the reading of bodies. */
import type { Result } from "true-myth/result";
import type { ConfigError } from "../../config/errors.js";
import type { ReplicatedStoreError } from "../../consensus/errors.js";
import { isRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { CodedError } from "../../common/errors.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import type { ApiRequest, ApiResponse } from "../http-api.js";

/** A call of the admin API that failed, with the outcome that it is answered with. */
export class AdminApiError extends CodedError {
  readonly code = "ADMIN_API_CALL_FAILED";

  constructor(
    readonly outcome: OutcomeName,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** A change that can't be read, or that says what can't be. */
export const fromConfigError = (error: ConfigError): AdminApiError =>
  new AdminApiError(error.code === "UNREADABLE_CHANGE" ? "unreadable" : "wrong", error.message, {
    cause: error,
  });

/** Only what can never be in force is refused; all else has no clear answer. */
export const fromStoreError = (error: ReplicatedStoreError): AdminApiError => {
  const withOutcome = (outcome: OutcomeName, message: string): AdminApiError =>
    new AdminApiError(outcome, message, { cause: error });
  switch (error.code) {
    case "VERSION_CONFLICT": {
      const item = `${error.key.replace("/", " ")} at version ${error.version}`;
      return withOutcome("versionTaken", `${item} is already agreed with another content`);
    }
    case "INVALID_WRITE":
      return withOutcome("wrong", error.message);
    case "NO_QUORUM":
      return withOutcome(
        "noQuorum",
        `only ${error.responded} of ${error.needed} copies answered well`,
      );
    case "STALE_TERM":
      return withOutcome("noQuorum", "the term is stale");
    case "STALE_VOTER_SET":
      return withOutcome("noQuorum", "the roster is stale");
    case "UNCLEAR_OUTCOME":
      return withOutcome("noQuorum", error.message);
  }
};

/** The response to a call that failed, with a sentence on why. */
export const failureResponse = (outcome: OutcomeName, problem: string): ApiResponse => ({
  outcome,
  body: { problem },
});

/** The response to a call that names what can't be. */
export const badRequest = (problem: string): ApiResponse => failureResponse("wrong", problem);

/** The response to a call that ended in `result`. */
export const toApiResponse = (result: Result<UnknownRecord, AdminApiError>): ApiResponse =>
  result.isOk
    ? { outcome: "taken", body: result.value }
    : failureResponse(result.error.outcome, result.error.message);

/**
 * The body as a JSON object; empty where it is none, so that the fields it lacks are what is
 * complained of.
 */
export const readBody = (request: ApiRequest): UnknownRecord => {
  try {
    const value = parseJson(request.body);
    return isRecord(value) ? value : {};
  } catch {
    return {};
  }
};

/** The second segment of the path: the worker, window or route that the call is about. */
export const pathArgument = (request: ApiRequest): string => request.segments[1] ?? "";
