/** A pool of this VM's connections to all targets, by target id. */
import { PortFault } from '@limelead/errors';
import type { Clock, Millis, ServiceTarget, Timers } from '@limelead/types';
import type { AnswerExcess } from './answer-meter.js';
import createConnector from './create-connector.js';
import ReadShare from './read-share.js';
import TargetConnection, {
  type CallEvents,
  type OpenCall,
  type TargetCall,
} from './target-connection.js';

/** Options of a call. */
export interface SendOptions {
  /**
   * Longest idle time of a connection that the call may reuse; 0 always opens a new one. The
   * target may close an idle connection while the request is sent, and then it is unknown
   * whether the target received it.
   */
  maxIdleMs: Millis;
}

/** Options of `TargetConnections`. */
export interface TargetConnectionsOptions {
  clock: Clock;
  timers: Timers;
  /** Timeout for opening a connection. */
  connectTimeoutMs: number;
  /** Limit on idle connections per target. */
  maxIdlePerTarget: number;
  /** Called for each connection that is about to be opened. */
  onOpened?: () => void;
  /** Called when a connection to a target opened, or failed to. */
  onConnect?: (target: ServiceTarget, isOpen: boolean) => void;
  /** Called when an answer exceeds a limit, at which its connection is closed. */
  onExcess?: (target: ServiceTarget, excess: AnswerExcess) => void;
}

/** Opens, reuses and closes connections to targets. */
export default class TargetConnections {
  private readonly byTarget = new Map<string, Set<TargetConnection>>();
  private readonly share: ReadShare;

  constructor(private readonly options: TargetConnectionsOptions) {
    this.share = new ReadShare(options.clock);
  }

  /**
   * Sends a call on an idle connection, or on a new one. If the idle connection turns out to be
   * closed before any byte is written, the call is sent on a new one.
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
    return {
      cancel: () => open.cancel(),
      pause: () => open.pause(),
      resume: () => open.resume(),
    };
  }

  /** Reports an exception as a fault of this call, because it must not reach the caller of `send`. */
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
      return {
        cancel: () => (isCancelled = true),
        pause: () => false,
        resume: () => undefined,
      };
    }
  }

  /** Opens a connection and closes it at once; `onConnect` gets the result. */
  probe(target: ServiceTarget): void {
    const { connectTimeoutMs, onConnect } = this.options;
    const connect = createConnector(connectTimeoutMs, {
      onOpened: (isOpen) => onConnect?.(target, isOpen),
    });
    const { host, port } = target;
    const address = { hostname: host, port: String(port), protocol: 'http:' };
    connect(address, (_, socket) => socket?.destroy());
  }

  /** Number of open connections to a target, busy and idle. */
  countConnections(targetId: string): number {
    return this.byTarget.get(targetId)?.size ?? 0;
  }

  /** Closes the idle connections to a target. */
  closeIdle(targetId: string): void {
    for (const connection of [...(this.byTarget.get(targetId) ?? [])]) {
      if (!connection.isBusy) {
        connection.close();
      }
    }
  }

  /** Closes all connections and fails their calls. */
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
    const { clock, timers, connectTimeoutMs, onConnect, onExcess } = this.options;
    const connection = new TargetConnection({
      ...{ clock, timers, connectTimeoutMs, share: this.share },
      origin: `http://${target.host}:${target.port}`,
      onClosed: (closed) => this.remove(target.id, closed),
      onOpened: (isOpen) => onConnect?.(target, isOpen),
      onExcess: (excess) => onExcess?.(target, excess),
    });
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
