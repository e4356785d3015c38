/** The connections of this VM to all targets, kept by incarnation. */
import { PortFault } from '@limelead/errors';
import type { Clock, Millis, ServiceTarget } from '@limelead/types';
import TargetConnection, {
  type CallEvents,
  type OpenCall,
  type TargetCall,
} from './target-connection.js';

/** How a call may use the connections. */
export interface SendOptions {
  /**
   * Longest rest of a connection that the call may use. A connection that
   * rested may have been closed by the target just now, and then nobody knows
   * whether the request arrived; 0 always opens a new one.
   */
  maxIdleMs: Millis;
}

/** What the connections need. */
export interface TargetConnectionsOptions {
  clock: Clock;
  /** Time for a connection to come up, in milliseconds. */
  connectTimeoutMs: number;
  /** Idle connections kept for each target. */
  maxIdlePerTarget: number;
  /** Called for each connection that is opened. */
  onOpened?: () => void;
}

/** Keeps and opens connections. */
export default class TargetConnections {
  private readonly byTarget = new Map<string, Set<TargetConnection>>();

  constructor(private readonly options: TargetConnectionsOptions) {}

  /**
   * Sends a call on a connection that rests, or on a new one. Where the resting
   * one turns out to be closed before a byte was written, a new one is opened.
   */
  send(
    target: ServiceTarget,
    call: TargetCall,
    options: SendOptions,
    events: CallEvents,
  ): OpenCall {
    const idle = this.acquireIdle(target.id, options.maxIdleMs);
    if (idle === undefined) {
      return this.sendOnNewConnection(target, call, events);
    }
    let open = idle.send(call, {
      onHead: (head) => events.onHead(head),
      onData: (chunk) => events.onData(chunk),
      onEnd: () => events.onEnd(),
      onFault: (fault) => {
        if (fault.sent === 'no') {
          open = this.sendOnNewConnection(target, call, events);
        } else {
          events.onFault(fault);
        }
      },
    });
    return { cancel: () => open.cancel() };
  }

  /** What can't be sent at all is a fault of this call; thrown, it would end whatever woke the request. */
  private sendOnNewConnection(
    target: ServiceTarget,
    call: TargetCall,
    events: CallEvents,
  ): OpenCall {
    try {
      return this.openConnection(target).send(call, events);
    } catch (thrown) {
      const fault = new PortFault('unreachable', 'no', String(thrown));
      let isCancelled = false;
      queueMicrotask(() => isCancelled || events.onFault(fault));
      return { cancel: () => (isCancelled = true) };
    }
  }

  /** Open connections to a target, busy and idle. */
  countConnections(targetId: string): number {
    return this.byTarget.get(targetId)?.size ?? 0;
  }

  /** Ends the idle connections to a target that takes no more work. */
  closeIdle(targetId: string): void {
    for (const connection of [...(this.byTarget.get(targetId) ?? [])]) {
      if (!connection.isBusy) {
        connection.close();
      }
    }
  }

  /** Ends every connection and whatever runs on it. */
  closeAll(): void {
    for (const connections of [...this.byTarget.values()]) {
      [...connections].forEach((connection) => connection.close());
    }
  }

  private acquireIdle(targetId: string, maxIdleMs: Millis): TargetConnection | undefined {
    const idle = [...(this.byTarget.get(targetId) ?? [])]
      .filter((connection) => !connection.isBusy && !connection.isClosed)
      .sort((a, b) => b.idleSinceMs - a.idleSinceMs);
    idle.slice(this.options.maxIdlePerTarget).forEach((connection) => connection.close());
    const newest = idle[0];
    const oldestUsableMs = this.options.clock.now() - maxIdleMs;
    return newest !== undefined && newest.idleSinceMs > oldestUsableMs ? newest : undefined;
  }

  private openConnection(target: ServiceTarget): TargetConnection {
    const { clock, connectTimeoutMs } = this.options;
    const connection = new TargetConnection(
      `http://${target.host}:${target.port}`,
      connectTimeoutMs,
      clock,
      (closed) => this.remove(target.id, closed),
    );
    const connections = this.byTarget.get(target.id) ?? new Set<TargetConnection>();
    this.byTarget.set(target.id, connections);
    connections.add(connection);
    this.options.onOpened?.();
    return connection;
  }

  private remove(targetId: string, connection: TargetConnection): void {
    const connections = this.byTarget.get(targetId);
    connections?.delete(connection);
    if (connections?.size === 0) {
      this.byTarget.delete(targetId);
    }
  }
}
