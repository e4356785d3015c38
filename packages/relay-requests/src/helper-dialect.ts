/** Composes calls to helpers and reads their answers, and leaves targets to their own dialect. */
import type { TargetDialect } from '@limelead/forward-request';
import type { IngressDialect } from '@limelead/http-front-door';
import type { TargetCall } from '@limelead/target-connections';
import { NO_DIRECTIVES, type ServiceTarget } from '@limelead/types';
import composeRelayHeaders from './compose-relay-headers.js';
import { isDeclined, markRelayed } from './relay-protocol.js';

/** Adds helpers to the dialect of targets. */
export default function createHelperDialect(
  targets: TargetDialect,
  ingress: Pick<IngressDialect, 'progressHeaders'>,
): TargetDialect {
  return {
    ...targets,
    composeCall(attempt) {
      const { request, target } = attempt;
      return target.isHelper === true
        ? {
            method: request.method,
            path: request.path,
            headers: composeRelayHeaders(attempt, ingress.progressHeaders),
            body: request.body,
          }
        : targets.composeCall(attempt);
    },
    readAnswer: (request, head, target) =>
      target.isHelper === true
        ? {
            isForRequest: true,
            notRun: isDeclined(head),
            isOtherTarget: false,
            directives: NO_DIRECTIVES,
          }
        : targets.readAnswer(request, head, target),
    composeProbe: (target) =>
      target.isHelper === true ? composeHelperProbe(target) : targets.composeProbe(target),
  };
}

function composeHelperProbe({ host, port }: ServiceTarget): TargetCall {
  const headers = markRelayed(['Host', `${host}:${port}`], 'probe');
  return { method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
}
