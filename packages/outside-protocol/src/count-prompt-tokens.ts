const CHARACTERS_PER_TOKEN = 4;

/** Counts the tokens of a prompt as engines do: one per four characters, rounded up. */
export default function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
