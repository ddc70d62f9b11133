/** Detects when a node has its first configuration as a whole. */
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";

/**
 * A large configuration arrives in several frames, of which the last one has the controller's
 * position. Until then a route or a customer may be missing, so that nothing may be said to be
 * unknown.
 */
export class InitialLoad {
  private hasPosition = false;
  private sendsPositions = true;

  /** @param isLoaded - returns whether any part of a configuration has been received */
  constructor(
    subscriber: Pick<UpdateSubscriber, "events">,
    private readonly isLoaded: () => boolean,
  ) {
    subscriber.events.on("position", () => {
      this.hasPosition ||= this.isLoaded();
    });
    subscriber.events.on("positionUnknown", () => {
      this.sendsPositions = false;
    });
  }

  /** Whether the first configuration was received as a whole, as far as the parent tells. */
  readonly isComplete = (): boolean =>
    this.isLoaded() && (this.hasPosition || !this.sendsPositions);
}
