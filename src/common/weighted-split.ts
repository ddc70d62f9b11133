import { asList, asRecord, readString, readNumber, type UnknownRecord } from "./decode.js";

/** A target service of a route and its share of the route's traffic. */
export interface WeightedService {
  readonly service: string;
  readonly share: number;
}

/**
 * Reads the target services from the `then` of a route: either weighted shares, or a single service
 * that receives all traffic.
 */
export const readWeightedServices = (then: UnknownRecord): readonly WeightedService[] =>
  then["shares"] === undefined
    ? [{ service: readString(then, "service"), share: 1 }]
    : asList(then["shares"], "shares").map((value) => ({
        service: readString(asRecord(value), "service"),
        share: readNumber(asRecord(value), "share"),
      }));

/** Returns the name of the service with the largest share. */
export const serviceWithLargestShare = (shares: readonly WeightedService[]): string =>
  [...shares].sort((a, b) => b.share - a.share)[0]?.service ?? "";
