/** A program that runs on one machine, as long as it is not told to end in order. */
export interface Running {
  readonly stop: () => Promise<void>;
}
