/** Decodes JSON with comments and finds the line of each fault. */
import { DecodeError, type DecodeFault } from '@limelead/errors';
import * as E from 'fp-ts/lib/Either.js';
import type * as t from 'io-ts';
import {
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';

const MAX_SHOWN_CHARACTERS = 60;

/**
 * Returns the decoded value, or an error that lists every fault.
 * @param file the file's name in the error's message
 */
export default function decodeJsonc<Value>(
  file: string,
  text: string,
  codec: t.Type<Value, unknown>,
): E.Either<DecodeError, Value> {
  const parseErrors: ParseError[] = [];
  const root = parseTree(text, parseErrors, { allowTrailingComma: true });
  if (root === undefined || parseErrors.length > 0) {
    return E.left(
      new DecodeError(
        file,
        parseErrors.map((error) => parseErrorToFault(text, error)),
      ),
    );
  }
  const decoded = codec.decode(toValue(root));
  if (E.isLeft(decoded)) {
    const faults = decoded.left.map((error) => toDecodeFault(text, root, error));
    return E.left(new DecodeError(file, removeDuplicates(faults)));
  }
  return E.right(decoded.right);
}

function parseErrorToFault(text: string, error: ParseError): DecodeFault {
  return {
    line: lineAt(text, error.offset),
    key: '',
    expected: 'JSON with comments',
    found: printParseErrorCode(error.error),
  };
}

function toDecodeFault(text: string, root: Node, error: t.ValidationError): DecodeFault {
  const path = error.context.slice(1).map(({ key }) => key);
  const last = error.context.at(-1);
  return {
    line: lineAt(text, findNearestNode(root, path).offset),
    key: path.join('.'),
    expected: last?.type.name ?? 'another value',
    found: formatValue(error.value),
  };
}

/** Finds the node at a path, or its nearest existing ancestor. */
function findNearestNode(root: Node, path: string[]): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const segments = path.slice(0, length).map(toSegment);
    const node = findNodeAtLocation(root, segments);
    if (node !== undefined) {
      return node.parent?.type === 'property' ? node.parent : node;
    }
  }
  return root;
}

function toSegment(key: string): string | number {
  return /^\d+$/.test(key) ? Number(key) : key;
}

function toValue(node: Node): unknown {
  switch (node.type) {
    case 'object':
      return Object.fromEntries((node.children ?? []).map(toEntry));
    case 'array':
      return (node.children ?? []).map(toValue);
    default:
      return node.value;
  }
}

function toEntry(property: Node): [string, unknown] {
  const [key, value] = property.children ?? [];
  return [String(key?.value), value === undefined ? undefined : toValue(value)];
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

function formatValue(value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  const shown = JSON.stringify(value);
  return shown.length > MAX_SHOWN_CHARACTERS ? `${shown.slice(0, MAX_SHOWN_CHARACTERS)}…` : shown;
}

function removeDuplicates(faults: DecodeFault[]): DecodeFault[] {
  const seen = new Set<string>();
  return faults.filter((fault) => {
    const identity = JSON.stringify(fault);
    return !seen.has(identity) && seen.add(identity);
  });
}
