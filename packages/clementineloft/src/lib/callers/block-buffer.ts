/**
 * Buffer for bodies that arrive in chunks of any size. It copies chunks into blocks, so that its cost is near its content,
 * and reuses the blocks, so that a body leaves no garbage but itself.
 */

/** Sizes of the first blocks of a body, in bytes; all others have the last size. */
const blockSizes = [1024, 4096, 16_384] as const
/** Memory in blocks that are kept for reuse, in bytes for each size. */
const maxFreeBytes = 1_048_576

const freeBlocks: Buffer[][] = blockSizes.map(() => [])

const acquireBlock = (sizeIndex: number): Buffer =>
  freeBlocks[sizeIndex]?.pop() ?? Buffer.allocUnsafeSlow(blockSizes[sizeIndex] as number)

const releaseBlock = (block: Buffer): void => {
  const free = freeBlocks[blockSizes.findIndex((size) => size === block.length)]
  if (free !== undefined && (free.length + 1) * block.length <= maxFreeBytes) free.push(block)
}

/** @returns whether keeping the chunk keeps no other memory alive */
const isAlone = (chunk: Buffer): boolean => chunk.buffer.byteLength === chunk.length

/** Bytes that arrived so far. */
export class BlockBuffer {
  /** The only chunk so far, which needs no copy if it remains the only one. */
  private onlyChunk: Buffer | undefined
  private blocks: Buffer[] = []
  private blockBytes = 0
  /** Free bytes at the end of the last block. */
  private freeBytes = 0
  private length = 0

  /** Adds a chunk. */
  append (chunk: Buffer): void {
    const { onlyChunk } = this
    if (this.length === 0 && isAlone(chunk)) this.onlyChunk = chunk
    else {
      this.onlyChunk = undefined
      if (onlyChunk !== undefined) this.copy(onlyChunk)
      this.copy(chunk)
    }
    this.length += chunk.length
  }

  /** @returns number of bytes */
  getLength (): number {
    return this.length
  }

  /** @returns memory that is held, in bytes */
  getCost (): number {
    return this.onlyChunk === undefined ? this.blockBytes : this.onlyChunk.length
  }

  /** Empties the buffer. @returns all bytes */
  take (): Buffer {
    const bytes = this.onlyChunk ?? Buffer.concat(this.blocks, this.length)
    this.clear()
    return bytes
  }

  /** Empties the buffer. */
  clear (): void {
    for (const block of this.blocks) releaseBlock(block)
    this.blocks = []
    this.onlyChunk = undefined
    this.blockBytes = this.freeBytes = this.length = 0
  }

  private copy (chunk: Buffer): void {
    for (let start = 0; start < chunk.length;) {
      if (this.freeBytes === 0) this.addBlock()
      const block = this.blocks[this.blocks.length - 1] as Buffer
      const copied = chunk.copy(block, block.length - this.freeBytes, start)
      this.freeBytes -= copied
      start += copied
    }
  }

  private addBlock (): void {
    const block = acquireBlock(Math.min(this.blocks.length, blockSizes.length - 1))
    this.blocks.push(block)
    this.blockBytes += block.length
    this.freeBytes = block.length
  }
}
