import { asList, asRecord, readString, readNumber, type UnknownRecord } from "./decode.js";

/** A service that a route sends to, and how much of the route's traffic. */
export interface WeightedService {
  readonly service: string;
  readonly share: number;
}

/** The services of a route's `then`: its shares, or its one service with all of it. */
export const readWeightedServices = (then: UnknownRecord): readonly WeightedService[] =>
  then["shares"] === undefined
    ? [{ service: readString(then, "service"), share: 1 }]
    : asList(then["shares"], "shares").map((value) => ({
        service: readString(asRecord(value), "service"),
        share: readNumber(asRecord(value), "share"),
      }));

/** The service with the largest share. */
export const mainOf = (shares: readonly WeightedService[]): string =>
  [...shares].sort((a, b) => b.share - a.share)[0]?.service ?? "";
