/** Replays a recorded session. Lines with ">" are events; indented lines are the resulting commands. */
import type { GenerationRequest } from '@limelead/types';
import advanceSession, { createSession, type SessionCommand, type SessionEvent } from './index.js';

const END_LINE = '# ends';
const EVENT_LINE = /^> (\d+) (\{.*\})$/;

/** Request of all recorded sessions. */
export const RECORDED_REQUEST: GenerationRequest = {
  requestId: 'r1',
  organisation: 'haneul',
  service: 'feedback-sheet',
  prompt: 'bar by bar',
  maxTokens: 6,
  priority: {
    name: 'urgent',
    rank: 0,
    deadlineMs: 0,
    maxQueueMs: 1_000,
    recovery: {
      suspicionFactor: 4,
      minSilenceMs: 100,
      maxSilenceMs: 500,
      hedge: true,
      probeFirst: false,
    },
  },
  paceTokensPerSecond: 0,
  resumable: true,
};

/** Replays the events of a recording and returns it with the commands that they now produce. */
export default function replay(recording: string): string {
  const lines = recording.split('\n');
  const comments = lines.filter((line) => line.startsWith('# ') && !line.startsWith(END_LINE));
  const policy = comments.some((line) => line.includes('probes first'))
    ? { ...RECORDED_REQUEST.priority.recovery, hedge: false, probeFirst: true }
    : RECORDED_REQUEST.priority.recovery;
  const request = {
    ...RECORDED_REQUEST,
    priority: { ...RECORDED_REQUEST.priority, recovery: policy },
  };
  let state = createSession(request, 'g', 0);
  const replayed = [...comments];
  for (const line of lines) {
    const [, timeMs, event] = EVENT_LINE.exec(line) ?? [];
    if (timeMs !== undefined && event !== undefined) {
      const step = advanceSession(state, JSON.parse(event) as SessionEvent, Number(timeMs));
      state = step.state;
      replayed.push(line, ...step.commands.map(describeCommand));
    }
  }
  replayed.push(`${END_LINE} ${state.phase} with ${state.delivered} tokens`);
  return `${replayed.join('\n')}\n`;
}

function describeCommand(command: SessionCommand): string {
  return `    ${JSON.stringify(command)}`;
}
