/** Helpers shared by the routes of the admin API: errors, responses, and request parsing. */
import type { Result } from "true-myth/result";
import type { ConfigError } from "../../config/errors.js";
import type { ReplicatedStoreError } from "../../consensus/errors.js";
import { isRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { CodedError } from "../../common/errors.js";
import type { OutcomeName } from "../../common/http-outcomes.js";
import type { ApiRequest, ApiResponse } from "../http-api.js";

/** A failed call of the admin API, with the outcome to respond with. */
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

/** Maps a configuration change that is unreadable or invalid to an API error. */
export const fromConfigError = (error: ConfigError): AdminApiError =>
  new AdminApiError(error.code === "UNREADABLE_CHANGE" ? "unreadable" : "wrong", error.message, {
    cause: error,
  });

/**
 * Maps an error of the replicated store. A change is only rejected if it can never take effect; in
 * all other cases its outcome is unknown.
 */
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
        `only ${error.responded} of ${error.needed} replicas confirmed the request`,
      );
    case "STALE_TERM":
      return withOutcome("noQuorum", "the term is stale");
    case "STALE_VOTER_SET":
      return withOutcome("noQuorum", "the voter set is stale");
    case "UNCLEAR_OUTCOME":
      return withOutcome("noQuorum", error.message);
  }
};

/** Builds the response to a failed call; `problem` tells the operator why. */
export const failureResponse = (outcome: OutcomeName, problem: string): ApiResponse => ({
  outcome,
  body: { problem },
});

/** Builds the response to a call with invalid arguments. */
export const badRequest = (problem: string): ApiResponse => failureResponse("wrong", problem);

/** Converts the result of a call to a response. */
export const toApiResponse = (result: Result<UnknownRecord, AdminApiError>): ApiResponse =>
  result.isOk
    ? { outcome: "taken", body: result.value }
    : failureResponse(result.error.outcome, result.error.message);

/**
 * Parses the body as a JSON object. Anything else yields an empty object, so that the caller
 * reports the missing fields.
 */
export const readBody = (request: ApiRequest): UnknownRecord => {
  try {
    const value = parseJson(request.body);
    return isRecord(value) ? value : {};
  } catch {
    return {};
  }
};

/** The second segment of the path, which identifies a worker, window, route or query. */
export const pathArgument = (request: ApiRequest): string => request.segments[1] ?? "";
