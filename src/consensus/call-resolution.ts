/**
 * Determines the current entries of some keys from the promises of a quorum, where calls with
 * several items may have been accepted by only a minority.
 *
 * Replicas accept the items of a call together or not at all, so a call was committed for all of
 * its items or for none. If another proposal has a higher ballot under one of the items and was not
 * made on top of the call, then a quorum had promised that ballot without having accepted the call.
 * The call was therefore not committed, and it never will be, because this quorum has promised a
 * ballot above it. Its items are discarded, and the entries before them apply. Anything that cannot
 * be determined is treated as possibly committed.
 */
import { isHigherBallot, NO_BALLOT, type Ballot } from "./ballot.js";
import type { EntryReport, PrepareResponse } from "./message-types.js";
import { ballotIdOf, type ItemSummary, type ProposedCall } from "./proposal-history.js";
import type { PastVersion, Register } from "./register.js";

/** Result of evaluating the promises of a quorum. */
export type CallResolution =
  /** The keys belong to the same calls as the prepared ones and must be prepared too. */
  | { readonly kind: "incomplete"; readonly missingKeys: readonly string[] }
  /** The current entry of each key for which anything is known. */
  | { readonly kind: "resolved"; readonly found: ReadonlyMap<string, EntryReport> };

/** A proposal for one key, merged from all reports of it. */
interface Candidate {
  readonly ballot: Ballot;
  readonly register: Register | undefined;
  readonly isCommitted: boolean;
  /**
   * Whether every replica that reported it knows it to be committed, or has accepted it and still
   * knows its call and the entries before it.
   */
  readonly isTraceable: boolean;
}

/** The candidates for a key by ballot. */
type Candidates = Map<string, Candidate>;

const isTraceableBy = (
  { key, ballot, isAccepted, isCommitted }: EntryReport,
  { history }: PrepareResponse,
): boolean =>
  isCommitted ||
  (isAccepted &&
    history !== undefined &&
    !history.forgottenKeys.includes(key) &&
    history.calls.some((call) => ballotIdOf(call.ballot) === ballotIdOf(ballot)));

const addCandidate = (candidates: Candidates, report: EntryReport, isTraceable: boolean): void => {
  if (report.register === "unchanged") return;
  const ballotId = ballotIdOf(report.ballot);
  const known = candidates.get(ballotId);
  candidates.set(ballotId, {
    ballot: report.ballot,
    register: report.register,
    isCommitted: report.isCommitted || known?.isCommitted === true,
    isTraceable: isTraceable && known?.isTraceable !== false,
  });
};

const collectCandidates = (
  responses: readonly PrepareResponse[],
): ReadonlyMap<string, Candidates> => {
  const byKey = new Map<string, Candidates>();
  responses.forEach((response) => {
    [...response.entries, ...(response.history?.earlier ?? [])].forEach((report) => {
      const candidates = byKey.get(report.key) ?? new Map<string, Candidate>();
      addCandidate(candidates, report, isTraceableBy(report, response));
      byKey.set(report.key, candidates);
    });
  });
  return byKey;
};

const highestOf = (candidates: Candidates | undefined): Candidate | undefined =>
  [...(candidates?.values() ?? [])].reduce<Candidate | undefined>(
    (highest, candidate) =>
      highest && !isHigherBallot(candidate.ballot, highest.ballot) ? highest : candidate,
    undefined,
  );

/**
 * Whether a register was made on top of the call's write to the same key, as far as its retained
 * versions show.
 */
const isBuiltOn = (register: Register | undefined, summary: ItemSummary | undefined): boolean => {
  if (!summary) return true;
  if (!register) return false;
  const known = new Map([...register.past, [register.version, register.digest]]);
  const writtenVersions: readonly PastVersion[] = [
    ...summary.past,
    [summary.version, summary.digest],
  ];
  return writtenVersions.every(
    ([version, digest]) => version < register.pastFrom || known.get(version) === digest,
  );
};

/** Evaluates the candidates for some keys and the calls that they belong to. */
class Resolver {
  private readonly candidates: ReadonlyMap<string, Candidates>;
  private readonly calls: ReadonlyMap<string, ProposedCall>;

  constructor(
    private readonly keys: ReadonlySet<string>,
    responses: readonly PrepareResponse[],
  ) {
    this.candidates = collectCandidates(responses);
    this.calls = new Map(
      responses
        .flatMap(({ history }) => history?.calls ?? [])
        .map((call) => [ballotIdOf(call.ballot), call]),
    );
  }

  readonly resolve = (): CallResolution => {
    for (;;) {
      const calls = this.uncommittedCalls();
      const missingKeys = calls
        .flatMap(({ items }) => [...items.keys()])
        .filter((key) => !this.keys.has(key));
      if (missingKeys.length > 0)
        return { kind: "incomplete", missingKeys: [...new Set(missingKeys)] };
      const superseded = calls.find(this.wasSuperseded);
      if (!superseded) return { kind: "resolved", found: this.newestEntries() };
      this.discardCall(superseded);
    }
  };

  /** The calls of the newest proposals that are not known to be committed, highest ballot first. */
  private readonly uncommittedCalls = (): readonly ProposedCall[] => {
    const pending = new Set<ProposedCall>();
    this.candidates.forEach((candidates) => {
      const newest = highestOf(candidates);
      const call = newest && this.calls.get(ballotIdOf(newest.ballot));
      if (call && !newest.isCommitted) pending.add(call);
    });
    return [...pending].sort((one, other) => (isHigherBallot(one.ballot, other.ballot) ? -1 : 1));
  };

  private readonly wasSuperseded = ({ ballot, items }: ProposedCall): boolean => {
    const own = [...items.keys()].flatMap(
      (key) => this.candidates.get(key)?.get(ballotIdOf(ballot)) ?? [],
    );
    if (own.some(({ isCommitted, isTraceable }) => isCommitted || !isTraceable)) return false;
    return [...items].some(([key, summary]) => {
      const newest = highestOf(this.candidates.get(key));
      return (
        newest !== undefined &&
        isHigherBallot(newest.ballot, ballot) &&
        !isBuiltOn(newest.register, summary)
      );
    });
  };

  private readonly discardCall = ({ ballot, items }: ProposedCall): void =>
    [...items.keys()].forEach((key) => this.candidates.get(key)?.delete(ballotIdOf(ballot)));

  /**
   * The newest candidate of each key. A key without candidates is reported as empty, and this empty
   * state must be accepted anew.
   */
  private readonly newestEntries = (): ReadonlyMap<string, EntryReport> =>
    new Map(
      [...this.candidates].map(([key, candidates]) => {
        const newest = highestOf(candidates);
        return [
          key,
          {
            key,
            ballot: newest?.ballot ?? NO_BALLOT,
            isAccepted: false,
            isCommitted: newest?.isCommitted ?? false,
            register: newest?.register,
          },
        ];
      }),
    );
}

/**
 * Determines the current entries of the prepared keys.
 *
 * @param keys - all keys for which the ballot was promised
 * @param responses - the promises of a quorum, with omitted registers filled in
 */
export const resolveCalls = (
  keys: ReadonlySet<string>,
  responses: readonly PrepareResponse[],
): CallResolution => new Resolver(keys, responses).resolve();
