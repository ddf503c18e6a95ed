/**
 * Random numbers as the decisions see them: handed in, and repeatable from a seed.
 */
import { randomInt } from 'node:crypto'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const resolution = 2 ** 31 - 1

/** A source of random numbers. */
export abstract class RandomSource {
  /** @returns a number from 0 (included) to 1 (excluded) */
  abstract next (): number

  /**
   * @param bound - upper bound, excluded
   * @returns a whole number from 0 to the bound
   */
  pickInteger (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  /**
   * @param items - a list with at least one item
   * @returns one of the items, each as likely as another
   */
  pickItem<T> (items: readonly T[]): T {
    return items[this.pickInteger(items.length)] as T
  }
}

/** Random numbers that repeat for the same seed. */
export class SeededRandom extends RandomSource {
  private readonly generator: RandomGenerator

  /** @param seed - any whole number */
  constructor (seed: number) {
    super()
    this.generator = xoroshiro128plus(seed)
  }

  override next (): number {
    return unsafeUniformIntDistribution(0, resolution - 1, this.generator) / resolution
  }
}

/** Creates a generator whose seed comes from the operating system, so that no two processes agree. */
export const createSystemRandom = (): RandomSource => new SeededRandom(randomInt(resolution))
