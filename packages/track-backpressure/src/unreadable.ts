/** A header value that can't be parsed, truncated for the log. */
const MAX_LOGGED_CHARACTERS = 40;

/** Result of a failed parse. */
export interface UnreadableValue {
  kind: 'unreadable';
  text: string;
}

/** Truncates the text. */
export default function createUnreadable(text: string): UnreadableValue {
  return { kind: 'unreadable', text: text.slice(0, MAX_LOGGED_CHARACTERS) };
}
