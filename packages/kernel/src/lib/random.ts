/**
 * Random numbers. Code that needs them takes a {@link RandomSource}, so that tests can repeat a run from its seed.
 */
import { randomInt } from 'node:crypto'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const valueCount = 2 ** 31 - 1

/** A source of random numbers. */
export abstract class RandomSource {
  /** @returns a number from 0 (inclusive) to 1 (exclusive) */
  abstract next (): number

  /**
   * @param upperBound - upper bound, exclusive
   * @returns an integer from 0 (inclusive) to the upper bound, uniformly distributed
   */
  pickInteger (upperBound: number): number {
    return Math.floor(this.next() * upperBound)
  }

  /**
   * @param items - a list with at least one item
   * @returns one of the items, with equal probability
   */
  pickItem<T> (items: readonly T[]): T {
    return items[this.pickInteger(items.length)] as T
  }
}

/** Pseudorandom numbers; the same seed gives the same sequence. */
export class SeededRandom extends RandomSource {
  private readonly generator: RandomGenerator

  /** @param seed - any integer */
  constructor (seed: number) {
    super()
    this.generator = xoroshiro128plus(seed)
  }

  override next (): number {
    return unsafeUniformIntDistribution(0, valueCount - 1, this.generator) / valueCount
  }
}

/** @returns a generator with a seed from the operating system, so that each process gets a different sequence */
export const createSystemRandom = (): RandomSource => new SeededRandom(randomInt(valueCount))
