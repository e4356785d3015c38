/** How engines count the tokens of a prompt. */

const CHARACTERS_PER_TOKEN = 4;

/** Tokens of a prompt: one for each four characters begun. */
export default function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
