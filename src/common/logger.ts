import { destination, pino, type Logger as PinoLogger } from "pino";

export interface Logger {
  readonly info: (sentence: string) => void;
  readonly warn: (sentence: string) => void;
  readonly debug: (sentence: string) => void;
}

const root: PinoLogger = pino(
  { base: null, timestamp: false, level: "info" },
  destination({ fd: 1, sync: true }),
);

export const setLogLevel = (level: string): void => {
  root.level = level;
};

/** Short sentences, each with the fixed prefix of its part. */
export const loggerFor = (part: string): Logger => ({
  info: (sentence) => root.info(`${part}: ${sentence}`),
  warn: (sentence) => root.warn(`${part}: ${sentence}`),
  debug: (sentence) => root.debug(`${part}: ${sentence}`),
});

export const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  debug: () => undefined,
};
