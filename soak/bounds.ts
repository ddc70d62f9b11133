/** Time bounds, in microseconds, that the programs under test run with and the checks rely on. */
export const BOUNDS = {
  heartbeatUs: 1_000_000,
  drainUs: 2_000_000,
  graceUs: 5_000_000,
  applyUs: 2_000_000,
  contactUs: 3_000_000,
  confirmUs: 4_000_000,
  catchUpUs: 6_000_000,
  keyWindowUs: 60_000_000,
  purgeUs: 2_000_000,
  staleSlackUs: 2_000_000,
} as const;
