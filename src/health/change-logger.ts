/** Log lines for a loop that finds the same thing again and again. */
import type { LogFields, Logger } from "../common/logger.js";

/** Writes a line only if it differs from the one before. */
export class ChangeLogger {
  private last = "";

  constructor(private readonly log: Logger) {}

  /** Logs at level info. */
  readonly info = (message: string, fields: LogFields): void => {
    const line = `${message} ${JSON.stringify(fields)}`;
    if (line !== this.last) this.log.info(message, fields);
    this.last = line;
  };
}
