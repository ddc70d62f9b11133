import { asList, asRec, text, whole, type Rec } from "./decode.js";

/** A service that a route sends to, and how much of the route's traffic. */
export interface Share {
  readonly service: string;
  readonly share: number;
}

/** The services of a route's `then`: its shares, or its one service with all of it. */
export const readShares = (then: Rec): readonly Share[] =>
  then["shares"] === undefined
    ? [{ service: text(then, "service"), share: 1 }]
    : asList(then["shares"], "shares").map((value) => ({
        service: text(asRec(value), "service"),
        share: whole(asRec(value), "share"),
      }));

/** The service with the largest share. */
export const mainOf = (shares: readonly Share[]): string =>
  [...shares].sort((a, b) => b.share - a.share)[0]?.service ?? "";
