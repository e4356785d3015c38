/** Returns a function that runs the given one at its first call only. */
export default function once(run: () => void): () => void {
  let done = false;
  return () => {
    if (!done) {
      done = true;
      run();
    }
  };
}
