/** A correct key service behind a connection that loses and delays messages. */
import { sleep, type Clock } from "../src/common/clock.js";
import type { InMemoryKeyService } from "./proxy-harness.js";
import type { KeyMessageFate } from "./scenario.js";

const LATE_REPLY_DELAY_US = 90_000;
const LOST_REPLY_TIMEOUT_US = 600_000;

/** The interface of the key service that a proxy server uses. */
export type KeyServiceConnection = Pick<InMemoryKeyService, "ask" | "notify">;

/**
 * Wraps a key service in an unreliable connection. `fates` applies to its messages in order, one
 * each, repeated cyclically.
 */
export const unreliableKeyService =
  (fates: readonly KeyMessageFate[]) =>
  (keyService: InMemoryKeyService, clock: Clock): KeyServiceConnection => {
    let messages = 0;
    const nextFate = (): KeyMessageFate => {
      const fate = fates[messages % fates.length] ?? "answered";
      messages += 1;
      return fate;
    };
    return {
      ask: async (message) => {
        const fate = nextFate();
        const reply = fate === "lost on its way" ? undefined : await keyService.ask(message);
        if (fate !== "answered")
          await sleep(
            clock,
            fate === "answered late" ? LATE_REPLY_DELAY_US : LOST_REPLY_TIMEOUT_US,
          );
        return fate === "answered" || fate === "answered late" ? reply : undefined;
      },
      notify: (message) => {
        if (nextFate() !== "lost on its way") keyService.notify(message);
      },
    };
  };
