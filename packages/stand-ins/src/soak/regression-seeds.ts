/** Seeds that exposed a fault, with its cause. Every soak runs them first. */
export const regressionSeeds: ReadonlyArray<{ seed: number, cause: string }> = [
  { seed: 205, cause: 'the relay in front of an endpoint turned a reset into a normal close, so that a truncated answer without Content-Length looked complete' }
]
