/**
 * `npm run key-repair`: measures what it takes to make a replica whole again that lost its disk
 * with all idempotency keys and responses. The replicas share a process, so processor time is that
 * of the returning one and of those that it copies from together. The clock follows real time;
 * messages take none, so that the time is that of processors, disk and the rate limit.
 */
import { writeFile } from "node:fs/promises";
import { Command } from "commander";
import { ReplicaCluster } from "../features/support/replica-cluster.js";
import { bodyCopies, isHolder } from "../src/idempotency/response-placement.js";

const CONTROLLERS = 5;
const WITHSTAND = 2;
const DISK_BYTES = 1_000_000_000;
const LOST = "b1";
const MAX_WAIT_US = 120_000_000;
const SETTLE_US = 6_000_000;
const PERIOD_US = 300_000;
const POLL_MS = 1;
const KEYS_PER_BATCH = 500;
const US_PER_MS = 1_000;

interface RepairMeasurement {
  readonly keys: number;
  readonly bodyBytes: number;
  readonly bodiesCopied: number;
  readonly votingAfterMs: number;
  readonly wholeAfterMs: number;
  readonly processorMs: number;
}

/** Puts keys with responses into the tables, as if they had been claimed and completed. */
const fill = async (cluster: ReplicaCluster, keys: number, bodyBytes: number): Promise<void> => {
  const copies = bodyCopies(cluster.ids, WITHSTAND);
  for (let from = 0; from < keys; from += KEYS_PER_BATCH)
    await Promise.all(
      Array.from({ length: Math.min(KEYS_PER_BATCH, keys - from) }, (_, at) => {
        const key = `host.example\nk-${from + at}`;
        const answer = { status: 200, heads: ["Yewreel-Server-Seal", `seal of ${key}`] };
        const body = Buffer.alloc(bodyBytes, key);
        return Promise.all(
          cluster.ids.map((id) =>
            cluster.member(id).keyTable.complete(key, "token-of-the-attempt", {
              ...answer,
              body: isHolder(key, id, cluster.ids, copies) ? body : undefined,
            }),
          ),
        );
      }),
    );
};

const measure = async (keys: number, bodyBytes: number): Promise<RepairMeasurement> => {
  const ids = Array.from({ length: CONTROLLERS }, (_, at) => `b${at + 1}`);
  const cluster = new ReplicaCluster(ids, WITHSTAND, DISK_BYTES);
  try {
    await cluster.startAll();
    await cluster.makeVoters(ids);
    await cluster.runBackground(SETTLE_US);
    await fill(cluster, keys, bodyBytes);
    await cluster.wipe(LOST);
    const { keys: replication, keyTable } = await cluster.start(LOST, false);
    const startedUs = cluster.clock.nowUs();
    const usage = process.cpuUsage();
    let votingUs = 0;
    const expected = countHeld(cluster, keys);
    const member = cluster.member(LOST);
    let lastMs = performance.now();
    let nextPeriodUs = startedUs;
    while (cluster.clock.nowUs() - startedUs < MAX_WAIT_US) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      const nowMs = performance.now();
      await cluster.clock.pass(Math.round((nowMs - lastMs) * US_PER_MS));
      lastMs = nowMs;
      if (cluster.clock.nowUs() >= nextPeriodUs) {
        nextPeriodUs += PERIOD_US;
        if (!member.store.isVoting) void member.store.read();
        void replication.catchUp();
        replication.repair.runIfDue();
      }
      if (votingUs === 0 && replication.isVoting) votingUs = cluster.clock.nowUs() - startedUs;
      if (replication.repair.copiedCount >= expected && replication.isVoting) break;
    }
    const { user, system } = process.cpuUsage(usage);
    return {
      keys,
      bodyBytes,
      bodiesCopied: keyTable.responseCounts.withBody,
      votingAfterMs: votingUs / US_PER_MS,
      wholeAfterMs: (cluster.clock.nowUs() - startedUs) / US_PER_MS,
      processorMs: Math.round((user + system) / US_PER_MS),
    };
  } finally {
    await cluster.removeAll();
  }
};

/** Number of bodies that the lost replica must hold. */
const countHeld = ({ ids }: ReplicaCluster, keys: number): number => {
  const copies = bodyCopies(ids, WITHSTAND);
  return Array.from({ length: keys }, (_, at) => `host.example\nk-${at}`).filter((key) =>
    isHolder(key, LOST, ids, copies),
  ).length;
};

await new Command("key-repair")
  .description("measures the repair of a replica that lost its keys and responses")
  .argument("<size...>", "number of keys and bytes of a body, such as 8000x5000")
  .option("--out <file>", "file for the results")
  .action(async (sizes: string[], { out }: { out?: string }) => {
    const results: RepairMeasurement[] = [];
    for (const size of sizes) {
      const [keys = 0, bodyBytes = 0] = size.split("x").map(Number);
      const result = await measure(keys, bodyBytes);
      results.push(result);
      process.stdout.write(`${JSON.stringify(result)}\n`);
    }
    if (out !== undefined) await writeFile(out, `${JSON.stringify(results, undefined, 1)}\n`);
  })
  .parseAsync();
