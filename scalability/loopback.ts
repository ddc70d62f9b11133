import type { Settings } from "../src/common/settings.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";

export const PEER_PORT = 17_500;
export const RELAY_PORT = 17_501;
export const CONTROL_PORT = 17_600;
export const FRONT_PORT = 17_601;
export const READY_PORT = 17_602;

/**
 * Second octet of the loopback addresses. Derived from the process id, so that concurrent runs use
 * different addresses; child processes inherit it through the environment.
 */
const subnet = process.env["SCALABILITY_NET"] ?? String(60 + (process.pid % 150));
process.env["SCALABILITY_NET"] = subnet;

export const controllerAddress = (at: number): string =>
  `127.${subnet}.0.${at + 1}:${CONTROL_PORT}`;
export const nodeIp = (at: number): string =>
  `127.${subnet}.${Math.floor(at / 250) + 1}.${(at % 250) + 1}`;

/** Settings of a program on loopback, with the bounds of a deployment of hundreds of machines. */
export const settingsOf = (
  name: string,
  ip: string,
  zone: string,
  controllers: number,
  dataFolder: string,
): Settings => ({
  name,
  zone,
  ip,
  peerPort: PEER_PORT,
  relayPort: RELAY_PORT,
  seedNodes: Array.from({ length: Math.min(3, controllers) }, (_none, at) => controllerAddress(at)),
  firstRun: true,
  heartbeatUs: 1_500 * MILLISECOND_US,
  dataFolder,
  deployment: "",
  logLevel: "silent",
  front: `${ip}:${FRONT_PORT}`,
  ready: `${ip}:${READY_PORT}`,
  control: `${ip}:${CONTROL_PORT}`,
  memoryMb: 1_024,
  fileHandles: 4_000,
  diskMb: 64,
  linkMbps: 0,
  regions: new Map(),
  withstandMachines: controllers >= 5 ? 2 : 1,
  drainUs: 2_500 * MILLISECOND_US,
  graceUs: 2 * SECOND_US,
  applyUs: 2_500 * MILLISECOND_US,
  contactUs: 4 * SECOND_US,
  confirmUs: 4 * SECOND_US,
  retryRatio: 0.2,
  retryWindowUs: 10 * SECOND_US,
  retrySlack: 440,
  stretchUs: 6 * SECOND_US,
  keyWindowUs: 60 * SECOND_US,
  purgeUs: 2 * SECOND_US,
  staleSlackUs: 2 * SECOND_US,
  ceilingWindowUs: 5 * SECOND_US,
  ceilingExcess: 1.1,
  holdMaxUs: 10_000_000,
  warmUpTolerance: { excess: 1.5, slack: 8 },
  metrics: new Map(),
  forecastActs: false,
  rolloutWeights: { late: 0.3, lostSafe: 1, lostUnsafe: 2, doubled: 5 },
});

/** Monotonic clock of the machine in microseconds, shared by all processes. */
export const steadyUs = (): number => Number(process.hrtime.bigint() / 1_000n);
