/** Accepts requests that other VMs relay to the address for peers. */
import type { HttpFrontDoor } from '@limelead/http-front-door';
import { composeRefusalHeaders, readRelayKind, withoutRelayHeader } from '@limelead/relay-requests';
import type { Metrics } from '@limelead/metrics';
import type { IncomingMessage, ServerResponse } from 'node:http';

const OK = 200;

/** Returns false if the request is not of another VM. */
export default function acceptRelayed(
  message: IncomingMessage,
  response: ServerResponse,
  frontDoor: HttpFrontDoor,
  metrics: Pick<Metrics, 'count'>,
): boolean {
  const kind = readRelayKind(message.rawHeaders);
  if (kind === 'probe') {
    response.writeHead(OK, { 'Content-Length': 0 }).end();
  } else if (kind === 'request') {
    metrics.count('limelead_relayed_requests_taken_total');
    message.rawHeaders = withoutRelayHeader(message.rawHeaders);
    frontDoor.acceptRelayed(message, response, { composeRefusalHeaders });
  }
  return kind !== undefined;
}
