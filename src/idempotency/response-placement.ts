/**
 * Placement of response bodies. Each body is stored at `withstandMachines + 1` members, which every
 * replica derives alike from the key and the voter set, so that no replica has to record who holds
 * what.
 */
import { rendezvousWeight } from "../common/rendezvous.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";

/** The members that will form the voter set once it is no longer joint. */
export const targetMembers = (store: ReplicatedStore): readonly string[] =>
  store.voterSet().members;

/** Number of copies of a body that survive the loss of `withstandMachines` machines at once. */
export const bodyCopies = (members: readonly string[], withstandMachines: number): number =>
  Math.min(members.length, withstandMachines + 1);

/** The members in the order in which they are chosen to hold the body of a key's response. */
export const rankHolders = (key: string, members: readonly string[]): readonly string[] =>
  members
    .map((id) => ({ id, weight: rendezvousWeight(key, id) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);

/** Whether a member must hold the body of a key's response. */
export const isHolder = (
  key: string,
  id: string,
  members: readonly string[],
  copies: number,
): boolean => rankHolders(key, members).slice(0, copies).includes(id);
