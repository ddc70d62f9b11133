/** Generates a schedule deterministically from a seed, a deployment and options. */
import { SECOND_US } from "../src/common/duration.js";
import { generateChanges, generateCustomerChanges } from "./change-generator.js";
import { FaultGenerator } from "./fault-generator.js";
import { deploymentOf, type Schedule, type ScheduleOptions } from "./schedule.js";
import { SeededRandom } from "./seeded-random.js";

const PADDING_BYTES = 12_000;
const CHANGES_END_US = 40 * SECOND_US;

export const generateSchedule = (
  seed: number,
  deploymentName: string,
  options: ScheduleOptions,
): Schedule => {
  const random = new SeededRandom(seed);
  const deployment = deploymentOf(deploymentName);
  const changes = generateChanges(random.fork(), deployment, CHANGES_END_US).sort(
    (one, other) => one.atUs - other.atUs,
  );
  const { events, faultsEndUs } = new FaultGenerator(
    random.fork(),
    deployment,
    options,
    changes,
  ).generate();
  const paddingBytes = random.occurs(0.15) ? PADDING_BYTES : 0;
  const customerChanges = generateCustomerChanges(random.fork(), deployment, CHANGES_END_US);
  return {
    seed,
    deployment: deploymentName,
    exceedsTolerance: options.exceedsTolerance,
    paddingBytes,
    faultsEndUs,
    events: [
      ...events,
      ...[...changes, ...customerChanges].filter(({ atUs }) => atUs < faultsEndUs),
    ].sort((one, other) => one.atUs - other.atUs),
  };
};
