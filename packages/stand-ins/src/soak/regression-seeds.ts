/** Seeds that once showed a fault, with its cause; each soak runs them first. */
export const regressionSeeds: ReadonlyArray<{ seed: number, cause: string }> = [
  { seed: 205, cause: 'the relay before an endpoint turned a reset into an ordinary end, so that half an answer without a length looked whole' }
]
