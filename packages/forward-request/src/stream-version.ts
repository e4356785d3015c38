/** The software version to which one stream keeps once a target has written its first piece. */
import { softwareVersionOf, type ServiceTarget } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** The version of one stream. */
export default class StreamVersion {
  private version: string | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {}

  /** Undefined while any version may run the stream. */
  get current(): string | undefined {
    return this.version;
  }

  /** Handles a piece from a target; the first one decides. */
  onPiece(target: ServiceTarget): void {
    if (target.isHelper !== true) {
      this.version ??= softwareVersionOf(target);
    }
  }

  /** Whether no target of the version is left. */
  get isGone(): boolean {
    const { service } = this.admitted;
    return !this.context.slots.hasSoftwareVersion({ service, softwareVersion: this.version });
  }
}
