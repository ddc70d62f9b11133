/** Draws a schedule from a seed: the same seed, deployment and options give the same schedule. */
import { SECOND_US } from "../src/common/duration.js";
import { generateChanges } from "./change-generator.js";
import { FaultGenerator } from "./fault-generator.js";
import { deploymentOf, type Schedule, type ScheduleOptions } from "./schedule.js";
import { SeededRandom } from "./seeded-random.js";

const PADDING_BYTES = 12_000;
const MAX_CALM_US = 40 * SECOND_US;

export const generateSchedule = (
  seed: number,
  deploymentName: string,
  options: ScheduleOptions,
): Schedule => {
  const random = new SeededRandom(seed);
  const deployment = deploymentOf(deploymentName);
  const changes = generateChanges(random.fork(), deployment, MAX_CALM_US).sort(
    (one, other) => one.atUs - other.atUs,
  );
  const { events, calmUs } = new FaultGenerator(
    random.fork(),
    deployment,
    options,
    changes,
  ).generate();
  const paddingBytes = random.occurs(0.15) ? PADDING_BYTES : 0;
  return {
    seed,
    deployment: deploymentName,
    exceedsTolerance: options.exceedsTolerance,
    paddingBytes,
    calmUs,
    events: [...events, ...changes.filter(({ atUs }) => atUs < calmUs)].sort(
      (one, other) => one.atUs - other.atUs,
    ),
  };
};
