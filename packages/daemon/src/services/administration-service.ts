/** Implements the RPC service Administration. */
import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import { LimeleadError } from '@limelead/errors';
import {
  ApplyResponseSchema,
  GetConfigurationResponseSchema,
  GetStatusResponseSchema,
  ListChangesResponseSchema,
  type Administration,
  type ApplyRequest,
  type GetStatusResponse,
} from '@limelead/schema';
import type { ChangeRequest, Operator } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { fromOperationMessage, toChangeMessage, toVersionedMessage } from '../convert-resources.js';
import toRpcError from '../to-rpc-error.js';
import type { VmContext } from '../vm-context.js';

const MAX_OPERATIONS = 1_000;
const MAX_CHANGE_CHARACTERS = 300_000;
const MAX_REASON_CHARACTERS = 500;
const CHANGE_ID = /^[\w-]{1,64}$/;
const DEFAULT_CHANGES = 50;
const MAX_CHANGES = 500;

/** Creates the Administration service of one VM. */
export default function createAdministrationService(
  context: VmContext,
): ServiceImpl<typeof Administration> {
  /** Authenticates the operator, runs a method and converts its errors to RPC errors. */
  async function asOperator<Result>(
    headers: Headers,
    run: (operator: Operator) => Promise<Result> | Result,
  ): Promise<Result> {
    try {
      return await run(context.authenticator.requireOperator(headers));
    } catch (thrown) {
      throw toRpcError(thrown);
    }
  }

  return {
    apply: (message, rpc) =>
      asOperator(rpc.requestHeader, async (operator) => {
        const revision = await applyChange(context, operator, toChangeRequest(message));
        return create(ApplyResponseSchema, { revision: BigInt(revision) });
      }),
    getConfiguration: ({ kind }, rpc) =>
      asOperator(rpc.requestHeader, () => {
        const { revision, resources } = context.configuration.configuration;
        const wanted = [...resources.values()].filter(
          ({ resource }) => kind === '' || resource.kind === kind,
        );
        return create(GetConfigurationResponseSchema, {
          revision: BigInt(revision),
          resources: wanted.map(toVersionedMessage),
        });
      }),
    listChanges: ({ beforeRevision, limit }, rpc) =>
      asOperator(rpc.requestHeader, async () => {
        const before = beforeRevision === 0n ? Number.MAX_SAFE_INTEGER : Number(beforeRevision);
        const count = Math.min(limit || DEFAULT_CHANGES, MAX_CHANGES);
        const changes = await context.configurationStore.listChanges(before, count)();
        if (E.isLeft(changes)) {
          throw new LimeleadError('store-unavailable', 'the key-value store does not answer');
        }
        return create(ListChangesResponseSchema, { changes: changes.right.map(toChangeMessage) });
      }),
    getStatus: (_, rpc) => asOperator(rpc.requestHeader, () => describeStatus(context)),
  };
}

async function applyChange(
  context: VmContext,
  operator: Operator,
  request: ChangeRequest,
): Promise<number> {
  const { configuration, configurationStore, metrics, logger } = context;
  const known = configuration.configuration;
  const applied = await configurationStore.apply(known, request, operator.name);
  if (E.isLeft(applied)) {
    metrics.count('limelead_changes_refused_total', 1, { kind: applied.left.kind });
    throw applied.left;
  }
  const { configuration: changed, changes } = applied.right;
  configuration.adopt(changed, changes, 'own-change');
  const accepted = changes.find(({ changeId }) => changeId === request.changeId);
  const revision = accepted?.revision ?? changed.revision;
  metrics.count('limelead_changes_accepted_total');
  logger.info('a change was accepted', { revision, operator: operator.name });
  return revision;
}

function toChangeRequest(message: ApplyRequest): ChangeRequest {
  const { changeId, baseRevision, reason } = message;
  if (!CHANGE_ID.test(changeId)) {
    throw new LimeleadError('invalid-request', 'change_id: expected 1 to 64 of [A-Za-z0-9_-]');
  }
  if (message.operations.length > MAX_OPERATIONS || reason.length > MAX_REASON_CHARACTERS) {
    throw new LimeleadError(
      'too-large',
      `expected at most ${MAX_OPERATIONS} operations and ${MAX_REASON_CHARACTERS} characters of reason`,
    );
  }
  const operations = message.operations.map(fromOperationMessage);
  if (JSON.stringify(operations).length > MAX_CHANGE_CHARACTERS) {
    throw new LimeleadError('too-large', 'the change is too large; split it into several changes');
  }
  return { changeId, baseRevision: Number(baseRevision), operations, reason };
}

function describeStatus(context: VmContext): GetStatusResponse {
  const { settings, configuration, members, targets, openGenerations, clock } = context;
  const now = clock.now();
  return create(GetStatusResponseSchema, {
    vm: settings.id,
    failureDomain: settings.failureDomain,
    revision: BigInt(configuration.configuration.revision),
    openGenerations: openGenerations.size,
    draining: context.isDraining(),
    vms: members.list().map((member) => ({
      id: member.id,
      failureDomain: member.failureDomain,
      state: members.stateOf(member, now),
      revision: BigInt(member.revision),
    })),
    targets: targets.all().map((target) => ({
      id: target.id,
      failureDomain: target.failureDomain,
      state: targets.getState(target, now),
      inFlight: target.inFlight,
      reportedRunning: target.report?.running ?? 0,
    })),
  });
}
