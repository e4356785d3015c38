/** A header's value that can't be read, cut for the log: a target may send any length. */
const MAX_LOGGED_CHARACTERS = 40;

/** What stands in place of a value. */
export interface UnreadableValue {
  kind: 'unreadable';
  text: string;
}

/** Keeps the beginning of the text. */
export default function createUnreadable(text: string): UnreadableValue {
  return { kind: 'unreadable', text: text.slice(0, MAX_LOGGED_CHARACTERS) };
}
