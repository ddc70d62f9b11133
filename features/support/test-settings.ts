/** Settings of the programs that scenarios run in this process. */
import type { Settings } from "../../src/common/settings.js";

/** The settings in which programs differ. */
export interface TestProgram {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  /** The port of the controllers; the next one is that of the relays. */
  readonly peerPort: number;
  readonly controlPort: number;
  readonly frontPort: number;
  readonly controllerIps: readonly string[];
  readonly withstandMachines: number;
}

/** Returns the settings of a program without a data folder. */
export const testSettings = (program: TestProgram): Settings => {
  const { name, ip, zone, peerPort, controlPort, frontPort, withstandMachines } = program;
  return {
    name,
    zone,
    ip,
    peerPort,
    relayPort: peerPort + 1,
    seedNodes: program.controllerIps.map((controller) => `${controller}:${controlPort}`),
    firstRun: true,
    heartbeatUs: 1_500_000,
    drainUs: 2_000_000,
    graceUs: 1_000_000,
    applyUs: 2_000_000,
    contactUs: 3_000_000,
    confirmUs: 4_000_000,
    retryWindowUs: 10_000_000,
    dataFolder: "",
    logLevel: "silent",
    front: `${ip}:${frontPort}`,
    ready: `${ip}:${frontPort + 1}`,
    control: `${ip}:${controlPort}`,
    memoryMb: 300,
    fileHandles: 1_000,
    withstandMachines,
    retryRatio: 0.2,
    retrySlack: 50,
    deployment: "",
    diskMb: 64,
    linkMbps: 0,
    regions: new Map(),
    stretchUs: 5_000_000,
    keyWindowUs: 60_000_000,
    purgeUs: 2_000_000,
    staleSlackUs: 2_000_000,
    ceilingWindowUs: 5_000_000,
    ceilingExcess: 1.1,
    holdMaxUs: 10_000_000,
    warmUpTolerance: { excess: 1.5, slack: 8 },
    metrics: new Map(),
    forecastActs: false,
    rolloutWeights: { late: 0.3, lostSafe: 1, lostUnsafe: 2, doubled: 5 },
  };
};
