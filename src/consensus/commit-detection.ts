/**
 * Determines from the views of several replicas which entries are committed and which are
 * undecided.
 */
import { higherBallot, isSameBallot, NO_BALLOT } from "./ballot.js";
import { bucketOf } from "./bucket-hashes.js";
import type { EntryReport } from "./message-types.js";
import type { Entry } from "./record-codec.js";
import { committedEntry } from "./replica.js";
import type { ReplicaView } from "./replica-view.js";
import { quorumSize } from "./voter-set.js";

/** The views that were read, and the sets of members whose quorums decide. */
export interface CommitDetectionInput {
  readonly self: string;
  readonly keys: Iterable<string>;
  /** The reader's entries at the time of its request. */
  readonly ownEntries: ReadonlyMap<string, Entry>;
  /** By member id; includes the reader's own view if it votes. */
  readonly views: ReadonlyMap<string, ReplicaView>;
  readonly quorumSets: readonly (readonly string[])[];
  readonly withstandMachines: number;
}

/** Result of {@link detectCommitted}. */
export interface CommitDetection {
  readonly committed: readonly Entry[];
  /** Keys whose newest proposal may or may not be committed. */
  readonly undecided: readonly string[];
}

/**
 * A report and the replica that gave it. The id is empty for the entries of a non-voting reader.
 */
interface AttributedReport {
  readonly id: string;
  readonly report: EntryReport;
}

const reportOf = (
  id: string,
  view: ReplicaView,
  key: string,
  own: Entry | undefined,
  self: string,
): EntryReport | undefined => {
  if (id === self) return own;
  const report = view.reports.get(key);
  if (report) return report;
  return own && view.equalBuckets.has(bucketOf(key))
    ? { ...own, isAccepted: false, isCommitted: false }
    : undefined;
};

const attributedReportsOf = (
  key: string,
  { self, ownEntries, views }: CommitDetectionInput,
): readonly AttributedReport[] => {
  const own = ownEntries.get(key);
  const reports = [...views].flatMap(([id, view]): AttributedReport[] => {
    const report = reportOf(id, view, key, own, self);
    return report ? [{ id, report }] : [];
  });
  return own && !views.has(self)
    ? [...reports, { id: "", report: { ...own, isAccepted: false } }]
    : reports;
};

/**
 * Whether a replica knows the proposal to be committed, or a quorum of each set has accepted it.
 */
const isCommittedBy = (
  newest: readonly AttributedReport[],
  { quorumSets, withstandMachines }: CommitDetectionInput,
): boolean => {
  if (newest.some(({ report }) => report.isCommitted)) return true;
  const acceptors = new Set(newest.filter(({ report }) => report.isAccepted).map(({ id }) => id));
  return quorumSets.every(
    (members) =>
      members.filter((id) => acceptors.has(id)).length >= quorumSize(members, withstandMachines),
  );
};

/** Classifies each key by the reports at its highest ballot. */
export const detectCommitted = (input: CommitDetectionInput): CommitDetection => {
  const committed: Entry[] = [];
  const undecided: string[] = [];
  for (const key of input.keys) {
    const reports = attributedReportsOf(key, input);
    const ballot = reports.reduce(
      (highest, { report }) => higherBallot(highest, report.ballot),
      NO_BALLOT,
    );
    if (ballot.number === 0) continue;
    const newest = reports.filter(({ report }) => isSameBallot(report.ballot, ballot));
    if (!isCommittedBy(newest, input)) {
      undecided.push(key);
      continue;
    }
    const own = input.ownEntries.get(key);
    if (own && isSameBallot(own.ballot, ballot)) {
      committed.push(committedEntry(key, ballot, own.register));
      continue;
    }
    for (const { report } of newest) {
      if (report.register === "unchanged") continue;
      committed.push(committedEntry(key, ballot, report.register));
      break;
    }
  }
  return { committed, undecided };
};
