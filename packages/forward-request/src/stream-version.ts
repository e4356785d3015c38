/** The software version to which one stream keeps once a target has written its first piece. */
import { softwareVersionOf, streamIdOf, type ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** The version of one stream. */
export default class StreamVersion {
  private version: string | undefined;
  private readonly streamId: string;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {
    this.streamId = streamIdOf(admitted.request);
  }

  /** Undefined while any version may run the stream. */
  get current(): string | undefined {
    return this.version;
  }

  /** Whether only targets of other versions are left. */
  get isGone(): boolean {
    const { service } = this.admitted;
    return this.context.slots.hasOnlyOtherVersions({ service, softwareVersion: this.version });
  }

  /** Handles a piece of a target; the first one decides. Another VM records what it relays. */
  onPiece(target: ServiceTarget): void {
    if (this.version === undefined && target.isHelper !== true) {
      this.keepTo(softwareVersionOf(target));
    }
  }

  /**
   * Whether the version of a stream that was begun elsewhere is still to be found.
   * @param delivered number of the last piece that the caller has; 0 for none
   */
  isToBeFound(delivered: number): boolean {
    return delivered > 0 && this.version === undefined;
  }

  /**
   * Finds the version that began the stream; `receive` gets whether it is known.
   * @returns a function that cancels the search
   */
  find(receive: (isKnown: boolean) => void): () => void {
    const { requestId } = this.admitted.request;
    const { streamId } = this;
    const { service } = this.admitted;
    return this.context.origins.find({ requestId, streamId, service }, (lookup) => {
      if (lookup.outcome !== 'unknown') {
        this.keepTo(lookup.softwareVersion);
      }
      receive(lookup.outcome !== 'unknown');
    });
  }

  /** Handles the end of a stream that the caller received whole. */
  onWhole(): void {
    this.context.origins.forget(this.streamId);
  }

  private keepTo(softwareVersion: string): void {
    const { service, dueAtMs } = this.admitted;
    const { streamId } = this;
    this.version = softwareVersion;
    const leftMs = Math.max(0, dueAtMs - this.context.clock.now());
    this.context.origins.record({ streamId, service, softwareVersion, leftMs });
  }
}
